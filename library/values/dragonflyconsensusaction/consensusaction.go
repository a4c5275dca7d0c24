// Package dragonflyconsensusaction is what the consensus core asks its shell to do.
package dragonflyconsensusaction

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyconsensusmessage"
	"dragonflyrelay.example/library/values/dragonflylogentry"
	"dragonflyrelay.example/library/values/dragonflylogrecord"
	"dragonflyrelay.example/library/values/dragonflysnapshot"
)

// kind tells what is asked for.
type kind uint8

// Kinds of actions.
const (
	// Persist asks to write Record to disk, after Snapshot has replaced the log
	// if HasSnapshot, and to report Persisted with Sequence once it is synced.
	Persist kind = iota + 1
	// Send asks to send Message. It may be lost.
	Send
	// Apply asks to apply Entry, which is committed. Request is the proposal that
	// waits for the result, 0 if none does.
	Apply
	// Restore asks to replace the applied state by Snapshot.
	Restore
	// Refuse answers the proposal Request, which was not appended: it is to be
	// sent to Leader, or has not run if Leader is "".
	Refuse
	// Abandon answers the proposal Request, whose outcome is unknown.
	Abandon
	// Confirm tells that a quorum acknowledged, after At, that this instance
	// leads. All entries committed before At precede this action.
	Confirm
	// Lead tells that this instance leads in Term.
	Lead
	// Follow tells that Leader, or nobody if "", leads in Term.
	Follow
)

// Action is one thing to do. Only the fields of its kind are set. Actions are
// carried out in order.
type Action struct {
	// Kind tells what is asked for.
	Kind kind
	// Sequence numbers the Persist actions.
	Sequence uint64
	// Record is what to write.
	Record dragonflylogrecord.Record
	// HasSnapshot tells that Snapshot is set and Record holds the whole log after it.
	HasSnapshot bool
	// Snapshot is what to write or to restore.
	Snapshot dragonflysnapshot.Snapshot
	// Message is what to send.
	Message dragonflyconsensusmessage.Message
	// Entry is what to apply.
	Entry dragonflylogentry.Entry
	// Request identifies a proposal within the process.
	Request uint64
	// Leader names the leader, "" if none is known.
	Leader string
	// Term is the consensus term of Lead and Follow.
	Term uint64
	// At is the instant of Confirm.
	At dragonflyinstant.Instant
}
