// Package dragonflyforward is the subcommand that runs a forwarding entry.
package dragonflyforward

import (
	"context"

	"dragonflyrelay.example/dragonflyentry/commands/dragonflyforwarder"
	"dragonflyrelay.example/dragonflyentry/values/dragonflyforwardsettings"
	"dragonflyrelay.example/library/common/dragonflysettingscommand"
	"dragonflyrelay.example/platform/dragonflydocumentjson"
	"github.com/urfave/cli/v3"
)

// Command returns the subcommand. It shuts down gracefully when its context is canceled.
func Command() *cli.Command {
	return dragonflysettingscommand.Command[dragonflyforwardsettings.Settings]{
		Name:  "forward",
		Usage: "forwards whole requests by a routing document until SIGTERM",
		Load:  dragonflyforwardsettings.Load,
		Run: func(ctx context.Context, s dragonflyforwardsettings.Settings) error {
			return (&dragonflyforwarder.Server{Settings: s, Decode: dragonflydocumentjson.Unmarshal, Reseed: s.Seeds}).Run(ctx)
		},
	}.CLI()
}
