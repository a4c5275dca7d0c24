// Package dragonflyheartbeat is what the head of a group sends to each member.
package dragonflyheartbeat

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
)

// Heartbeat asks a member to renew its promise to the group.
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
	// Remaining is the lease that was left when that acknowledgement arrived, as
	// the head knows it when it sends.
	Remaining dragonflyduration.Duration
	// Ready tells that every member holds the model.
	Ready bool
	// Drained tells that the head runs no request and admits none, so that a
	// leaving member interrupts nothing.
	Drained bool
	// Epoch rises with every start of the head's agent.
	Epoch uint64
	// Released tells that the head has given up its lease, so that the member
	// need not wait until its promise is over.
	Released bool
}
