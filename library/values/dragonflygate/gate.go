// Package dragonflygate defines the permission to relay tokens of a group.
package dragonflygate

import "dragonflyrelay.example/library/common/dragonflyinstant"

// Gate permits the head of one group to relay until the group's lease ends. The
// zero Gate permits nothing.
type Gate struct {
	// Group and Fence name the group; both are 0 for a plain service.
	Group, Fence uint64
	// ValidUntil is the end of the lease on the agent's own clock.
	ValidUntil dragonflyinstant.Instant
}

// Allows reports whether a token of the given group may be relayed at now.
func (g Gate) Allows(now dragonflyinstant.Instant, group, fence uint64) bool {
	return g.Group == group && g.Fence == fence && now.Before(g.ValidUntil)
}
