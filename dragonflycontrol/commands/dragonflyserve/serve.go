// Package dragonflyserve is the subcommand that runs a control instance.
package dragonflyserve

import (
	"context"

	"dragonflyrelay.example/dragonflycontrol/commands/dragonflycontrolserver"
	"dragonflyrelay.example/dragonflycontrol/queries/dragonflycontrolsettings"
	"github.com/urfave/cli/v3"
)

// Command returns the subcommand serve.
func Command() *cli.Command {
	return &cli.Command{
		Name:      "serve",
		Usage:     "runs a control instance until SIGTERM",
		ArgsUsage: "FILE",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s, err := dragonflycontrolsettings.Load(cmd.Args().First())
			if err != nil {
				return err
			}
			return (&dragonflycontrolserver.Server{Settings: s}).Run(ctx)
		},
	}
}
