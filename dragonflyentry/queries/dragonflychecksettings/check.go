// Package dragonflychecksettings builds the subcommand that checks a settings file
// of an entry.
package dragonflychecksettings

import (
	"dragonflyrelay.example/dragonflyentry/queries/dragonflyentrysettings"
	"dragonflyrelay.example/library/common/dragonflysettingscommand"
	"github.com/urfave/cli/v3"
)

// Command returns the subcommand check-settings.
func Command() *cli.Command {
	return dragonflysettingscommand.Check(dragonflyentrysettings.Load)
}
