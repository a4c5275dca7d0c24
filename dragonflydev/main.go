// Command dragonflydev runs a whole system in one process on loopback.
package main

import (
	"os"

	"dragonflyrelay.example/dragonflydev/commands/dragonflyserve"
	"dragonflyrelay.example/library/common/dragonflyprogram"
)

func main() {
	os.Exit(dragonflyprogram.Program{
		Name:    "dragonflydev",
		Usage:   "runs a whole system in one process on loopback",
		Default: dragonflyserve.Serve,
		Flags:   dragonflyserve.Flags(),
	}.Run(os.Args))
}
