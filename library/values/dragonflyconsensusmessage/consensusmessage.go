// Package dragonflyconsensusmessage defines the messages by which control instances
// agree on the replicated log.
package dragonflyconsensusmessage

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflylogentry"
	"dragonflyrelay.example/library/values/dragonflysnapshot"
)

// kind is the type of a message.
type kind uint8

// Kinds of messages.
const (
	// PreVote asks whether a Vote in Term would be granted; it changes no state.
	PreVote kind = iota + 1
	// PreVoteReply answers a PreVote.
	PreVoteReply
	// Vote requests the vote in Term.
	Vote
	// VoteReply answers a Vote.
	VoteReply
	// Append carries entries, or none as a heartbeat.
	Append
	// Install carries a snapshot in place of entries that the leader has compacted.
	Install
	// AppendReply answers an Append or an Install.
	AppendReply
	// Handover requests that a follower starts an election at once.
	Handover
)

// Message is one message between two control instances.
type Message struct {
	// Kind is the type of the message.
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
	// Granted reports whether a reply grants the vote or accepts the entries.
	Granted bool
	// Commit is the leader's commit index.
	Commit uint64
	// SentAt is the send time of an Append or Install on the leader's clock. The
	// reply returns it unchanged.
	SentAt dragonflyinstant.Instant
	// Entries are the entries after Index.
	Entries []dragonflylogentry.Entry
	// Snapshot is the content of an Install.
	Snapshot dragonflysnapshot.Snapshot
}
