// Package dragonflypartevent defines the events that an entry's core of prompt parts
// handles.
package dragonflypartevent

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyquarantinedpart"
)

// kind is the type of an event.
type kind uint8

// Kinds of events.
const (
	// Admit asks whether a request may be sent.
	Admit kind = iota + 1
	// Served reports that an engine answers a request.
	Served
	// Lost reports that a request was lost before it was answered.
	Lost
	// Refused reports that an endpoint has refused a connection.
	Refused
	// Received carries the quarantine of the leading control instance.
	Received
	// Unlisted carries that of an instance that does not lead.
	Unlisted
	// Confirmed reports that the leader has answered without a change.
	Confirmed
)

// Event is one input of the core. Only the fields of its kind are set.
type Event struct {
	// Kind is the type of the event.
	Kind kind
	// Parts are the shared parts of the request's prompt, in order, and the fingerprint of
	// the request.
	Parts []string
	// ID and Boot identify the endpoint of Lost and Refused and its start. SentAt is when
	// a lost request was sent to it.
	ID     string
	Boot   int64
	SentAt dragonflyinstant.Instant
	// Source names the instance of Unlisted.
	Source string
	// Quarantine lists the quarantined parts of Received and Unlisted, and AskedAt is the time at
	// which the entry asked for them: the permissions among them count from then.
	Quarantine []dragonflyquarantinedpart.Part
	AskedAt    dragonflyinstant.Instant
	// Watched are the keys of Received of which the leader asks for answers, since servers
	// crashed with them. Without HasWatched they are those of before.
	HasWatched bool
	Watched    []string
}
