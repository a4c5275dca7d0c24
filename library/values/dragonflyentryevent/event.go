// Package dragonflyentryevent is what the composed core of an entry reacts to.
package dragonflyentryevent

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyframe"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"dragonflyrelay.example/library/values/dragonflytable"
	"dragonflyrelay.example/library/values/dragonflywork"
)

// kind tells what an Event reports.
type kind uint8

// Kinds of events.
const (
	// Begin brings a new request.
	Begin kind = iota + 1
	// ReceiveTable carries a table from control.
	ReceiveTable
	// Frame carries a piece of an answer, or what the shell makes of a broken
	// connection.
	Frame
	// Proposed carries the result of a proposed change.
	Proposed
	// Disconnect tells that the caller has gone away.
	Disconnect
	// Tick lets time pass.
	Tick
)

// Event is one input of the composed core. Only the fields of its kind are set.
type Event struct {
	// Kind tells which of the fields below count.
	Kind kind
	// Request is the request id of Begin, Piece, Proposed and Vanish.
	Request string

	// Work describes the request of Begin; the core fills in attempt, route,
	// time left and configuration.
	Work dragonflywork.Work
	// Deadline is the time that the request may take; 0 means no bound.
	Deadline dragonflyduration.Duration
	// MaxInFlight bounds the workspace's requests in progress; 0 means none.
	MaxInFlight int
	// ClaimKey and Fingerprint are set for a call with an idempotency key.
	ClaimKey, Fingerprint string

	// Table is the table of Learn, the answer to a watch sent at SentAt.
	Table  dragonflytable.Table
	SentAt dragonflyinstant.Instant

	// Frame is the piece of Piece.
	Frame dragonflyframe.Frame

	// Result is the result of Proposed.
	Result dragonflyresult.Result
}
