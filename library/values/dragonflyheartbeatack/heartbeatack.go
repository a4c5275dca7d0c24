// Package dragonflyheartbeatack defines a member's answer to a heartbeat.
package dragonflyheartbeatack

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
)

// state is the progress of a member.
type state uint8

// States of a member as seen by its head.
const (
	// Joining means that the member's engine is loading.
	Joining state = iota + 1
	// Ready means that the member's engine has loaded the group.
	Ready
	// Refused means that the member does not belong to the group.
	Refused
	// Leaving means that the member's engine has loaded the group, but the member
	// wants to leave: requests in progress continue, no new ones may start.
	Leaving
)

// Ack renews the member's promise to belong to no other group, unless State is
// Refused.
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
	// State is the progress of the member.
	State state
	// Zone is the member's availability zone, so that the head stops accepting
	// requests when the zone is taken out of service, even if the member is cut off
	// from control.
	Zone string
}
