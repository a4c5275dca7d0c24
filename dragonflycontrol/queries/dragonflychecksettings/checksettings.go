// Package dragonflychecksettings checks a settings file without starting anything.
package dragonflychecksettings

import (
	"context"
	"fmt"

	"dragonflyrelay.example/dragonflycontrol/queries/dragonflycontrolsettings"
	"github.com/urfave/cli/v3"
)

// Command returns the subcommand check-settings.
func Command() *cli.Command {
	return &cli.Command{
		Name:      "check-settings",
		Usage:     "checks a settings file and lists all faults",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, cmd *cli.Command) error {
			s, err := dragonflycontrolsettings.Load(cmd.Args().First())
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.Root().Writer, "settings of %s are sound; members: %v\n", s.Instance, s.Names())
			return err
		},
	}
}
