// Package dragonflyprogram provides what all programs share: the command line,
// logging and signal handling.
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

// Version is the version of all programs.
const Version = "0.1.0"

// Program is a command line program.
type Program struct {
	// Name is the program's name.
	Name string
	// Usage describes the program's purpose in one line.
	Usage string
	// Commands are the program's subcommands.
	Commands []*cli.Command
	// Default runs if no subcommand is named; nil prints the help.
	Default cli.ActionFunc
	// Flags are the flags of Default.
	Flags []cli.Flag
	// Services are the names of the long-running subcommands. They log to standard
	// output through a bounded queue. Other subcommands print results there and log
	// to standard error.
	Services []string
	// HandleError reports the error of a command and returns the exit code. If it
	// is nil, the error is logged and the exit code is 1.
	HandleError func(err error) int
}

// Run runs the program with args, the first of which is the program itself, and
// returns its exit code. SIGTERM and SIGINT cancel the context of the command,
// which then shuts down gracefully. Another SIGTERM changes nothing, so that requests in
// progress are finished; a second SIGINT terminates the process.
func (p Program) Run(args []string) int {
	// Settings are reloaded where they are needed, not on SIGHUP. Its default
	// action would terminate the process.
	signal.Ignore(syscall.SIGHUP)
	flush := p.startLog(args)
	defer flush()
	// Hertz logs each listener in a different format at lower levels.
	hlog.SetLevel(hlog.LevelWarn)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	context.AfterFunc(ctx, func() {
		signal.Ignore(syscall.SIGTERM)
		stop()
	})
	root := &cli.Command{
		Name: p.Name, Usage: p.Usage, Version: Version, Commands: p.Commands,
		Action: p.Default, Flags: p.Flags,
		// The default handler would exit the process with a different code.
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

// flushTimeout bounds how long a program waits for its log to be written on exit.
const flushTimeout = 500 * time.Millisecond

// startLog sets the default logger. The returned function writes the queued lines.
func (p Program) startLog(args []string) (flush func()) {
	if len(args) < 2 || !slices.Contains(p.Services, args[1]) {
		slog.SetDefault(slog.New(slog.NewJSONHandler(os.Stderr, nil)).With("program", p.Name))
		return func() {}
	}
	w := dragonflylogwriter.New(0)
	pool := &dragonflypool.Pool{Name: "log", Size: 1}
	if err := pool.Go(func() { w.Run(os.Stdout) }); err != nil {
		slog.Error("log writer failed to start", "error", err)
	}
	slog.SetDefault(slog.New(slog.NewJSONHandler(w, nil)).With("program", p.Name))
	return func() {
		w.Close()
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		_ = pool.Wait(ctx)
	}
}
