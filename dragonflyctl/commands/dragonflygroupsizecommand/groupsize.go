// Package dragonflygroupsizecommand provides the command that sets the number of
// instances that a replica spans.
package dragonflygroupsizecommand

import (
	"strconv"

	"dragonflyrelay.example/dragonflyctl/commands/dragonflychangecommand"
	"dragonflyrelay.example/dragonflyctl/common/dragonflyexit"
	"dragonflyrelay.example/dragonflyctl/common/dragonflysession"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"github.com/urfave/cli/v3"
)

// Command returns the command "group-size".
func Command() *cli.Command {
	return dragonflychangecommand.Command{
		Name: "group-size", Usage: "set the number of instances that one replica of a model spans", ArgsUsage: "N", Build: build,
	}.CLI()
}

func build(cmd *cli.Command, _ dragonflyconfig.Config) (ch dragonflychange.Change, err error) {
	args, err := dragonflysession.Args(cmd, "N")
	if err != nil {
		return ch, err
	}
	n, err := strconv.Atoi(args[0])
	if err != nil || n < 1 {
		return ch, dragonflyexit.Errorf(dragonflyexit.Usage, "group-size: %q is not a positive integer", args[0])
	}
	return dragonflychange.Change{Kind: dragonflychange.SetGroupSize, GroupSize: n}, nil
}
