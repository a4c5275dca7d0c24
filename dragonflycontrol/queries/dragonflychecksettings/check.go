// Package dragonflychecksettings provides the subcommand that checks a settings
// file.
package dragonflychecksettings

import (
	"dragonflyrelay.example/dragonflycontrol/queries/dragonflycontrolsettings"
	"dragonflyrelay.example/library/common/dragonflysettingscommand"
	"github.com/urfave/cli/v3"
)

// Command returns the check-settings subcommand.
func Command() *cli.Command {
	return dragonflysettingscommand.Check(dragonflycontrolsettings.Load)
}
