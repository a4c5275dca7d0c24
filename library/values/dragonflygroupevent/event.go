// Package dragonflygroupevent defines the events that the cores of group membership
// and group leases handle.
package dragonflygroupevent

import (
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflygrouporder"
	"dragonflyrelay.example/library/values/dragonflyheartbeat"
	"dragonflyrelay.example/library/values/dragonflyheartbeatack"
)

// kind is the type of an event.
type kind uint8

// Kinds of events.
const (
	// Tick advances the clock.
	Tick kind = iota + 1
	// Announced carries the upstream's announcement.
	Announced
	// UpstreamLost reports that the upstream's address refuses connections.
	UpstreamLost
	// Ordered carries a group order from control.
	Ordered
	// HeartbeatReceived carries a heartbeat from a head.
	HeartbeatReceived
	// OrderResolved reports the outcome of an order to the engine.
	OrderResolved
	// Leave starts the graceful shutdown of the agent.
	Leave
	// RequestsCounted reports the number of requests that run on the upstream or
	// wait for it.
	RequestsCounted
	// Acked carries a member's answer to a heartbeat.
	Acked
	// Formed creates a lease for the group in Order; Self must be its head.
	Formed
	// Ended releases the lease.
	Ended
	// EngineHoldsGroup reports whether the head's own engine has loaded the group.
	EngineHoldsGroup
)

// outcome is the result of an order to the engine.
type outcome uint8

// Outcomes of an order to the engine.
const (
	// Done means that the engine accepted the order.
	Done outcome = iota + 1
	// Refused means that the engine did not execute the order, because it has
	// received a higher fencing number.
	Refused
	// NotSent means that the order did not reach the engine.
	NotSent
	// Unknown means that the engine may or may not have executed the order.
	Unknown
)

// Event is one input of these cores. Only the fields of its kind are set.
type Event struct {
	// Kind is the type of the event.
	Kind kind
	// Announcement is the announcement of Announced.
	Announcement dragonflyannouncement.Announcement
	// Order is the group order of Ordered and Formed.
	Order dragonflygrouporder.Order
	// Self is the instance id of the head in Formed, and Epoch its epoch.
	Self  string
	Epoch uint64
	// Heartbeat is the heartbeat of HeartbeatReceived.
	Heartbeat dragonflyheartbeat.Heartbeat
	// Ack is the acknowledgement of Acked.
	Ack dragonflyheartbeatack.Ack
	// Group and Fence identify the group of OrderResolved.
	Group, Fence uint64
	// Outcome is the result of OrderResolved.
	Outcome outcome
	// Count is the number of RequestsCounted.
	Count int
	// Closed reports, for RequestsCounted, whether admission is closed, so that
	// Count can only fall.
	Closed bool
	// HoldsGroup reports, for EngineHoldsGroup, whether the engine has loaded the
	// group.
	HoldsGroup bool
}
