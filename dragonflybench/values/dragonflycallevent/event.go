// Package dragonflycallevent describes the events of a stand-in for a plain service.
package dragonflycallevent

import "dragonflyrelay.example/library/common/dragonflyduration"

// kind is the kind of an Event.
type kind uint8

// Kinds of events.
const (
	// Call is a call that runs.
	Call kind = iota + 1
	// Fault is a change of the delay and of the injected failures.
	Fault
	// End is the end of a call.
	End
)

// Event is one event. Only the fields of its kind are set.
type Event struct {
	// Kind is the kind of the event.
	Kind kind
	// CallID identifies the call among those in progress.
	CallID uint64
	// Request is the request id of the call, Body the SHA-256 of its body in hex.
	Request, Body string
	// Delay, FailEvery and DropEvery are the new settings of a Fault.
	Delay                dragonflyduration.Duration
	FailEvery, DropEvery int
}
