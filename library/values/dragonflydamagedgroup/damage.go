// Package dragonflydamagedgroup is a group that has lost members.
package dragonflydamagedgroup

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflycandidate"
)

// DamagedGroup is a group that cannot serve because of lost members.
type DamagedGroup struct {
	// Group is the group's id.
	Group uint64
	// Members lists the instances in rank order, the lost ones included.
	Members []dragonflycandidate.Candidate
	// Lost tells for each rank whether its member is lost.
	Lost []bool
	// Permanent tells that a lost member will not come back to the group: it has
	// restarted, left or refused.
	Permanent bool
	// DamagedFor is how long ago the group was first seen damaged.
	DamagedFor dragonflyduration.Duration
}

// Survivors returns the members that are not lost.
func (d DamagedGroup) Survivors() []dragonflycandidate.Candidate {
	var out []dragonflycandidate.Candidate
	for i, m := range d.Members {
		if !d.Lost[i] {
			out = append(out, m)
		}
	}
	return out
}
