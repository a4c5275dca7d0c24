// Package dragonflysession is what every command of dragonflyctl begins with: its
// flags, settings, client and output.
package dragonflysession

import (
	"context"

	"dragonflyrelay.example/dragonflyctl/common/dragonflycontrolclient"
	"dragonflyrelay.example/dragonflyctl/common/dragonflyctlsettings"
	"dragonflyrelay.example/dragonflyctl/common/dragonflyexit"
	"dragonflyrelay.example/dragonflyctl/common/dragonflyoutput"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Session is one run of a command.
type Session struct {
	// Settings are those of the settings file.
	Settings dragonflyctlsettings.Settings
	// Client reaches control.
	Client *dragonflycontrolclient.Client
	// Output takes what the command tells.
	Output dragonflyoutput.Output
}

// OutputFlag selects the form of the output.
func OutputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Value: "table", Usage: "form of the output: table or json", Validator: func(v string) error {
		if v != "table" && v != "json" {
			return errors.Errorf("--output must be table or json, not %q", v)
		}
		return nil
	}}
}

// Flags returns the flags of every command that reaches control.
func Flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "settings", Value: "dragonflyctl.json", Sources: cli.EnvVars("DRAGONFLYCTL_SETTINGS"), Usage: "settings file, JSON with comments", TakesFile: true},
		OutputFlag(),
	}
}

// Output returns the output that the flags of cmd select.
func Output(cmd *cli.Command) dragonflyoutput.Output {
	return dragonflyoutput.Output{W: cmd.Root().Writer, JSON: cmd.String("output") == "json"}
}

// Open reads the settings file that the flags of cmd name.
func Open(cmd *cli.Command) (s Session, err error) {
	s.Settings, err = dragonflyctlsettings.Load(cmd.String("settings"))
	if err != nil {
		return s, dragonflyexit.Errorf(dragonflyexit.Usage, "%v", err)
	}
	s.Client = &dragonflycontrolclient.Client{Addresses: s.Settings.Control, Key: s.Settings.Key, Timeout: s.Settings.Timeout}
	s.Output = Output(cmd)
	return s, nil
}

// Action returns an action that opens a session for run. Errors without an exit
// code of their own get that of a failure.
func Action(run func(ctx context.Context, cmd *cli.Command, s Session) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		s, err := Open(cmd)
		if err != nil {
			return err
		}
		return WithExitCode(run(ctx, cmd, s))
	}
}

// WithExitCode gives err the exit code of a failure unless it has one.
func WithExitCode(err error) error {
	var e *dragonflyexit.Error
	if err == nil || errors.As(err, &e) {
		return err
	}
	return dragonflyexit.Errorf(dragonflyexit.Failed, "%v", err)
}

// Args checks that exactly the named arguments are given, and returns them.
func Args(cmd *cli.Command, names ...string) (values []string, err error) {
	values = cmd.Args().Slice()
	for i, n := range names {
		if i >= len(values) || values[i] == "" {
			return nil, dragonflyexit.Errorf(dragonflyexit.Usage, "%s: argument %s is missing", cmd.FullName(), n)
		}
	}
	if len(values) > len(names) {
		return nil, dragonflyexit.Errorf(dragonflyexit.Usage, "%s: unexpected argument %q", cmd.FullName(), values[len(names)])
	}
	return values, nil
}
