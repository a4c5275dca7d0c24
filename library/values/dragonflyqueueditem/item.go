// Package dragonflyqueueditem defines a request that waits for a slot on an
// upstream.
package dragonflyqueueditem

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
)

// Item is one waiting request.
type Item struct {
	// ID identifies the request within the agent.
	ID uint64
	// Class and Workspace determine the queue in which the request waits.
	Class, Workspace string
	// Group and Fence identify the group that the request is addressed to.
	Group, Fence uint64
	// Deadline is the time after which the answer is useless; 0 means never.
	Deadline dragonflyinstant.Instant
	// ConfirmedAt is the time at which the sender's configuration was last confirmed
	// to be in force.
	ConfirmedAt dragonflyinstant.Instant
	// FirstToken and Gap are the target times to the first token and between tokens;
	// 0 means none.
	FirstToken, Gap dragonflyduration.Duration
}
