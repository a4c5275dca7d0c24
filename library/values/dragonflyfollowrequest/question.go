// Package dragonflyfollowrequest is what a process asks control, and tells it.
package dragonflyfollowrequest

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
)

// role is the sort of process that asks.
type role uint8

// Roles of those who ask.
const (
	// Entry processes want the routing table.
	Entry role = iota + 1
	// Agent processes want orders for the upstream beside them.
	Agent
)

// Request carries what the asker knows; control answers when it knows more, or
// after Wait.
type Request struct {
	// Process names the asker, Role its sort.
	Process string
	Role    role
	// Version is the document's version known to the asker.
	Version uint64
	// Term and Revision tell which routing table the asker has.
	Term, Revision uint64
	// Wait is how long control may hold the answer back.
	Wait dragonflyduration.Duration
	// Reports are what an agent, or a control instance on behalf of upstreams,
	// has observed.
	Reports []dragonflyobservation.Observation
	// Address is the address of the upstream beside an agent, and Order the one
	// that the agent is working on.
	Address string
	Order   dragonflyserverorder.Order
}
