// Package dragonflyconsensusevent is what the consensus core reacts to.
package dragonflyconsensusevent

import (
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyconsensusmessage"
	"dragonflyrelay.example/library/values/dragonflysnapshot"
)

// kind tells what happened.
type kind uint8

// Kinds of events.
const (
	// Tick tells that time has passed; Seed is a fresh random number.
	Tick kind = iota + 1
	// Propose asks to append Change on behalf of Request.
	Propose
	// Received carries a Message of another instance.
	Received
	// Persisted tells that all Persist actions up to Sequence are synced to disk.
	Persisted
	// PersistFailed tells that the disk refuses writes; they are being retried.
	PersistFailed
	// Compact carries a snapshot that may replace the log up to its index.
	Compact
	// Resign asks a leader to hand over, because its process is about to end.
	Resign
	// Joined tells that the instance Name asks to become a member.
	Joined
)

// Event is one thing that happened. Only the fields of its kind are set.
type Event struct {
	// Kind tells what happened.
	Kind kind
	// Seed is the random number of a Tick.
	Seed uint64
	// Request identifies a proposal within the process.
	Request uint64
	// Change is what is proposed.
	Change dragonflychange.Change
	// Message is what was received.
	Message dragonflyconsensusmessage.Message
	// Sequence is the number of the last synced Persist action.
	Sequence uint64
	// Name is the instance that asks to become a member.
	Name string
	// Snapshot is the state to compact to.
	Snapshot dragonflysnapshot.Snapshot
}
