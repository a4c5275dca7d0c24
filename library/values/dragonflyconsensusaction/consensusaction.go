// Package dragonflyconsensusaction defines the actions that the consensus core
// requests from the code that runs it.
package dragonflyconsensusaction

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyconsensusmessage"
	"dragonflyrelay.example/library/values/dragonflylogentry"
	"dragonflyrelay.example/library/values/dragonflylogrecord"
	"dragonflyrelay.example/library/values/dragonflysnapshot"
)

// kind is the type of an action.
type kind uint8

// Kinds of actions.
const (
	// Persist writes Record to disk, after Snapshot has replaced the log if
	// HasSnapshot is set. Once it is synced, the caller reports Persisted with
	// Sequence.
	Persist kind = iota + 1
	// Send sends Message, which may be lost.
	Send
	// Apply applies Entry, which is committed. Request is the proposal that waits
	// for the result, 0 if none does.
	Apply
	// Restore replaces the applied state by Snapshot.
	Restore
	// Refuse answers the proposal Request, which was not appended: the proposer
	// must send it to Leader, or it has not run if Leader is "".
	Refuse
	// Outdated answers the proposal Request, which was not appended: the log may have a
	// later change of the same zone than those that its proposer has seen.
	Outdated
	// Abandon answers the proposal Request, whose outcome is unknown.
	Abandon
	// Confirm reports that a quorum acknowledged the leadership of this instance
	// after At. All entries committed before At precede this action.
	Confirm
	// Lead reports that this instance leads in Term.
	Lead
	// Follow reports that Leader leads in Term, or that there is no leader if it
	// is "".
	Follow
)

// Action is one output of the consensus core. Only the fields of its kind are
// set. The code that runs the core executes actions in order.
type Action struct {
	// Kind is the type of the action.
	Kind kind
	// Sequence numbers the Persist actions.
	Sequence uint64
	// Record is the log record to write.
	Record dragonflylogrecord.Record
	// HasSnapshot reports whether Snapshot is set and Record holds the complete log
	// after it.
	HasSnapshot bool
	// Optional reports that the stored snapshot and log hold all that Snapshot and Record
	// do, so that they may stay in use if the disk has no room for a second copy.
	Optional bool
	// Snapshot is the snapshot to write or to restore.
	Snapshot dragonflysnapshot.Snapshot
	// Message is the message to send.
	Message dragonflyconsensusmessage.Message
	// Entry is the log entry to apply.
	Entry dragonflylogentry.Entry
	// Request identifies a proposal within the process.
	Request uint64
	// Leader names the leader, "" if none is known.
	Leader string
	// Term is the consensus term of Lead and Follow.
	Term uint64
	// At is the time of Confirm.
	At dragonflyinstant.Instant
}
