// Package dragonflyserve builds the subcommand that runs an entry.
package dragonflyserve

import (
	"context"

	"dragonflyrelay.example/dragonflyentry/commands/dragonflyentryserver"
	"dragonflyrelay.example/dragonflyentry/queries/dragonflyentrysettings"
	"dragonflyrelay.example/library/common/dragonflysettingscommand"
	"github.com/urfave/cli/v3"
)

// Command returns the subcommand serve. The entry shuts down gracefully when the
// context of the command ends.
func Command() *cli.Command {
	return dragonflysettingscommand.Command[dragonflyentrysettings.Settings]{
		Name:  "serve",
		Usage: "serves until SIGTERM, then finishes the requests in progress",
		Load:  dragonflyentrysettings.Load,
		Run: func(ctx context.Context, s dragonflyentrysettings.Settings) error {
			return (&dragonflyentryserver.Server{Settings: s}).Run(ctx)
		},
	}.CLI()
}
