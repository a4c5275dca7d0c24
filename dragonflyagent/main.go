// Command dragonflyagent runs beside one upstream and admits its work.
package main

import (
	"os"

	"dragonflyrelay.example/library/common/dragonflyprogram"
)

func main() {
	os.Exit(dragonflyprogram.Program{
		Name:  "dragonflyagent",
		Usage: "runs beside one upstream and admits its work",
	}.Run(os.Args))
}
