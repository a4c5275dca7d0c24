// Package dragonflyfleetevent is what the fleet core reacts to.
package dragonflyfleetevent

import (
	"dragonflyrelay.example/library/values/dragonflydocument"
	"dragonflyrelay.example/library/values/dragonflyobservation"
)

// kind tells what happened.
type kind uint8

// Kinds of events.
const (
	// Tick tells that time has passed.
	Tick kind = iota + 1
	// Observed carries a report on an upstream.
	Observed
	// Led tells that this instance leads in Term; Followed that another does.
	Led
	Followed
	// DocumentReceived carries the routing document and the zones that are taken out.
	DocumentReceived
	// EntryConnected tells that the entry Process follows this instance.
	EntryConnected
)

// Event is one thing that happened. Only the fields of its kind are set.
type Event struct {
	// Kind tells what happened.
	Kind kind
	// Observation is the report of Observed.
	Observation dragonflyobservation.Observation
	// Term is the consensus term of Led.
	Term uint64
	// Document and OutZones are those of Stated.
	Document dragonflydocument.Document
	OutZones []string
	// Process names the entry of Asked.
	Process string
}
