// Package dragonflysession provides what every command of dragonflyctl needs: the
// common flags, the settings, the client of control and the output.
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

// Session holds the state of one run of a command.
type Session struct {
	// Settings are read from the settings file.
	Settings dragonflyctlsettings.Settings
	// Client calls control.
	Client *dragonflycontrolclient.Client
	// Output receives the output of the command.
	Output dragonflyoutput.Output
}

// OutputFlag returns the flag that selects the format of the output.
func OutputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Value: "table", Usage: "output format: table or json", Validator: func(v string) error {
		if v != "table" && v != "json" {
			return errors.Errorf("--output must be table or json, not %q", v)
		}
		return nil
	}}
}

// Flags returns the flags of every command that calls control.
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

// Open reads the settings file that the flags of cmd name and returns a session
// with its client and output.
func Open(cmd *cli.Command) (s Session, err error) {
	s.Settings, err = dragonflyctlsettings.Load(cmd.String("settings"))
	if err != nil {
		return s, dragonflyexit.Errorf(dragonflyexit.Usage, "%v", err)
	}
	s.Client = &dragonflycontrolclient.Client{Addresses: s.Settings.Control, Key: s.Settings.Key, Timeout: s.Settings.Timeout}
	s.Output = Output(cmd)
	return s, nil
}

// Action returns an action that opens a session and calls run. An error without an
// exit code gets the exit code Failed.
func Action(run func(ctx context.Context, cmd *cli.Command, s Session) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		s, err := Open(cmd)
		if err != nil {
			return err
		}
		return WithExitCode(run(ctx, cmd, s))
	}
}

// WithExitCode returns err with the exit code Failed unless it has an exit code.
func WithExitCode(err error) error {
	var e *dragonflyexit.Error
	if err == nil || errors.As(err, &e) {
		return err
	}
	return dragonflyexit.Errorf(dragonflyexit.Failed, "%v", err)
}

// Args returns the arguments of cmd, one for each of names. Missing, empty or
// additional arguments are an error.
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
