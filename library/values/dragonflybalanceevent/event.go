// Package dragonflybalanceevent is what the balance core reacts to.
package dragonflybalanceevent

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflydocument"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflyendpointspeed"
)

// kind tells what happened.
type kind uint8

// Kinds of events.
const (
	// Choose asks for an endpoint.
	Choose kind = iota + 1
	// Ended tells that an attempt is over.
	Ended
	// Began tells that an attempt has had its first event.
	Began
	// Measured carries the speeds of all endpoints with streams in progress.
	Measured
	// TableReceived carries the routing table.
	TableReceived
	// DocumentReceived carries the routing document, the zones taken out and the number of
	// entries.
	DocumentReceived
)

// outcome is how an attempt ended.
type outcome uint8

// Outcomes of an attempt.
const (
	// Served attempts were answered by the upstream.
	Served outcome = iota + 1
	// Refused attempts were answered with not-run.
	Refused
	// Unreachable attempts could not be sent.
	Unreachable
	// Lost attempts were sent and not answered, or answered in part.
	Lost
	// Abandoned attempts were given up by the caller or by the entry.
	Abandoned
)

// Event is one thing that happened. Only the fields of its kind are set.
type Event struct {
	// Kind tells what happened.
	Kind kind
	// Service, Model and Exclude select endpoints; Exclude lists ids.
	Service, Model string
	Exclude        []string
	// Tokens is the length of the prompt, 0 for a call without one.
	Tokens float64
	// Limit is the longest pass of an engine that lets the request be on time, 0
	// if there is no limit. With Began it is the objective of the first event, which
	// came after Waited.
	Limit, Waited dragonflyduration.Duration
	// Waiting tells that the request was chosen for before and waits for room.
	Waiting bool
	// Retry tells that the request has been sent to the service before.
	Retry bool
	// Reread tells that an engine that is lost has read the prompt, or was about to.
	Reread bool
	// ID names the endpoint of an attempt that began or ended, with its Tokens.
	// Outcome is how it ended, and HadBegun whether Began was told.
	ID       string
	Outcome  outcome
	HadBegun bool
	// Speeds are the speeds of Measured.
	Speeds []dragonflyendpointspeed.Speed
	// Endpoints is the table; Complete tells that others are gone.
	Endpoints []dragonflyendpoint.Endpoint
	Complete  bool
	// Document, OutZones and Entries are those of Stated.
	Document dragonflydocument.Document
	OutZones []string
	Entries  int
}
