// Package dragonflyserve is the subcommand that runs the program.
package dragonflyserve

import (
	"context"

	"dragonflyrelay.example/dragonflycontrol/commands/dragonflycontrolserver"
	"dragonflyrelay.example/dragonflycontrol/queries/dragonflycontrolsettings"
	"dragonflyrelay.example/library/common/dragonflysettingscommand"
	"github.com/urfave/cli/v3"
)

// Command returns the subcommand. It shuts down gracefully when its context ends.
func Command() *cli.Command {
	return dragonflysettingscommand.Command[dragonflycontrolsettings.Settings]{
		Name:  "serve",
		Usage: "serves until SIGTERM, then finishes the requests in progress",
		Load:  dragonflycontrolsettings.Load,
		Run: func(ctx context.Context, s dragonflycontrolsettings.Settings) error {
			return (&dragonflycontrolserver.Server{Settings: s}).Run(ctx)
		},
	}.CLI()
}
