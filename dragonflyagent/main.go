// Command dragonflyagent runs beside one upstream, reports its state to control and
// admits its requests.
package main

import (
	"os"

	"dragonflyrelay.example/dragonflyagent/commands/dragonflyserve"
	"dragonflyrelay.example/dragonflyagent/commands/dragonflytend"
	"dragonflyrelay.example/dragonflyagent/queries/dragonflychecksettings"
	"dragonflyrelay.example/library/common/dragonflyprogram"
	"github.com/urfave/cli/v3"
)

func main() {
	os.Exit(dragonflyprogram.Program{
		Name:     "dragonflyagent",
		Usage:    "runs beside one upstream and admits its work",
		Services: []string{"serve", "tend"},
		Commands: []*cli.Command{dragonflyserve.Command(), dragonflytend.Command(), dragonflychecksettings.Command()},
	}.Run(os.Args))
}
