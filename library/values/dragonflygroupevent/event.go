// Package dragonflygroupevent is what the cores behind group membership and
// group leases react to.
package dragonflygroupevent

import (
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflygrouporder"
	"dragonflyrelay.example/library/values/dragonflyheartbeat"
	"dragonflyrelay.example/library/values/dragonflyheartbeatack"
)

// kind tells what happened.
type kind uint8

// Kinds of events.
const (
	// Tick advances time.
	Tick kind = iota + 1
	// Announced carries the upstream's announcement.
	Announced
	// UpstreamLost tells that the upstream's address refuses connections.
	UpstreamLost
	// Ordered carries a group order of control.
	Ordered
	// HeartbeatReceived carries a heartbeat of a head.
	HeartbeatReceived
	// OrderResolved tells the outcome of an order to the engine.
	OrderResolved
	// Leave starts the graceful shutdown of the agent.
	Leave
	// InFlight tells how many requests run on the upstream or wait for it.
	InFlight
	// Acked carries a member's answer to a heartbeat.
	Acked
	// Formed makes a lease for the group in Order; Self must be its head.
	Formed
	// Ended gives the lease up.
	Ended
	// HeldBySelf tells whether the head's own engine holds the group.
	HeldBySelf
)

// outcome tells what became of an order to the engine.
type outcome uint8

// Outcomes of an order to the engine.
const (
	// Done tells that the engine accepted the order.
	Done outcome = iota + 1
	// Refused tells that the engine did not execute the order, because it has
	// seen a higher fencing number.
	Refused
	// NotSent tells that the order did not reach the engine.
	NotSent
	// Unknown tells that the engine may or may not have executed the order.
	Unknown
)

// Event is one input. Only the fields of its kind are set.
type Event struct {
	// Kind tells what happened.
	Kind kind
	// Announcement belongs to Announced.
	Announcement dragonflyannouncement.Announcement
	// Order belongs to Ordered and Formed.
	Order dragonflygrouporder.Order
	// Self is the instance id of the head in Formed, and Epoch its epoch.
	Self  string
	Epoch uint64
	// Heartbeat belongs to Heard.
	Heartbeat dragonflyheartbeat.Heartbeat
	// Ack belongs to Acked.
	Ack dragonflyheartbeatack.Ack
	// Group and Fence name the group of Settled.
	Group, Fence uint64
	// Outcome belongs to Settled.
	Outcome outcome
	// Count belongs to Busy.
	Count int
	// Closed tells, in Busy, that no request is admitted any more, so that Count
	// can only fall.
	Closed bool
	// Holds belongs to HeldBySelf.
	Holds bool
}
