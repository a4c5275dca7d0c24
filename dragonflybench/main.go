// Command dragonflybench simulates upstreams and measures the system.
package main

import (
	"os"

	"dragonflyrelay.example/dragonflybench/commands/dragonflyconfigexperiment"
	"dragonflyrelay.example/dragonflybench/commands/dragonflygroupsexperiment"
	"dragonflyrelay.example/dragonflybench/commands/dragonflymeasure"
	"dragonflyrelay.example/dragonflybench/commands/dragonflyslopes"
	"dragonflyrelay.example/dragonflybench/commands/dragonflysoak"
	"dragonflyrelay.example/dragonflybench/commands/dragonflystandins"
	"dragonflyrelay.example/dragonflybench/commands/dragonflyzoneexperiment"
	"dragonflyrelay.example/dragonflybench/queries/dragonflychecksettings"
	"dragonflyrelay.example/library/common/dragonflyprogram"
	"github.com/urfave/cli/v3"
)

func main() {
	os.Exit(dragonflyprogram.Program{
		Name:  "dragonflybench",
		Usage: "simulates upstreams and measures the system",
		Commands: []*cli.Command{
			dragonflystandins.Engine(), dragonflystandins.Service(),
			dragonflymeasure.Load(), dragonflymeasure.Overhead(), dragonflymeasure.Calls(),
			dragonflyslopes.Command(), dragonflyconfigexperiment.Command(), dragonflygroupsexperiment.Command(), dragonflyzoneexperiment.Command(), dragonflysoak.Command(),
			dragonflychecksettings.Command(),
		},
	}.Run(os.Args))
}
