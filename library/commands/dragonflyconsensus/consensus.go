// Package dragonflyconsensus replicates a log among the control instances with
// the Raft algorithm as published by Ongaro and Ousterhout (2014), with pre-vote.
// A leader that loses contact with a quorum steps down.
package dragonflyconsensus

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflylist"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyconsensusaction"
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	"dragonflyrelay.example/library/values/dragonflyconsensusmessage"
	"dragonflyrelay.example/library/values/dragonflyelectionround"
	"dragonflyrelay.example/library/values/dragonflylogentry"
	"dragonflyrelay.example/library/values/dragonflylogrecord"
	"dragonflyrelay.example/library/values/dragonflymemberset"
	"dragonflyrelay.example/library/values/dragonflysnapshot"
)

// Timing of the algorithm.
const (
	// HeartbeatInterval is the time between two heartbeats of a leader.
	HeartbeatInterval = 150 * dragonflyduration.Millisecond
	// MinElectionTimeout and MaxElectionTimeout bound the randomized time without
	// contact after which a follower starts an election and a leader without a
	// quorum steps down.
	MinElectionTimeout = 600 * dragonflyduration.Millisecond
	MaxElectionTimeout = 1200 * dragonflyduration.Millisecond
	// MinStartTimeout and MaxStartTimeout bound the same time after the start of an
	// instance, which has no contact to wait for. After a full stop all instances start at
	// once. The time is longer than HeartbeatInterval, so that instances that restart beside
	// a leader hear of it first, even where they are a majority.
	MinStartTimeout = 200 * dragonflyduration.Millisecond
	MaxStartTimeout = 400 * dragonflyduration.Millisecond
	// MinElectionRetry and MaxElectionRetry bound the time until a candidate
	// without a majority tries again. They are shorter than an election timeout,
	// since no leader is active at that point, and keep a failover with one split
	// vote below 2 s.
	MinElectionRetry = 200 * dragonflyduration.Millisecond
	MaxElectionRetry = 500 * dragonflyduration.Millisecond
	// preVoteGrantDelay is the time that an instance which granted a pre-vote, or whose
	// vote is synced, leaves to the candidate before it becomes one itself. It is shorter than
	// MinElectionRetry, so that a candidate that is sending but not receiving cannot
	// hold up the others for ever.
	preVoteGrantDelay = MinElectionRetry / 2
	// SnapshotResendInterval is the time after which a snapshot is sent again to a
	// follower that has not acknowledged it.
	SnapshotResendInterval = 2 * dragonflyduration.Second
)

// MaxUnsyncedWrites is the number of Persist actions that may be waiting to be
// synced. Beyond it, proposals are refused, and entries of a leader are not appended. The
// ring to the disk duty thus never blocks the consensus duty, which
// would be a deadlock if the disk duty waited for the consensus duty in turn.
const MaxUnsyncedWrites = 1024

// maxUnsyncedTerms is the number of Persist actions beyond MaxUnsyncedWrites that may be
// waiting with a term or a vote, so that an instance whose disk does not answer knows the
// next leaders and can pass changes on. Beyond it, messages that need a write are dropped.
// Each election adds one or two, and the instance starts none itself.
const maxUnsyncedTerms = MaxUnsyncedWrites / 2

// MaxWriteTime is the time after which a write that the disk has neither carried out nor
// refused counts as failed. It is longer than the syncs of a busy disk that answers: 2.5 s
// have been measured. A leader with such a write would lead on with the copies of the
// others, and refuse every change after MaxUnsyncedWrites.
const MaxWriteTime = 3 * dragonflyduration.Second

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// progress is the replication state of one follower, kept by the leader.
type progress struct {
	next        uint64                   // index of the next entry to send
	match       uint64                   // index of the last entry known to be synced there
	ackedSentAt dragonflyinstant.Instant // latest send time of a message that it replied to
	ackedAt     dragonflyinstant.Instant // arrival of its latest reply; at first the start of replication
	zone        string                   // availability zone by its latest reply, "" if unknown
	// installedAt is when a snapshot was last sent.
	installedAt dragonflyinstant.Instant
	// leavingAt is when a member last requested to be replaced because it stops.
	leavingAt dragonflyinstant.Instant
	// joinedAt is when an instance that is not a member last requested to join, or was
	// replaced.
	joinedAt dragonflyinstant.Instant
}

// write is a Persist action that is not synced yet.
type write struct {
	sequence uint64
	last     uint64 // last log index that it contains, 0 if it has no entries
}

// deferred is a message that must not be sent until a write is synced.
type deferred struct {
	sequence uint64
	message  dragonflyconsensusmessage.Message
}

// mergesWith reports whether the message of d and that of a later one can be merged:
// replies of the same kind to the same instance that wait for the same write. The log, the
// term and the vote are the same for both, since each change of them is a write.
func (d deferred) mergesWith(later deferred) bool {
	a, b := d.message, later.message
	return d.sequence == later.sequence && a.Kind == b.Kind && a.To == b.To && a.Term == b.Term && a.Granted == b.Granted
}

// merged returns the message that replaces the one of d and the later message m. Replies
// that accept entries acknowledge all that one of them does. Of those that reject entries,
// the reply to the message that was sent last counts.
func (d deferred) merged(m dragonflyconsensusmessage.Message) dragonflyconsensusmessage.Message {
	switch {
	case m.Granted:
		m.Index = max(m.Index, d.message.Index)
	case d.message.SentAt > m.SentAt:
		m.Index = d.message.Index
	}
	m.SentAt = max(m.SentAt, d.message.SentAt)
	return m
}

// Consensus is the Raft state of one control instance. The zero value has no
// members and does nothing; New sets its identity and Restored its log.
type Consensus struct {
	self             string
	zone             string // availability zone of this instance, "" if unknown
	members          dragonflymemberset.MemberSet
	initialMembers   dragonflymemberset.MemberSet // members before the first entry, if they may change
	membersMayChange bool

	role           role
	term           uint64
	vote           string
	leader         string
	preVotes       dragonflymap.Map[string, bool]
	votes          dragonflymap.Map[string, bool]   // in the current term, for this instance
	refusals       dragonflymap.Map[string, string] // reason by member, in the current round
	lastRound      dragonflyelectionround.ElectionRound
	handoverTerm   uint64                   // term whose leader has asked this instance to succeed it, 0 if none
	handoverAt     dragonflyinstant.Instant // arrival of that request
	progress       dragonflymap.Map[string, progress]
	leaving        bool                             // this instance stops and requests to be replaced
	leadingSince   dragonflyinstant.Instant         // when it last became the leader
	termStartIndex uint64                           // index of the entry that opened this leader's term
	pending        dragonflymap.Map[uint64, uint64] // request by log index of local proposals

	snapshot dragonflysnapshot.Snapshot
	log      dragonflylist.List[dragonflylogentry.Entry]
	commit   uint64 // index of the last committed entry
	synced   uint64 // index of the last entry synced to the local disk
	detached bool   // the stored log doesn't continue the stored snapshot

	sequence       uint64 // of the latest Persist action
	voteSequence   uint64 // of the Persist action with the latest vote
	unsyncedWrites dragonflylist.List[write]
	deferred       dragonflylist.List[deferred]
	writeAt        dragonflyinstant.Instant // when the oldest unsynced write became the oldest one
	diskFailing    bool

	seed            uint64 // random number of the latest tick
	electionTimeout dragonflyduration.Duration
	electionAt      dragonflyinstant.Instant
	preVoteAt       dragonflyinstant.Instant // when it last asked for pre-votes
	heartbeatAt     dragonflyinstant.Instant
	leaderContactAt dragonflyinstant.Instant // arrival of the last message of the leader
	confirmedAt     dragonflyinstant.Instant // time of the latest Confirm action
	tickedAt        dragonflyinstant.Instant // latest tick as the leader
	resumedAt       dragonflyinstant.Instant // when it last stood still as the leader until, 0 if it has not
}

// New returns the state of instance self with an empty log. The members include
// self.
func New(self string, members []string) Consensus {
	return Consensus{self: self, members: dragonflymemberset.New(members...)}
}

// Restored returns the state after a restart from the synced snapshot and the
// synced records, in the order in which they were written. Entries that the
// snapshot covers are dropped. If the log doesn't continue the snapshot, the whole
// log is dropped, because the snapshot was installed by a leader to replace it. The
// next write then replaces the stored log: records that are added to the old one would
// be dropped with it at the next restart.
func (c Consensus) Restored(snap dragonflysnapshot.Snapshot, records []dragonflylogrecord.Record) Consensus {
	var entries dragonflylist.List[dragonflylogentry.Entry]
	for _, r := range records {
		c.term, c.vote = r.Term, r.Vote
		for _, e := range r.Entries {
			entries = withReplaced(entries, e)
		}
	}
	c.snapshot, c.commit = snap, snap.Index
	c.log, c.detached = entriesAfter(entries, snap)
	if snap.Term > c.term {
		c.term, c.vote = snap.Term, ""
	}
	c.synced = c.LastIndex()
	return c
}

// withReplaced appends e after removing the entries at its index and above. It drops the
// entries before a hole, which the snapshot covers.
func withReplaced(l dragonflylist.List[dragonflylogentry.Entry], e dragonflylogentry.Entry) dragonflylist.List[dragonflylogentry.Entry] {
	if l.Len() == 0 {
		return l.With(e)
	}
	switch first, last := l.At(0).Index, l.At(l.Len()-1).Index; {
	case e.Index <= first || e.Index > last+1:
		l = dragonflylist.List[dragonflylogentry.Entry]{}
	case e.Index <= last:
		l = l.Slice(0, int(e.Index-first))
	}
	return l.With(e)
}

// entriesAfter returns the entries of l that follow snap. detached is true if l has
// entries and doesn't continue snap.
func entriesAfter(l dragonflylist.List[dragonflylogentry.Entry], snap dragonflysnapshot.Snapshot) (rest dragonflylist.List[dragonflylogentry.Entry], detached bool) {
	if l.Len() == 0 || l.At(0).Index == snap.Index+1 {
		return l, false
	}
	at := int(snap.Index) - int(l.At(0).Index)
	if at < 0 || at >= l.Len() || l.At(at).Term != snap.Term {
		return rest, true
	}
	return l.Slice(at+1, l.Len()), false
}

// Self returns the name of the instance.
func (c Consensus) Self() string { return c.self }

// Members returns the sorted names of the members, during a change of them those before and
// after it. Callers must not modify it.
func (c Consensus) Members() []string { return c.members.All() }

// MemberSet returns the members.
func (c Consensus) MemberSet() dragonflymemberset.MemberSet { return c.members }

// Term returns the current term.
func (c Consensus) Term() uint64 { return c.term }

// Leader returns the name of the leader of the current term, "" if none is known.
func (c Consensus) Leader() string { return c.leader }

// LastRound returns the outcome of the latest round of an election that this instance
// stood in and did not win.
func (c Consensus) LastRound() dragonflyelectionround.ElectionRound { return c.lastRound }

// Leading reports whether this instance is the leader.
func (c Consensus) Leading() bool { return c.role == leader }

// FollowsQuorum reports whether this instance follows a leader with a quorum: one that has
// committed an entry of its term.
func (c Consensus) FollowsQuorum() bool {
	term, _ := c.termAt(c.commit)
	return c.role == follower && c.leader != "" && term == c.term
}

// Commit returns the index of the last entry known to be committed.
func (c Consensus) Commit() uint64 { return c.commit }

// Snapshot returns the snapshot that precedes the log.
func (c Consensus) Snapshot() dragonflysnapshot.Snapshot { return c.snapshot }

// LogLength returns the number of entries after the snapshot.
func (c Consensus) LogLength() int { return c.log.Len() }

// LastIndex returns the index of the last entry of the log.
func (c Consensus) LastIndex() uint64 { return c.snapshot.Index + uint64(c.log.Len()) }

// DiskFailing reports whether the last write to disk failed, or has been in progress for
// longer than MaxWriteTime.
func (c Consensus) DiskFailing() bool { return c.diskFailing }

// Entry returns the log entry at index i. ok is false if the log does not
// contain it.
func (c Consensus) Entry(i uint64) (e dragonflylogentry.Entry, ok bool) {
	if i <= c.snapshot.Index || i > c.LastIndex() {
		return e, false
	}
	return c.log.At(int(i - c.snapshot.Index - 1)), true
}

// termAt returns the term of the entry at index i. ok is false if the entry is
// neither in the log nor the last one of the snapshot.
func (c Consensus) termAt(i uint64) (term uint64, ok bool) {
	if i == c.snapshot.Index {
		return c.snapshot.Term, true
	}
	e, ok := c.Entry(i)
	return e.Term, ok
}

func (c Consensus) lastTerm() uint64 {
	term, _ := c.termAt(c.LastIndex())
	return term
}

// overloaded reports whether too many writes are unsynced to add one with entries.
func (c Consensus) overloaded() bool { return c.unsyncedWrites.Len() >= MaxUnsyncedWrites }

// blocked reports whether too many writes are unsynced to add one with a term or a vote.
func (c Consensus) blocked() bool {
	return c.unsyncedWrites.Len() >= MaxUnsyncedWrites+maxUnsyncedTerms
}

// Step handles the event ev, which occurred at now, and returns the next state
// and the actions to carry out in order.
func (c Consensus) Step(now dragonflyinstant.Instant, ev dragonflyconsensusevent.Event) (Consensus, []dragonflyconsensusaction.Action) {
	s := step{Consensus: c, now: now}
	switch ev.Kind {
	case dragonflyconsensusevent.Tick:
		s.tick(ev.Seed)
	case dragonflyconsensusevent.Propose:
		s.propose(ev)
	case dragonflyconsensusevent.Received:
		s.receive(ev.Message)
	case dragonflyconsensusevent.Persisted:
		s.persisted(ev.Sequence)
	case dragonflyconsensusevent.PersistFailed:
		s.persistFailed()
	case dragonflyconsensusevent.Joined:
		s.addLearner(ev.Name)
	case dragonflyconsensusevent.Leaving:
		s.markLeaving(ev.Name)
	case dragonflyconsensusevent.Resign:
		s.resign()
	case dragonflyconsensusevent.Compact:
		if !s.overloaded() {
			s.compact(ev.Snapshot)
		}
	}
	return s.Consensus, s.acts
}

// step is the mutable working state of one call of Step.
type step struct {
	Consensus
	now     dragonflyinstant.Instant
	acts    []dragonflyconsensusaction.Action
	written int // number of actions up to the latest Persist, 0 if there is none
}

func (s *step) emit(a dragonflyconsensusaction.Action) { s.acts = append(s.acts, a) }
