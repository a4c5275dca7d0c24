// Package dragonflyservecommand is the subcommand that runs the agent.
package dragonflyservecommand

import (
	"context"
	"os"
	"runtime"

	"dragonflyrelay.example/dragonflyagent/commands/dragonflyagentserver"
	"dragonflyrelay.example/dragonflyagent/values/dragonflyagentsettings"
	"github.com/urfave/cli/v3"
)

// processors bounds the threads that run Go code. The upstream needs the
// instance's processors, and with more of them an agent without work spent a
// third more on waking idle threads.
const processors = 2

// New returns the subcommand.
func New() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "serves until SIGTERM, then finishes the requests in progress",
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "settings `file`", Required: true}},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := dragonflyagentsettings.Load(c.String("settings"))
			if err != nil {
				return err
			}
			if os.Getenv("GOMAXPROCS") == "" {
				runtime.GOMAXPROCS(processors)
			}
			return (&dragonflyagentserver.Server{Settings: s}).Run(ctx)
		},
	}
}
