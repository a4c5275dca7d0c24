// Package dragonflyserve implements the subcommand that runs the agent of one
// upstream.
package dragonflyserve

import (
	"context"
	"os"
	"runtime"

	"dragonflyrelay.example/dragonflyagent/commands/dragonflyagentserver"
	"dragonflyrelay.example/dragonflyagent/values/dragonflyagentsettings"
	"dragonflyrelay.example/library/common/dragonflysettingscommand"
	"github.com/urfave/cli/v3"
)

// maxProcs bounds the threads that run Go code. The upstream needs the processors
// of the instance, and with more threads an idle agent used a third more CPU time
// for waking idle threads.
const maxProcs = 2

// Command returns the subcommand. It shuts down gracefully when its context is
// cancelled.
func Command() *cli.Command {
	return dragonflysettingscommand.Command[dragonflyagentsettings.Settings]{
		Name:  "serve",
		Usage: "serves until SIGTERM, then finishes the requests in progress",
		Load:  dragonflyagentsettings.Load,
		Run: func(ctx context.Context, s dragonflyagentsettings.Settings) error {
			if os.Getenv("GOMAXPROCS") == "" {
				runtime.GOMAXPROCS(maxProcs)
			}
			return (&dragonflyagentserver.Server{Settings: s}).Run(ctx)
		},
	}.CLI()
}
