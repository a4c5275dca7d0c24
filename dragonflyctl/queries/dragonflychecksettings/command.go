// Package dragonflychecksettings provides the command that checks a settings file
// of dragonflyctl.
package dragonflychecksettings

import (
	"context"

	"dragonflyrelay.example/dragonflyctl/common/dragonflyctlsettings"
	"dragonflyrelay.example/dragonflyctl/common/dragonflyexit"
	"dragonflyrelay.example/dragonflyctl/common/dragonflysession"
	"github.com/urfave/cli/v3"
)

// Command returns the command "check-settings".
func Command() *cli.Command {
	return &cli.Command{
		Name: "check-settings", Usage: "check a settings file and list all faults", ArgsUsage: "FILE",
		Flags:  []cli.Flag{dragonflysession.OutputFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error { return run(cmd) },
	}
}

func run(cmd *cli.Command) error {
	args, err := dragonflysession.Args(cmd, "FILE")
	if err != nil {
		return err
	}
	if _, err := dragonflyctlsettings.Load(args[0]); err != nil {
		return dragonflyexit.Errorf(dragonflyexit.Usage, "%v", err)
	}
	return dragonflysession.Output(cmd).Lines([]string{"settings are valid"})
}
