// Package dragonflyclaimevent defines the events that the core of a claimed call,
// which is a call with an idempotency key, handles.
package dragonflyclaimevent

import (
	"dragonflyrelay.example/library/values/dragonflyresult"
)

// kind is the type of an event.
type kind uint8

// Kinds of events.
const (
	// Begin starts the call by claiming its key.
	Begin kind = iota + 1
	// Proposed carries the result of the last proposed change.
	Proposed
	// Answered reports that the upstream has run the call and answered.
	Answered
	// NotRun reports that the call has reached no upstream and will reach none.
	NotRun
	// Unknown reports that an upstream may have run the call but did not answer.
	Unknown
	// Tick advances the clock.
	Tick
)

// Event is one input of the core of a claimed call.
type Event struct {
	// Kind determines which of the fields below are set.
	Kind kind
	// Result is the result of Proposed.
	Result dragonflyresult.Result
	// Status, Headers and Body are the answer of Answered.
	Status  int
	Headers [][2]string
	Body    []byte
}
