// Command dragonflydev runs a whole system in one process on loopback.
package main

import (
	"os"

	"dragonflyrelay.example/library/common/dragonflyprogram"
)

func main() {
	os.Exit(dragonflyprogram.Program{
		Name:  "dragonflydev",
		Usage: "runs a whole system in one process on loopback",
	}.Run(os.Args))
}
