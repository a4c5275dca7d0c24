// Package dragonflyadmissionevent is what the admission core reacts to.
package dragonflyadmissionevent

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyconditions"
	"dragonflyrelay.example/library/values/dragonflywork"
)

// kind tells what happened.
type kind uint8

// Kinds of events.
const (
	// Tick advances time.
	Tick kind = iota + 1
	// Offered asks for a place for Work under ID.
	Offered
	// Cancelled withdraws ID, whether it waits or runs.
	Cancelled
	// FirstToken tells that the first token of ID took Latency from its start.
	FirstToken
	// Progressed tells that Tokens tokens of ID followed each other, Latency
	// after Latency on average.
	Progressed
	// Finished gives the place of ID back.
	Finished
	// ConditionsChanged replaces the conditions.
	ConditionsChanged
)

// Event is one input. Only the fields of its kind are set.
type Event struct {
	// Kind tells what happened.
	Kind kind
	// ID identifies the request within this agent; IDs are never used again.
	ID uint64
	// Work belongs to Offered. The core reads neither prompt nor body.
	Work dragonflywork.Work
	// Latency is the time to the first token, or the mean gap between tokens.
	Latency dragonflyduration.Duration
	// Tokens is the number of gaps behind Latency in Progressed.
	Tokens int
	// Conditions belongs to Changed.
	Conditions dragonflyconditions.Conditions
}
