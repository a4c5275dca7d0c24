// Package dragonflyentryevent defines the events that the composed core of an entry
// handles.
package dragonflyentryevent

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyframe"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"dragonflyrelay.example/library/values/dragonflytable"
	"dragonflyrelay.example/library/values/dragonflywork"
)

// kind is the type of an event.
type kind uint8

// Kinds of events.
const (
	// Begin starts a new request.
	Begin kind = iota + 1
	// ReceiveTable carries a routing table from control.
	ReceiveTable
	// Frame carries a frame of an answer, or one that the entry generates when a
	// connection breaks.
	Frame
	// Proposed carries the result of a proposed change.
	Proposed
	// Disconnect reports that the caller has closed the connection.
	Disconnect
	// Tick advances the clock.
	Tick
)

// Event is one input of the composed core. Only the fields of its kind are set.
type Event struct {
	// Kind determines which of the fields below are set.
	Kind kind
	// Request is the request id of Begin, Frame, Proposed and Disconnect.
	Request string

	// Work describes the request of Begin; the core fills in attempt, route,
	// time left and configuration.
	Work dragonflywork.Work
	// Deadline is the time limit of the request; 0 means none.
	Deadline dragonflyduration.Duration
	// MaxInFlight limits the workspace's requests in progress; 0 means no limit.
	MaxInFlight int
	// ClaimKey and Fingerprint are set for a call with an idempotency key.
	ClaimKey, Fingerprint string

	// Table is the table of ReceiveTable, the answer to a watch sent at SentAt.
	Table  dragonflytable.Table
	SentAt dragonflyinstant.Instant

	// Frame is the frame of kind Frame.
	Frame dragonflyframe.Frame

	// Result is the result of Proposed.
	Result dragonflyresult.Result
}
