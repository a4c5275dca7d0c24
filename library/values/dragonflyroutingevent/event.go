// Package dragonflyroutingevent is what the routing core of an entry reacts to.
package dragonflyroutingevent

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyload"
	"dragonflyrelay.example/library/values/dragonflytable"
)

// kind tells what an Event reports.
type kind uint8

// Kinds of events.
const (
	// ReceiveTable carries a table from control.
	ReceiveTable kind = iota + 1
	// Arrive counts a new request of a class towards its retry budget.
	Arrive
	// SelectRoute asks for a route for an attempt.
	SelectRoute
	// Sample carries a load that a piece of an answer told.
	Sample
	// Succeed ends an attempt that was answered.
	Succeed
	// Refuse ends an attempt that the route refused.
	Refuse
	// Fail ends an attempt that broke.
	Fail
	// Abandon ends an attempt that the entry cancelled.
	Abandon
)

// Event is one input of the routing core. Only the fields of its kind are set.
type Event struct {
	// Kind tells which of the fields below count.
	Kind kind

	// Table is the table of Learn.
	Table dragonflytable.Table
	// SentAt is when the watch that Table answers was sent.
	SentAt dragonflyinstant.Instant

	// Class is the class of Arrive and Want.
	Class string
	// Model or Service names what Want asks for.
	Model, Service string
	// Affinity is the part of the prompt that decides on the preferred routes.
	Affinity string
	// Remaining is the time left until the deadline; 0 means none.
	Remaining dragonflyduration.Duration
	// Retry tells that the attempt counts against the class's retry budget.
	Retry bool
	// Forced tells that the last attempt was lost rather than refused. It draws
	// on the budget but is not held back by an empty one.
	Forced bool
	// Tried lists the keys of the routes that the request has been on.
	Tried []string

	// Route is the key of the route of Sample, Succeed, Refuse, Fail and Abandon.
	Route string
	// Load is the load of Sample.
	Load dragonflyload.Load
	// FirstToken is, for Succeed, the time until the first token; 0 if none.
	FirstToken dragonflyduration.Duration
	// Reason is the reason of Refuse.
	Reason string
	// RetryAfter is the hint of Refuse; 0 means none.
	RetryAfter dragonflyduration.Duration
}
