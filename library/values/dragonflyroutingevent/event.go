// Package dragonflyroutingevent defines the events that the routing core of an
// entry handles.
package dragonflyroutingevent

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyload"
	"dragonflyrelay.example/library/values/dragonflytable"
)

// kind is the type of an event.
type kind uint8

// Kinds of events.
const (
	// ReceiveTable carries a routing table from control.
	ReceiveTable kind = iota + 1
	// Arrive adds a new request of a class to its retry budget.
	Arrive
	// SelectRoute requests a route for an attempt.
	SelectRoute
	// Sample carries the load reported in a frame of an answer.
	Sample
	// Succeed ends an attempt that was answered.
	Succeed
	// Refuse ends an attempt that the route refused.
	Refuse
	// Fail ends an attempt that failed.
	Fail
	// Abandon ends an attempt that the entry cancelled.
	Abandon
)

// Event is one input of the routing core. Only the fields of its kind are set.
type Event struct {
	// Kind determines which of the fields below are set.
	Kind kind

	// Table is the table of ReceiveTable.
	Table dragonflytable.Table
	// SentAt is the time at which the watch that Table answers was sent.
	SentAt dragonflyinstant.Instant

	// Class is the class of Arrive and SelectRoute.
	Class string
	// Model or Service names the destination of SelectRoute.
	Model, Service string
	// Affinity is the part of the prompt that determines the preferred routes.
	Affinity string
	// Remaining is the time left until the deadline; 0 means none.
	Remaining dragonflyduration.Duration
	// Retry reports whether the attempt counts against the class's retry budget.
	Retry bool
	// Forced reports whether the last attempt was lost rather than refused. Such a
	// retry draws on the budget, but an empty budget does not delay it.
	Forced bool
	// Tried lists the keys of the routes that the request has been sent to.
	Tried []string

	// Route is the key of the route of Sample, Succeed, Refuse, Fail and Abandon.
	Route string
	// Load is the load of Sample.
	Load dragonflyload.Load
	// FirstToken is, for Succeed, the time to the first token; 0 if none.
	FirstToken dragonflyduration.Duration
	// Reason is the cause of Refuse.
	Reason string
	// RetryAfter is the hint of Refuse when to retry; 0 means none.
	RetryAfter dragonflyduration.Duration
}
