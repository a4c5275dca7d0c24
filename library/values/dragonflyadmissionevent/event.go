// Package dragonflyadmissionevent defines the events that the admission core
// handles.
package dragonflyadmissionevent

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyconditions"
	"dragonflyrelay.example/library/values/dragonflywork"
)

// kind is the type of an event.
type kind uint8

// Kinds of events.
const (
	// Tick advances the clock.
	Tick kind = iota + 1
	// Offered requests admission of Work under ID.
	Offered
	// Cancelled withdraws the request ID, whether it is queued or running.
	Cancelled
	// FirstToken reports that the first token of ID took Latency from its start.
	FirstToken
	// Progressed reports Tokens further tokens of ID with a mean gap of Latency.
	Progressed
	// Finished ends the request ID and frees its slot.
	Finished
	// ConditionsChanged replaces the conditions.
	ConditionsChanged
)

// Event is one input of the admission core. Only the fields of its kind are set.
type Event struct {
	// Kind is the type of the event.
	Kind kind
	// ID identifies the request within this agent; IDs are never reused.
	ID uint64
	// Work is the request of Offered. The core reads neither its prompt nor its
	// body.
	Work dragonflywork.Work
	// Latency is the time to the first token, or the mean gap between tokens.
	Latency dragonflyduration.Duration
	// Tokens is the number of gaps that Latency averages in Progressed.
	Tokens int
	// Conditions are the new conditions of ConditionsChanged.
	Conditions dragonflyconditions.Conditions
}
