// Package dragonflyagentevent defines the events that the core of an agent handles.
package dragonflyagentevent

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyadmissionevent"
	"dragonflyrelay.example/library/values/dragonflygroupevent"
	"dragonflyrelay.example/library/values/dragonflyorders"
)

// kind is the component of the agent that an event is for.
type kind uint8

// Kinds of events.
const (
	// Tick advances the clock of all components.
	Tick kind = iota + 1
	// Group is an event for the group membership and the group lease.
	Group
	// Admission is an event for the admission core.
	Admission
	// OrdersReceived carries control's answer to a report.
	OrdersReceived
)

// Event is one input of the core of an agent. Only the fields of its kind are set.
type Event struct {
	// Kind is the component that the event is for.
	Kind kind
	// Group is the event of kind Group.
	Group dragonflygroupevent.Event
	// Admission is the event of kind Admission.
	Admission dragonflyadmissionevent.Event
	// Orders is the answer of OrdersReceived.
	Orders dragonflyorders.Orders
	// SentAt is the time at which the report that Orders answers was sent.
	SentAt dragonflyinstant.Instant
}
