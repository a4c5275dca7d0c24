// Package dragonflyforminggroup defines how far the forming of a group of engines has come.
package dragonflyforminggroup

import "dragonflyrelay.example/library/common/dragonflyduration"

// FormingGroup is a group whose head does not serve yet.
type FormingGroup struct {
	// Model names the model.
	Model string
	// Loads reports whether a member loads the weights from the store, Warm whether all
	// members have been ready in a group of the model since their start.
	Loads, Warm bool
	// Ready reports whether all members are ready, so that only the head is still to open.
	Ready bool
	// Age is the time since the group was formed, or since its members are ready.
	Age dragonflyduration.Duration
}
