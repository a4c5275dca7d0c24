// Package dragonflyagentevent is what the core of a whole agent reacts to.
package dragonflyagentevent

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyadmissionevent"
	"dragonflyrelay.example/library/values/dragonflygroupevent"
	"dragonflyrelay.example/library/values/dragonflyorders"
)

// kind tells which part of the agent is meant.
type kind uint8

// Kinds of events.
const (
	// Tick advances time in all parts.
	Tick kind = iota + 1
	// Group is an event for membership and lease.
	Group
	// Admission is an event for admission.
	Admission
	// OrdersReceived carries control's answer to a report.
	OrdersReceived
)

// Event is one input. Only the fields of its kind are set.
type Event struct {
	// Kind tells which part is meant.
	Kind kind
	// Group belongs to Group.
	Group dragonflygroupevent.Event
	// Admission belongs to Admission.
	Admission dragonflyadmissionevent.Event
	// Orders belongs to Learned.
	Orders dragonflyorders.Orders
	// SentAt is, in Learned, when the report was sent.
	SentAt dragonflyinstant.Instant
}
