// Package dragonflygroup is a group as the replicated state records it.
package dragonflygroup

import (
	"dragonflyrelay.example/library/values/dragonflymember"
)

// Group is a replica of a model over several instances.
type Group struct {
	// ID is the group's id, which is never used again.
	ID uint64
	// Fence is the group's fencing number; later groups have higher ones.
	Fence uint64
	// Model names what the group serves.
	Model string
	// Members lists the instances in rank order; the first one is the head.
	Members []dragonflymember.Member
}
