// Command dragonflyctl states targets and takes zones out and in.
package main

import (
	"os"

	"dragonflyrelay.example/library/common/dragonflyprogram"
)

func main() {
	os.Exit(dragonflyprogram.Program{
		Name:  "dragonflyctl",
		Usage: "states targets and takes zones out and in",
	}.Run(os.Args))
}
