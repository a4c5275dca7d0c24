// Package dragonflycallevent is what happens to a stand-in for a plain service.
package dragonflycallevent

import "dragonflyrelay.example/library/common/dragonflyduration"

// kind tells what an Event is.
type kind uint8

// Kinds of events.
const (
	// Call is a call that runs.
	Call kind = iota + 1
	// Fault changes delay and failures.
	Fault
	// End is the end of a call.
	End
)

// Event is one event. Only the fields of its kind are set.
type Event struct {
	// Kind tells what happened.
	Kind kind
	// CallID tells the calls in progress apart.
	CallID uint64
	// Request is the request id of the call, Body the SHA-256 of its body in hex.
	Request, Body string
	// Delay, FailEvery and DropEvery are the new values of Fault.
	Delay                dragonflyduration.Duration
	FailEvery, DropEvery int
}
