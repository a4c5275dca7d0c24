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

// refusal is the reason for which an instance does not grant a vote or a pre-vote.
type refusal uint8

// Reasons for a refusal.
const (
	// LeaderActive means that the voter leads, or has been in contact with a leader.
	LeaderActive refusal = iota + 1
	// LogBehind means that the log of the candidate lacks entries of the voter.
	LogBehind
	// TermPassed means that the term of the request is not above that of the voter.
	TermPassed
	// VoteGiven means that the voter has voted for another candidate, or asks for votes
	// itself.
	VoteGiven
	// VoteUnsynced means that the voter is still writing its vote in an earlier term.
	VoteUnsynced
)

// String returns the reason as it is written to the log.
func (r refusal) String() string {
	switch r {
	case LeaderActive:
		return "leader-active"
	case LogBehind:
		return "log-behind"
	case TermPassed:
		return "term-passed"
	case VoteGiven:
		return "vote-given"
	case VoteUnsynced:
		return "vote-unsynced"
	}
	return "no-reason"
}

// Message is one message between two control instances.
type Message struct {
	// Kind is the type of the message.
	Kind kind
	// From and To name the control instances.
	From, To string
	// Zone is the availability zone of the sender, "" if it is not known.
	Zone string
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
	// Refusal is the reason why a PreVoteReply or VoteReply does not grant the vote.
	Refusal refusal
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
