// Command dragonflyentry takes requests from callers and routes them.
package main

import (
	"os"

	"dragonflyrelay.example/library/common/dragonflyprogram"
)

func main() {
	os.Exit(dragonflyprogram.Program{
		Name:  "dragonflyentry",
		Usage: "takes requests from callers and routes them",
	}.Run(os.Args))
}
