// Package dragonflyconsensusmessage is what control instances send each other to
// agree on the replicated log.
package dragonflyconsensusmessage

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflylogentry"
	"dragonflyrelay.example/library/values/dragonflysnapshot"
)

// kind tells what a Message asks for or answers.
type kind uint8

// Kinds of messages.
const (
	// PreVote asks whether a Vote in Term would be granted; it changes no state.
	PreVote kind = iota + 1
	// PreVoteReply answers a PreVote.
	PreVoteReply
	// Vote asks for the vote in Term.
	Vote
	// VoteReply answers a Vote.
	VoteReply
	// Append carries entries, or none as a heartbeat.
	Append
	// Install carries a snapshot in place of entries that the leader has dropped.
	Install
	// AppendReply answers an Append or an Install.
	AppendReply
	// Handover asks a follower to start an election at once.
	Handover
)

// Message is one message between two control instances.
type Message struct {
	// Kind tells what the message asks for or answers.
	Kind kind
	// From and To name the control instances.
	From, To string
	// Term is the sender's consensus term; for a PreVote and a granted
	// PreVoteReply it is the term that the candidate would start.
	Term uint64
	// Index and LogTerm name an entry of the sender's log: the last one in a
	// PreVote or Vote, the one before Entries in an Append. In an AppendReply,
	// Index is the last entry known to equal the leader's if Granted, and
	// otherwise the last one that may equal it.
	Index, LogTerm uint64
	// Granted is the answer of a reply.
	Granted bool
	// Commit is the leader's commit index.
	Commit uint64
	// SentAt is the send time of an Append or Install on the leader's clock. Its
	// reply returns the number unchanged.
	SentAt dragonflyinstant.Instant
	// Entries are the entries after Index.
	Entries []dragonflylogentry.Entry
	// Snapshot is the content of an Install.
	Snapshot dragonflysnapshot.Snapshot
}
