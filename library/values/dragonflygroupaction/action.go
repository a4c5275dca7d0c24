// Package dragonflygroupaction defines the actions that the cores of group
// membership and group leases request from the code that runs them.
package dragonflygroupaction

import (
	"dragonflyrelay.example/library/values/dragonflygrouporder"
	"dragonflyrelay.example/library/values/dragonflyheartbeat"
	"dragonflyrelay.example/library/values/dragonflyheartbeatack"
	"dragonflyrelay.example/library/values/dragonflymember"
)

// kind is the type of an action.
type kind uint8

// Kinds of actions.
const (
	// Answer sends Ack as the answer to the heartbeat being handled.
	Answer kind = iota + 1
	// Load orders the engine to load its rank of the group in Order.
	Load
	// Unload orders the engine to unload the group in Order.
	Unload
	// Send sends Heartbeat to Member.
	Send
	// Join reports that the agent now belongs to the group in Order.
	Join
	// Release reports that the agent no longer belongs to the group in Order.
	Release
	// Reject reports that Order was refused for Reason.
	Reject
)

// Action is one output of these cores. Only the fields of its kind are set.
type Action struct {
	// Kind is the type of the action.
	Kind kind
	// Ack is the acknowledgement of Answer.
	Ack dragonflyheartbeatack.Ack
	// Order is the group order of Load, Unload, Join, Release and Reject.
	Order dragonflygrouporder.Order
	// Member is the recipient of Send.
	Member dragonflymember.Member
	// Heartbeat is the message of Send.
	Heartbeat dragonflyheartbeat.Heartbeat
	// Reason is the cause of Reject.
	Reason string
}
