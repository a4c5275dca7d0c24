// Package dragonflyprogram is what all programs do alike: the command line, the
// logger and the signals.
package dragonflyprogram

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"dragonflyrelay.example/library/common/dragonflylogwriter"
	"dragonflyrelay.example/library/common/dragonflypool"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/urfave/cli/v3"
)

// Version is the version that every program reports.
const Version = "0.1.0"

// Program is one command line program. The zero value does nothing.
type Program struct {
	// Name is the program's name.
	Name string
	// Usage says in one line what it is for.
	Usage string
	// Commands are its subcommands.
	Commands []*cli.Command
	// Default runs if no subcommand is named; nil prints the help.
	Default cli.ActionFunc
	// Flags are the flags of Default.
	Flags []cli.Flag
	// Services names the subcommands that run for long. They log to standard
	// output, through a bounded queue; other subcommands print results there and
	// log to standard error.
	Services []string
	// HandleError reports the error of a command and returns the exit code. Nil logs
	// the error and returns 1.
	HandleError func(err error) int
}

// Run runs the program with args, the first of which is the program itself, and
// returns its exit code. SIGTERM and SIGINT end the context of the command,
// which then shuts down gracefully; a second signal kills the process.
func (p Program) Run(args []string) int {
	flush := p.startLog(args)
	defer flush()
	// The library reports each listener in a form of its own.
	hlog.SetLevel(hlog.LevelWarn)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	context.AfterFunc(ctx, stop)
	// Settings are read again where they are needed, not at this signal. Its
	// default would end the process.
	signal.Ignore(syscall.SIGHUP)
	root := &cli.Command{
		Name: p.Name, Usage: p.Usage, Version: Version, Commands: p.Commands,
		Action: p.Default, Flags: p.Flags,
		// The default handler would end the process with a code of its own.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err := root.Run(ctx, args)
	switch {
	case err == nil:
		return 0
	case p.HandleError != nil:
		return p.HandleError(err)
	default:
		slog.Error("command failed", "error", err)
		return 1
	}
}

// flushTimeout bounds how long the end of a program waits for its log.
const flushTimeout = 500 * time.Millisecond

// startLog sets the default logger. The returned function writes what is queued.
func (p Program) startLog(args []string) (flush func()) {
	if len(args) < 2 || !slices.Contains(p.Services, args[1]) {
		slog.SetDefault(slog.New(slog.NewJSONHandler(os.Stderr, nil)).With("program", p.Name))
		return func() {}
	}
	w := dragonflylogwriter.New(0)
	pool := &dragonflypool.Pool{Name: "log", Size: 1}
	if err := pool.Go(func() { w.Run(os.Stdout) }); err != nil {
		slog.Error("log is not written", "error", err)
	}
	slog.SetDefault(slog.New(slog.NewJSONHandler(w, nil)).With("program", p.Name))
	return func() {
		w.Close()
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		_ = pool.Wait(ctx)
	}
}
