// Package dragonflyserve is the subcommand that runs the entry.
package dragonflyserve

import (
	"context"
	"log/slog"

	"dragonflyrelay.example/dragonflyentry/commands/dragonflyentryserver"
	"dragonflyrelay.example/dragonflyentry/queries/dragonflyentrysettings"
	"github.com/urfave/cli/v3"
)

// Command returns the subcommand. It ends after a graceful shutdown when its
// context ends.
func Command() *cli.Command {
	var path string
	return &cli.Command{
		Name:  "serve",
		Usage: "take requests from callers and route them",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "settings", Usage: "path of the settings file", Required: true, Destination: &path,
		}},
		Action: func(ctx context.Context, _ *cli.Command) error {
			s, err := dragonflyentrysettings.Load(path)
			if err != nil {
				return err
			}
			srv := dragonflyentryserver.Server{
				Settings:  s,
				Listening: func(addr string) { slog.Info("listening", "address", addr) },
			}
			return srv.Run(ctx)
		},
	}
}
