// Package dragonflyheartbeat defines the message that the head of a group sends to
// each member.
package dragonflyheartbeat

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
)

// Heartbeat requests that a member renews its promise to belong to no other
// group.
type Heartbeat struct {
	// Group is the group's id.
	Group uint64
	// Fence is the group's fencing number.
	Fence uint64
	// Head is the instance id of the sender.
	Head string
	// Sequence numbers the head's heartbeats to this member from 1.
	Sequence uint64
	// EchoSentAt is the SentAt of the member's latest acknowledgement, on the
	// member's clock; 0 if there is none.
	EchoSentAt dragonflyinstant.Instant
	// Remaining is the lease time that was left when that acknowledgement arrived,
	// as computed by the head at the time of sending.
	Remaining dragonflyduration.Duration
	// Ready reports whether every member has loaded the model.
	Ready bool
	// Drained reports whether the head runs no request and admits none, so that a
	// leaving member interrupts nothing.
	Drained bool
	// Epoch increases with every start of the head's agent.
	Epoch uint64
	// Released reports whether the head has released its lease, so that the member
	// need not wait until its promise expires.
	Released bool
}
