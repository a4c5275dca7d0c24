// Command dragonflycontrol keeps the configuration and forms groups.
package main

import (
	"os"

	"dragonflyrelay.example/library/common/dragonflyprogram"
)

func main() {
	os.Exit(dragonflyprogram.Program{
		Name:  "dragonflycontrol",
		Usage: "keeps the configuration and forms groups",
	}.Run(os.Args))
}
