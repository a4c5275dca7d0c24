// Package dragonflychecksettings is the subcommand that checks a settings file.
package dragonflychecksettings

import (
	"context"
	"fmt"

	"dragonflyrelay.example/dragonflyagent/values/dragonflyagentsettings"
	"github.com/urfave/cli/v3"
)

// New returns the subcommand.
func New() *cli.Command {
	return &cli.Command{
		Name:  "check-settings",
		Usage: "reads a settings file and lists its faults",
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "settings `file`", Required: true}},
		Action: func(_ context.Context, c *cli.Command) error {
			s, err := dragonflyagentsettings.Load(c.String("settings"))
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.Root().Writer, "settings of instance %s are valid\n", s.Instance)
			return err
		},
	}
}
