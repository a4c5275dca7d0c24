// Package dragonflyorders is control's answer to an agent's report.
package dragonflyorders

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflygrouporder"
)

// Orders is control's answer to a report.
type Orders struct {
	// Term is the consensus term of the leader that the answer rests on.
	Term uint64
	// Config is the configuration in force, if newer than the report's.
	Config dragonflyconfig.Config
	// HasConfig tells that Config is set.
	HasConfig bool
	// ConfirmationAge bounds how old the knowledge behind the answer is.
	ConfirmationAge dragonflyduration.Duration
	// Order is the group order for the instance, if its Kind is set.
	Order dragonflygrouporder.Order
}
