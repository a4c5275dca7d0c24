// Package dragonflychecksettings is the subcommand that checks a settings file.
package dragonflychecksettings

import (
	"context"
	"fmt"

	"dragonflyrelay.example/dragonflyentry/queries/dragonflyentrysettings"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Command returns the subcommand. It changes nothing and exits with 1, and a
// list of all faults, if the file is not valid.
func Command() *cli.Command {
	return &cli.Command{
		Name:      "check-settings",
		Usage:     "check a settings file and list all faults",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.NArg() != 1 {
				return errors.New("name one settings file")
			}
			if _, err := dragonflyentrysettings.Load(cmd.Args().First()); err != nil {
				return err
			}
			_, err := fmt.Fprintln(cmd.Root().Writer, "settings are valid")
			return err
		},
	}
}
