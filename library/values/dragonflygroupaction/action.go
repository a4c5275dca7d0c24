// Package dragonflygroupaction is what the cores behind group membership and
// group leases ask their shell to do.
package dragonflygroupaction

import (
	"dragonflyrelay.example/library/values/dragonflygrouporder"
	"dragonflyrelay.example/library/values/dragonflyheartbeat"
	"dragonflyrelay.example/library/values/dragonflyheartbeatack"
	"dragonflyrelay.example/library/values/dragonflymember"
)

// kind tells what to do.
type kind uint8

// Kinds of actions.
const (
	// Answer sends Ack as the answer to the heartbeat being handled.
	Answer kind = iota + 1
	// Load orders the engine to load its rank of the group in Order.
	Load
	// Unload orders the engine to drop the group in Order.
	Unload
	// Send sends Heartbeat to Member.
	Send
	// Join tells that the agent belongs to the group in Order from now on.
	Join
	// Release tells that the agent no longer belongs to the group in Order.
	Release
	// Reject tells that Order was refused for Reason.
	Reject
)

// Action is one output. Only the fields of its kind are set.
type Action struct {
	// Kind tells what to do.
	Kind kind
	// Ack belongs to Answer.
	Ack dragonflyheartbeatack.Ack
	// Order belongs to Load, Unload, Join, Release and Reject.
	Order dragonflygrouporder.Order
	// Member belongs to Send.
	Member dragonflymember.Member
	// Heartbeat belongs to Send.
	Heartbeat dragonflyheartbeat.Heartbeat
	// Reason belongs to Reject.
	Reason string
}
