// Package dragonflyconsensus agrees on the replicated log among the control
// instances. It follows the Raft algorithm as published by Ongaro and Ousterhout
// (2014) with pre-vote, and a leader that hears from no quorum steps down.
package dragonflyconsensus

import (
	"slices"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflylist"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyconsensusaction"
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	"dragonflyrelay.example/library/values/dragonflyconsensusmessage"
	"dragonflyrelay.example/library/values/dragonflylogentry"
	"dragonflyrelay.example/library/values/dragonflylogrecord"
	"dragonflyrelay.example/library/values/dragonflysnapshot"
)

// Times of the algorithm.
const (
	// HeartbeatInterval is the time between two heartbeats of a leader.
	HeartbeatInterval = 150 * dragonflyduration.Millisecond
	// MinElectionTimeout and MaxElectionTimeout bound the silence after which an
	// instance asks for votes, and a leader without a quorum steps down.
	MinElectionTimeout = 600 * dragonflyduration.Millisecond
	MaxElectionTimeout = 1200 * dragonflyduration.Millisecond
	// MinRetry and MaxRetry bound the time until the next attempt of a candidate
	// without a majority. They are shorter than an election timeout, since it
	// already knows that no leader is active, and keep a failover with one split
	// vote below 2 s.
	MinRetry = 200 * dragonflyduration.Millisecond
	MaxRetry = 500 * dragonflyduration.Millisecond
	// InstallInterval is the time after which a snapshot is sent again to a
	// follower that has not acknowledged it.
	InstallInterval = 2 * dragonflyduration.Second
)

// MaxUnsynced bounds the Persist actions that are not yet synced. What would add
// to them is refused beyond it, so that the ring to the disk never blocks the
// consensus duty: the disk duty could then wait for the consensus duty forever.
const MaxUnsynced = 1024

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// progress is what a leader knows of one follower.
type progress struct {
	next  uint64                   // next entry to send
	match uint64                   // last entry known to be synced there
	acked dragonflyinstant.Instant // send time of the latest acknowledged message
	heard dragonflyinstant.Instant // when that acknowledgement arrived
	// installedAt is when a snapshot was last sent.
	installedAt dragonflyinstant.Instant
	// joinedAt is when an instance that is no member last asked to become one.
	joinedAt dragonflyinstant.Instant
}

// write is a Persist action that is not yet synced.
type write struct {
	sequence uint64
	last     uint64 // last log index that is synced with it, 0 if it has no entries
}

// held is a message that must not be sent before a write is synced.
type held struct {
	sequence uint64
	message  dragonflyconsensusmessage.Message
}

// Consensus is the state of one control instance. The zero value has no members
// and does nothing; New and Restored give it its identity and its log.
type Consensus struct {
	self     string
	members  []string
	initial  []string // members before the first entry, if they may change
	changing bool     // members may change

	role      role
	term      uint64
	vote      string
	leader    string
	votes     dragonflymap.Map[string, bool]
	progress  dragonflymap.Map[string, progress]
	termStart uint64 // index of the entry that opened this leader's term
	pending   dragonflymap.Map[uint64, uint64]

	snapshot dragonflysnapshot.Snapshot
	log      dragonflylist.List[dragonflylogentry.Entry]
	commit   uint64
	synced   uint64

	sequence uint64
	writes   dragonflylist.List[write]
	held     dragonflylist.List[held]
	failing  bool

	seed        uint64
	timeout     dragonflyduration.Duration
	electionAt  dragonflyinstant.Instant
	heartbeatAt dragonflyinstant.Instant
	heardAt     dragonflyinstant.Instant // last message of the leader
	confirmedAt dragonflyinstant.Instant
}

// New returns the consensus state of instance self without a log. The members
// include self.
func New(self string, members []string) Consensus {
	sorted := slices.Clone(members)
	slices.Sort(sorted)
	return Consensus{self: self, members: sorted}
}

// Restored returns the state after a restart, from what was synced: the
// snapshot and the records in the order of their writes. Entries that the
// snapshot contains are dropped. If the log disagrees with the snapshot, the
// whole log is dropped, because a leader installed the snapshot in its place.
func (c Consensus) Restored(snap dragonflysnapshot.Snapshot, records []dragonflylogrecord.Record) Consensus {
	var entries dragonflylist.List[dragonflylogentry.Entry]
	for _, r := range records {
		c.term, c.vote = r.Term, r.Vote
		for _, e := range r.Entries {
			entries = replace(entries, e)
		}
	}
	c.snapshot, c.commit = snap, snap.Index
	c.log = after(entries, snap)
	if snap.Term > c.term {
		c.term, c.vote = snap.Term, ""
	}
	c.synced = c.LastIndex()
	return c
}

// replace appends e after removing the entries from its index on.
func replace(l dragonflylist.List[dragonflylogentry.Entry], e dragonflylogentry.Entry) dragonflylist.List[dragonflylogentry.Entry] {
	if l.Len() > 0 && l.At(l.Len()-1).Index >= e.Index {
		keep := int(e.Index) - int(l.At(0).Index)
		l = l.Slice(0, max(keep, 0))
	}
	return l.With(e)
}

// after returns the entries of l that follow snap.
func after(l dragonflylist.List[dragonflylogentry.Entry], snap dragonflysnapshot.Snapshot) dragonflylist.List[dragonflylogentry.Entry] {
	if l.Len() == 0 || l.At(0).Index == snap.Index+1 {
		return l
	}
	at := int(snap.Index) - int(l.At(0).Index)
	if at < 0 || at >= l.Len() || l.At(at).Term != snap.Term {
		return dragonflylist.List[dragonflylogentry.Entry]{}
	}
	return l.Slice(at+1, l.Len())
}

// Self returns the name of the instance.
func (c Consensus) Self() string { return c.self }

// Members returns the names of all instances in order; callers must not write it.
func (c Consensus) Members() []string { return c.members }

// Term returns the current term.
func (c Consensus) Term() uint64 { return c.term }

// Leader returns the name of the leader of the current term, "" if none is known.
func (c Consensus) Leader() string { return c.leader }

// Leading reports whether this instance is the leader.
func (c Consensus) Leading() bool { return c.role == leader }

// Commit returns the index of the last entry known to be committed.
func (c Consensus) Commit() uint64 { return c.commit }

// Snapshot returns the state that the log starts after.
func (c Consensus) Snapshot() dragonflysnapshot.Snapshot { return c.snapshot }

// LogLength returns the number of entries after the snapshot.
func (c Consensus) LogLength() int { return c.log.Len() }

// LastIndex returns the index of the last entry of the log.
func (c Consensus) LastIndex() uint64 { return c.snapshot.Index + uint64(c.log.Len()) }

// Failing reports whether the disk refuses writes.
func (c Consensus) Failing() bool { return c.failing }

// Entry returns the log entry at index i, and whether the log still has it.
func (c Consensus) Entry(i uint64) (e dragonflylogentry.Entry, ok bool) {
	if i <= c.snapshot.Index || i > c.LastIndex() {
		return e, false
	}
	return c.log.At(int(i - c.snapshot.Index - 1)), true
}

// termAt returns the term of the entry at index i, and whether it is known.
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

// quorum returns the number of instances that form a majority.
func (c Consensus) quorum() int { return len(c.members)/2 + 1 }

// overloaded reports whether the disk is too far behind for more writes.
func (c Consensus) overloaded() bool { return c.writes.Len() >= MaxUnsynced }

// Step decides on the event ev that happened at now.
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
		s.join(ev.Name)
	case dragonflyconsensusevent.Resign:
		s.resign()
	case dragonflyconsensusevent.Compact:
		if !s.overloaded() {
			s.compact(ev.Snapshot)
		}
	}
	return s.Consensus, s.acts
}

// step is the working copy of one call of Step.
type step struct {
	Consensus
	now  dragonflyinstant.Instant
	acts []dragonflyconsensusaction.Action
}

func (s *step) act(a dragonflyconsensusaction.Action) { s.acts = append(s.acts, a) }
