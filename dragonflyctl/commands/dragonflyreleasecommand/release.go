// Package dragonflyreleasecommand provides the command that ends the quarantine of a key.
package dragonflyreleasecommand

import (
	"dragonflyrelay.example/dragonflyctl/commands/dragonflychangecommand"
	"dragonflyrelay.example/dragonflyctl/common/dragonflysession"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"github.com/urfave/cli/v3"
)

// Command returns the command "release".
func Command() *cli.Command {
	return dragonflychangecommand.Command{
		Name: "release", Usage: "end the quarantine of a part of prompts or of a request, by the name that \"upstreams\" shows",
		ArgsUsage: "KEY", Build: build,
	}.CLI()
}

func build(cmd *cli.Command, _ dragonflyconfig.Config) (ch dragonflychange.Change, err error) {
	args, err := dragonflysession.Args(cmd, "KEY")
	if err != nil {
		return ch, err
	}
	return dragonflychange.Change{Kind: dragonflychange.ReleaseKey, Key: args[0]}, nil
}
