// Package dragonflyclaimevent is what the core of a claimed call reacts to.
package dragonflyclaimevent

import (
	"dragonflyrelay.example/library/values/dragonflyresult"
)

// kind tells what an Event reports.
type kind uint8

// Kinds of events.
const (
	// Begin starts with the claim.
	Begin kind = iota + 1
	// Proposed carries the result of the change that was proposed last.
	Proposed
	// Answered tells that the upstream has run the call and answered.
	Answered
	// NotRun tells that the call has reached no upstream and will reach none.
	NotRun
	// Unknown tells that an upstream may have run the call and no answer came.
	Unknown
	// Tick lets time pass.
	Tick
)

// Event is one input of the core of a claimed call.
type Event struct {
	// Kind tells which of the fields below count.
	Kind kind
	// Result is the result of Proposed.
	Result dragonflyresult.Result
	// Status, Headers and Body are the answer of Answered.
	Status  int
	Headers [][2]string
	Body    []byte
}
