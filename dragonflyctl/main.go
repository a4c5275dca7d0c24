// Command dragonflyctl is the operators' command line: it changes the configuration
// and shows the state of the system.
package main

import (
	"os"

	"dragonflyrelay.example/dragonflyctl/commands/dragonflyclasscommand"
	"dragonflyrelay.example/dragonflyctl/commands/dragonflygroupsizecommand"
	"dragonflyrelay.example/dragonflyctl/commands/dragonflyreleasecommand"
	"dragonflyrelay.example/dragonflyctl/commands/dragonflyservicecommand"
	"dragonflyrelay.example/dragonflyctl/commands/dragonflyworkspacecommand"
	"dragonflyrelay.example/dragonflyctl/commands/dragonflyzonecommand"
	"dragonflyrelay.example/dragonflyctl/common/dragonflyexit"
	"dragonflyrelay.example/dragonflyctl/queries/dragonflychecksettings"
	"dragonflyrelay.example/dragonflyctl/queries/dragonflygroupsquery"
	"dragonflyrelay.example/dragonflyctl/queries/dragonflyhistoryquery"
	"dragonflyrelay.example/dragonflyctl/queries/dragonflyinstancesquery"
	"dragonflyrelay.example/dragonflyctl/queries/dragonflystatusquery"
	"dragonflyrelay.example/dragonflyctl/queries/dragonflytimelinequery"
	"dragonflyrelay.example/dragonflyctl/queries/dragonflyupstreamsquery"
	"dragonflyrelay.example/dragonflyctl/queries/dragonflywatchquery"
	"dragonflyrelay.example/library/common/dragonflyprogram"
	"github.com/urfave/cli/v3"
)

func main() { os.Exit(program().Run(os.Args)) }

func program() dragonflyprogram.Program {
	return dragonflyprogram.Program{
		Name:  "dragonflyctl",
		Usage: "sets targets, takes zones out of service and shows the state of the system",
		Commands: []*cli.Command{
			dragonflyclasscommand.Command(),
			dragonflyworkspacecommand.Command(),
			dragonflyservicecommand.Command(),
			dragonflyzonecommand.Command(),
			dragonflygroupsizecommand.Command(),
			dragonflyreleasecommand.Command(),
			dragonflystatusquery.Command(),
			dragonflygroupsquery.Command(),
			dragonflyinstancesquery.Command(),
			dragonflyupstreamsquery.Command(),
			dragonflyhistoryquery.Command(),
			dragonflywatchquery.Command(),
			dragonflytimelinequery.Command(),
			dragonflychecksettings.Command(),
		},
		HandleError: func(err error) int { return dragonflyexit.Report(os.Stderr, err) },
	}
}
