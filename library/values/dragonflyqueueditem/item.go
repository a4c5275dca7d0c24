// Package dragonflyqueueditem is one request that waits for a place on an upstream.
package dragonflyqueueditem

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
)

// Item is one waiting request.
type Item struct {
	// ID identifies the request within the agent.
	ID uint64
	// Class and Workspace select the lane.
	Class, Workspace string
	// Group and Fence name the group that the request is meant for.
	Group, Fence uint64
	// Deadline is when the answer becomes useless; 0 means never.
	Deadline dragonflyinstant.Instant
	// ConfirmedAt is when the sender's configuration was last known to be in force.
	ConfirmedAt dragonflyinstant.Instant
	// FirstToken and Gap are the targets; 0 means none.
	FirstToken, Gap dragonflyduration.Duration
}
