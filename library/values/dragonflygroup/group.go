// Package dragonflygroup defines a group of the replicated state.
package dragonflygroup

import (
	"dragonflyrelay.example/library/values/dragonflymember"
)

// Group is a replica of a model over several instances.
type Group struct {
	// ID is the group's id, which is never reused.
	ID uint64
	// Fence is the group's fencing number; later groups have higher ones.
	Fence uint64
	// Model names the model that the group serves.
	Model string
	// Members lists the instances in rank order; the first one is the head.
	Members []dragonflymember.Member
}
