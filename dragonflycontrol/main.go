// Command dragonflycontrol stores the configuration and forms groups.
package main

import (
	"os"

	"dragonflyrelay.example/dragonflycontrol/commands/dragonflyserve"
	"dragonflyrelay.example/dragonflycontrol/queries/dragonflychecksettings"
	"dragonflyrelay.example/library/common/dragonflyprogram"
	"github.com/urfave/cli/v3"
)

func main() {
	os.Exit(dragonflyprogram.Program{
		Name:     "dragonflycontrol",
		Usage:    "stores the configuration and forms groups",
		Services: []string{"serve"},
		Commands: []*cli.Command{
			dragonflyserve.Command(),
			dragonflychecksettings.Command(),
		},
	}.Run(os.Args))
}
