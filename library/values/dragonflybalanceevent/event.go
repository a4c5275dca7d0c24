// Package dragonflybalanceevent defines the events that the balance core handles.
package dragonflybalanceevent

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflydocument"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflyendpointlimit"
	"dragonflyrelay.example/library/values/dragonflyendpointspeed"
	"dragonflyrelay.example/library/values/dragonflymodeladmission"
)

// kind is the type of an event.
type kind uint8

// Kinds of events.
const (
	// Choose requests an endpoint for an attempt.
	Choose kind = iota + 1
	// Ended reports the end of an attempt.
	Ended
	// Began reports the first event of an attempt.
	Began
	// Measured carries the speeds of all endpoints with streams in progress.
	Measured
	// TableReceived carries the routing table.
	TableReceived
	// DocumentReceived carries the routing document, the zones taken out of service
	// and the number of entries.
	DocumentReceived
	// LimitAnswered carries what an answer says of the limit of its endpoint, and
	// LimitsReceived the limits that all entries have seen.
	LimitAnswered
	LimitsReceived
	// LeavingAnswered reports that an answer of the endpoint ID with Boot says that it
	// leaves.
	LeavingAnswered
	// AdmissionsReceived carries the leader's decisions for overloaded models.
	AdmissionsReceived
	// PauseAnswered reports that an answer of the endpoint ID with Boot asks for no
	// request for the time Pause.
	PauseAnswered
)

// outcome is the result of an attempt.
type outcome uint8

// Outcomes of an attempt.
const (
	// Served attempts were answered by the upstream.
	Served outcome = iota + 1
	// Refused attempts were answered as not run by the upstream.
	Refused
	// Unreachable attempts could not be sent.
	Unreachable
	// Lost attempts were sent but answered in part or not at all.
	Lost
	// Abandoned attempts were cancelled by the caller or by the entry.
	Abandoned
)

// Event is one input of the balance core. Only the fields of its kind are set.
type Event struct {
	// Kind is the type of the event.
	Kind kind
	// Service and Model select the endpoints of Choose; Exclude lists the ids of
	// endpoints to leave out. They are set for Began and Ended if Waited is the time to the
	// first event or answer of a first attempt, or the time for which it had none.
	Service, Model string
	Exclude        []string
	// Rank is the urgency of the request of Choose, 0 first, and Workspace its workspace.
	Rank      int
	Workspace string
	// Tokens is the length of the prompt, 0 for a call without one.
	Tokens float64
	// Limit is the longest time of one engine pass (decoding steps and prefill)
	// at which the request still meets its target, 0 if there is no limit. For
	// Began it is the target for the first event, which arrived after Waited.
	Limit, Waited dragonflyduration.Duration
	// Waiting reports that Choose was called for the request before, admitted it and found
	// no free endpoint.
	Waiting bool
	// Retry reports whether the request has been sent to the service before.
	Retry bool
	// RepeatedPrefill reports whether the attempt repeats the prefill of an attempt
	// whose engine was lost.
	RepeatedPrefill bool
	// Move reports that the request is in progress at another endpoint, which may still
	// answer it. Endpoints that are avoided are not chosen for it.
	Move bool
	// Hedge reports that Choose, with Move and Retry, sends a request a second time that has
	// had no answer for Waited, while the first attempt continues. Objective is the target for
	// the answer or the first event. Only an endpoint that is neither cold nor full is chosen,
	// and none while the model is shedding load.
	Hedge     bool
	Objective dragonflyduration.Duration
	// ID names the endpoint of an attempt that began, was answered or ended; Tokens is its prompt
	// length. Outcome is its result, and HadBegun reports whether Began preceded.
	ID    string
	Boot  int64
	Pause dragonflyduration.Duration
	// PauseUnknown reports that the time of PauseAnswered cannot be read.
	PauseUnknown bool
	Outcome      outcome
	HadBegun     bool
	// Speeds are the speeds of Measured.
	Speeds []dragonflyendpointspeed.Speed
	// Endpoints is the routing table. Complete reports whether all upstreams and
	// entries have reported to the leader: endpoints missing from the table have been
	// removed, and Entries is their whole number.
	Endpoints []dragonflyendpoint.Endpoint
	Complete  bool
	// Document, OutZones and Entries belong to DocumentReceived.
	Document dragonflydocument.Document
	OutZones []string
	Entries  int
	// Admissions belong to AdmissionsReceived.
	Admissions []dragonflymodeladmission.Admission
	// Limits belong to LimitAnswered and LimitsReceived. The ages of the latter count
	// from AskedAt, the time of the entry's request to control.
	Limits  []dragonflyendpointlimit.Limit
	AskedAt dragonflyinstant.Instant
}
