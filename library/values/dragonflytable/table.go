// Package dragonflytable defines control's answer to an entry's watch.
package dragonflytable

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflyroute"
)

// Table holds the changes since the entry's watch.
type Table struct {
	// Config is the configuration in force, if newer than the watch's.
	Config dragonflyconfig.Config
	// HasConfig reports whether Config is set.
	HasConfig bool
	// ConfirmationAge is an upper bound on the age of the state in the answer.
	ConfirmationAge dragonflyduration.Duration
	// Term and Revision identify the table after the changes.
	Term, Revision uint64
	// Complete reports whether Routes holds every route and replaces the table.
	Complete bool
	// Routes holds new and changed routes.
	Routes []dragonflyroute.Route
	// Removed holds the keys of removed routes.
	Removed []string
}
