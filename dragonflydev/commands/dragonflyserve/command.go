// Package dragonflyserve provides the command that runs a local system.
package dragonflyserve

import (
	"context"
	"fmt"
	"os"
	"time"

	"dragonflyrelay.example/dragonflydev/commands/dragonflylocalsystem"
	"dragonflyrelay.example/dragonflydev/values/dragonflydevsettings"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Flags returns the flags of Serve.
func Flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:8080", Usage: "IP and port of the first entry"},
		&cli.StringFlag{Name: "folder", Usage: "existing folder for data and timelines (default: a temporary one)"},
		&cli.IntFlag{Name: "entries", Value: 2, Usage: "number of entries"},
		&cli.StringSliceFlag{Name: "zone", Value: []string{"zona-a", "zona-b", "zona-c"}, Usage: "names of the availability zones"},
		&cli.IntFlag{Name: "groups-per-zone", Value: 1, Usage: "groups of engines in each zone"},
		&cli.IntFlag{Name: "group-size", Value: 2, Usage: "engines in each group"},
		&cli.DurationFlag{Name: "load-time", Value: 300 * time.Millisecond, Usage: "time an engine takes to load the model"},
	}
}

// Serve runs a local system until ctx ends.
func Serve(ctx context.Context, cmd *cli.Command) (err error) {
	defer func() { err = errors.WithMessage(err, "serve") }()
	folder := cmd.String("folder")
	if folder == "" {
		if folder, err = os.MkdirTemp("", "dragonflydev-"); err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(folder) }()
	}
	s := &dragonflylocalsystem.System{Settings: dragonflydevsettings.Settings{
		Listen: cmd.String("listen"), Folder: folder, Entries: cmd.Int("entries"),
		Zones: cmd.StringSlice("zone"), GroupsPerZone: cmd.Int("groups-per-zone"),
		GroupSize: cmd.Int("group-size"),
		LoadTime:  dragonflyduration.Duration(cmd.Duration("load-time")),
	}}
	err = s.Start(ctx)
	if err == nil {
		printInstructions(cmd, s, folder)
		<-ctx.Done()
	}
	if stopErr := s.Stop(); err == nil {
		err = stopErr
	}
	return err
}

func printInstructions(cmd *cli.Command, s *dragonflylocalsystem.System, folder string) {
	w := cmd.Root().Writer
	_, _ = fmt.Fprintf(w, `The local system serves on %v; control is %s; the engines are %v; data and timelines are in %s.
Request a streamed answer:

curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{"model":"standin","stream":true,"max_tokens":16,"messages":[{"role":"user","content":"Describe a navy linen."}]}'

`, s.Entries(), s.Control(), s.Engines(), folder, s.Entries()[0], dragonflylocalsystem.WorkspaceKey)
}
