// Package dragonflyplacedgroup defines a group of the replicated state with its
// location and load.
package dragonflyplacedgroup

import (
	"dragonflyrelay.example/library/values/dragonflycandidate"
	"dragonflyrelay.example/library/values/dragonflyload"
)

// Group is a group that is serving or loading.
type Group struct {
	// ID is the group's id.
	ID uint64
	// Model names the model that the group serves.
	Model string
	// Members lists the instances in rank order.
	Members []dragonflycandidate.Candidate
	// Ready reports whether the group can serve.
	Ready bool
	// Load is the head's latest load sample.
	Load dragonflyload.Load
}

// CrossDomain reports whether the group spans several fabric domains.
func (g Group) CrossDomain() bool {
	for _, m := range g.Members {
		if !m.SameDomain(g.Members[0]) {
			return true
		}
	}
	return false
}

// Zone returns the region and zone of the group; zone is "" if it spans several.
func (g Group) Zone() (region, zone string) {
	for _, m := range g.Members {
		if !m.SameZone(g.Members[0]) {
			return g.Members[0].Region, ""
		}
	}
	if len(g.Members) == 0 {
		return "", ""
	}
	return g.Members[0].Region, g.Members[0].Zone
}
