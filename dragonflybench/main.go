// Command dragonflybench stands in for upstreams and measures the system.
package main

import (
	"os"

	"dragonflyrelay.example/library/common/dragonflyprogram"
)

func main() {
	os.Exit(dragonflyprogram.Program{
		Name:  "dragonflybench",
		Usage: "stands in for upstreams and measures the system",
	}.Run(os.Args))
}
