// Package dragonflyconsensusevent defines the events that the consensus core
// handles.
package dragonflyconsensusevent

import (
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyconsensusmessage"
	"dragonflyrelay.example/library/values/dragonflysnapshot"
)

// kind is the type of an event.
type kind uint8

// Kinds of events.
const (
	// Tick advances the clock; Seed is a fresh random number.
	Tick kind = iota + 1
	// Propose requests that Change is appended on behalf of Request.
	Propose
	// Received carries a Message from another instance.
	Received
	// Persisted reports that all Persist actions up to Sequence are synced to disk.
	Persisted
	// PersistFailed reports that writes to disk fail; they are being retried.
	PersistFailed
	// Compact carries a snapshot that may replace the log up to its index.
	Compact
	// Resign requests that a leader transfers leadership, because its process is
	// shutting down.
	Resign
	// Joined reports that the instance Name requests membership.
	Joined
	// Leaving reports that the instance Name stops and requests to be replaced.
	Leaving
)

// Event is one input of the consensus core. Only the fields of its kind are set.
type Event struct {
	// Kind is the type of the event.
	Kind kind
	// Seed is the random number of a Tick.
	Seed uint64
	// Request identifies a proposal within the process.
	Request uint64
	// Change is the proposed change.
	Change dragonflychange.Change
	// Message is the received message.
	Message dragonflyconsensusmessage.Message
	// Sequence is the number of the last synced Persist action.
	Sequence uint64
	// Name is the instance that requests membership, or to be replaced.
	Name string
	// Snapshot is the state up to which the log is compacted.
	Snapshot dragonflysnapshot.Snapshot
}
