// Package dragonflychecksettings implements the subcommand that checks a settings
// file.
package dragonflychecksettings

import (
	"dragonflyrelay.example/dragonflyagent/values/dragonflyagentsettings"
	"dragonflyrelay.example/library/common/dragonflysettingscommand"
	"github.com/urfave/cli/v3"
)

// Command returns the subcommand.
func Command() *cli.Command {
	return dragonflysettingscommand.Check(dragonflyagentsettings.Load)
}
