// Package dragonflyheartbeatack is a member's answer to a heartbeat.
package dragonflyheartbeatack

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
)

// state tells how far the member is.
type state uint8

// States of a member as seen by its head.
const (
	// Joining tells that the member's engine is loading.
	Joining state = iota + 1
	// Ready tells that the member's engine holds the group.
	Ready
	// Refused tells that the member does not belong to the group.
	Refused
	// Leaving tells that the member's engine holds the group and the member wants
	// to leave: requests in progress go on, no new ones may start.
	Leaving
)

// Ack renews the member's promise, unless State is Refused.
type Ack struct {
	// Group is the group's id.
	Group uint64
	// Fence is the group's fencing number.
	Fence uint64
	// Member is the instance id of the sender.
	Member string
	// Sequence is that of the heartbeat.
	Sequence uint64
	// SentAt is the time of sending on the member's clock.
	SentAt dragonflyinstant.Instant
	// State tells how far the member is.
	State state
	// Zone is the member's availability zone, so that the head stops taking work
	// when it is taken out although the member cannot hear of it.
	Zone string
}
