// Command dragonflyentry accepts requests from callers and routes them to upstreams.
package main

import (
	"os"

	"dragonflyrelay.example/dragonflyentry/commands/dragonflyforward"
	"dragonflyrelay.example/dragonflyentry/commands/dragonflyserve"
	"dragonflyrelay.example/dragonflyentry/queries/dragonflychecksettings"
	"dragonflyrelay.example/library/common/dragonflyprogram"
	"github.com/urfave/cli/v3"
)

func main() {
	os.Exit(dragonflyprogram.Program{
		Name:     "dragonflyentry",
		Usage:    "accepts requests from callers and routes them",
		Services: []string{"serve", "forward"},
		Commands: []*cli.Command{dragonflyserve.Command(), dragonflyforward.Command(), dragonflychecksettings.Command()},
	}.Run(os.Args))
}
