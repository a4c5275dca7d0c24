// Package dragonflydamagedgroup defines a group that has lost members.
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
	// Lost reports for each rank whether its member is lost.
	Lost []bool
	// Permanent reports whether a lost member will not return to the group, because
	// it has restarted, left or refused.
	Permanent bool
	// DamagedFor is the time since the damage was first detected.
	DamagedFor dragonflyduration.Duration
}

// Survivors returns the members that are not lost.
func (g DamagedGroup) Survivors() []dragonflycandidate.Candidate {
	var out []dragonflycandidate.Candidate
	for i, m := range g.Members {
		if !g.Lost[i] {
			out = append(out, m)
		}
	}
	return out
}
