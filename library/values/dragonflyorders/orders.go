// Package dragonflyorders defines control's answer to an agent's report.
package dragonflyorders

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflygrouporder"
)

// Orders is control's answer to a report.
type Orders struct {
	// Term is the consensus term of the leader that the answer is based on.
	Term uint64
	// Config is the configuration in force, if newer than the report's.
	Config dragonflyconfig.Config
	// HasConfig reports whether Config is set.
	HasConfig bool
	// ConfirmationAge is an upper bound on the age of the state in the answer.
	ConfirmationAge dragonflyduration.Duration
	// Order is the group order for the instance, if its Kind is set.
	Order dragonflygrouporder.Order
}
