// Package dragonflytend implements the subcommand that runs the agent of the
// engine on the same machine.
package dragonflytend

import (
	"context"
	"time"

	"dragonflyrelay.example/dragonflyagent/commands/dragonflyengineagent"
	"dragonflyrelay.example/dragonflyagent/values/dragonflytendsettings"
	"dragonflyrelay.example/library/common/dragonflysettingscommand"
	"dragonflyrelay.example/platform/dragonflyengineclient"
	"github.com/urfave/cli/v3"
)

// dialTimeout bounds connecting to the engine on the same machine.
const dialTimeout = 200 * time.Millisecond

// Command returns the subcommand.
func Command() *cli.Command {
	return dragonflysettingscommand.Command[dragonflytendsettings.Settings]{
		Name:  "tend",
		Usage: "reports the engine on this machine to control and carries out its orders",
		Load:  dragonflytendsettings.Load,
		Run: func(ctx context.Context, s dragonflytendsettings.Settings) error {
			c, err := dragonflyengineclient.New(s.Engine, dialTimeout)
			if err != nil {
				return err
			}
			return (&dragonflyengineagent.Agent{Settings: s, Report: c.Report, Order: c.Order, Connect: c.Connect, Reseed: s.Seeds}).Run(ctx)
		},
	}.CLI()
}
