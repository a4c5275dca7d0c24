package dragonflyconsensus

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflylist"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyconsensusaction"
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	"dragonflyrelay.example/library/values/dragonflyconsensusmessage"
	"dragonflyrelay.example/library/values/dragonflylogentry"
	"dragonflyrelay.example/library/values/dragonflymemberset"
	"dragonflyrelay.example/library/values/dragonflysnapshot"
)

// Bounds of replication.
const (
	// maxAppendEntries bounds the entries of one Append.
	maxAppendEntries = 256
	// maxAppendBytes bounds the bytes of response bodies in the entries of one
	// Append, so that with the other fields of 256 entries it stays below the 4 MiB
	// limit of one transport message. Routing documents are not counted: an Append
	// with one may be larger, and the sender then splits it into chunks.
	maxAppendBytes = 1 << 20
	// maxUnackedEntries bounds the unacknowledged entries sent to one follower.
	maxUnackedEntries = 2 * maxAppendEntries
)

// noteStandstill notes until when the leader has stood still.
func (s *step) noteStandstill() {
	if s.now.Sub(s.tickedAt) > maxTickGap {
		s.resumedAt = s.now
	}
	s.tickedAt = s.now
}

func (s *step) leaderTick() {
	if s.now.Sub(s.quorumContactAt()) > s.electionTimeout {
		s.becomeFollower(s.term, "")
		return
	}
	if len(s.Members()) == 1 && s.IsMember() {
		s.confirm(s.now)
	}
	s.changeMembers()
	if !s.now.Before(s.heartbeatAt) {
		s.heartbeat()
	}
}

// quorumContactAt returns the latest instant since which a quorum has replied.
func (s *step) quorumContactAt() dragonflyinstant.Instant {
	return s.quorumInstant(func(p progress) dragonflyinstant.Instant { return p.ackedAt })
}

// quorumInstant returns the latest instant that the values of f for a quorum have
// reached. This instance counts with the current time if it is a member.
func (s *step) quorumInstant(f func(progress) dragonflyinstant.Instant) dragonflyinstant.Instant {
	return dragonflymemberset.Reached(s.members, func(name string) dragonflyinstant.Instant {
		if name == s.self {
			return s.now
		}
		p, _ := s.progress.Get(name)
		return f(p)
	})
}

// confirm emits a Confirm action: a quorum acknowledged the leadership after at.
// A new leader waits until the first entry of its term is committed, because
// until then its commit index may be behind.
func (s *step) confirm(at dragonflyinstant.Instant) {
	if at > s.confirmedAt && s.commit >= s.termStartIndex {
		s.confirmedAt = at
		s.emit(dragonflyconsensusaction.Action{Kind: dragonflyconsensusaction.Confirm, At: at})
	}
}

// confirmByReplies confirms the leadership by the replies of a quorum.
func (s *step) confirmByReplies() {
	s.confirm(s.quorumInstant(func(p progress) dragonflyinstant.Instant { return p.ackedSentAt }))
}

func (s *step) propose(ev dragonflyconsensusevent.Event) {
	if s.role != leader || s.overloaded() {
		known := s.leader
		if s.role == leader {
			known = ""
		}
		s.emit(dragonflyconsensusaction.Action{Kind: dragonflyconsensusaction.Refuse, Request: ev.Request, Leader: known})
		return
	}
	if s.outdated(ev.Change) {
		s.emit(dragonflyconsensusaction.Action{Kind: dragonflyconsensusaction.Outdated, Request: ev.Request})
		return
	}
	s.pending = s.pending.With(s.LastIndex()+1, ev.Request)
	s.appendEntry(dragonflylogentry.Entry{Change: ev.Change})
	for to := range s.progress.All() {
		s.replicate(to, false)
	}
}

// outdated reports whether an entry after the one that the proposer of ch has seen may
// concern the same zone. The entries of the snapshot are not known any more. A change that
// has waited in a connection, while its caller had another one acknowledged, is thus not
// carried out after that one.
func (s *step) outdated(ch dragonflychange.Change) bool {
	if ch.Seen == 0 {
		return false
	}
	if ch.Seen < s.snapshot.Index {
		return true
	}
	for i := ch.Seen + 1; i <= s.LastIndex(); i++ {
		if e, _ := s.Entry(i); e.Change.SameZone(ch) {
			return true
		}
	}
	return false
}

// appendEntry appends e to the local log in the current term.
func (s *step) appendEntry(e dragonflylogentry.Entry) {
	e.Index, e.Term = s.LastIndex()+1, s.term
	s.log = s.log.With(e)
	s.refreshMembers()
	s.persist([]dragonflylogentry.Entry{e})
}

// heartbeat sends each follower the entries that it lacks, or an empty Append.
func (s *step) heartbeat() {
	s.heartbeatAt = s.now.Add(HeartbeatInterval)
	for to := range s.progress.All() {
		s.replicate(to, true)
	}
}

// replicate sends the next entries to a follower. It assumes that they arrive; if
// they do not, the reply to a later message reveals the gap. Without entries to
// send, it sends an empty Append if always is true, and nothing otherwise.
func (s *step) replicate(to string, always bool) {
	p, _ := s.progress.Get(to)
	m := dragonflyconsensusmessage.Message{To: to, Term: s.term, Commit: s.commit, SentAt: s.now, Index: p.next - 1}
	term, known := s.termAt(m.Index)
	if !known {
		s.install(p, m, always)
		return
	}
	m.Kind, m.LogTerm = dragonflyconsensusmessage.Append, term
	if p.next-p.match <= maxUnackedEntries {
		m.Entries = s.entriesFrom(p.next)
	}
	if len(m.Entries) == 0 && !always {
		return
	}
	p.next += uint64(len(m.Entries))
	s.progress = s.progress.With(to, p)
	s.send(m)
}

// install sends the snapshot to a follower that lacks compacted entries. While
// the transfer is in progress, heartbeats use index 0, which matches every log.
func (s *step) install(p progress, m dragonflyconsensusmessage.Message, always bool) {
	m.Index = 0
	switch {
	case p.installedAt == 0 || s.now.Sub(p.installedAt) > SnapshotResendInterval:
		p.installedAt = s.now
		s.progress = s.progress.With(m.To, p)
		m.Kind, m.Snapshot = dragonflyconsensusmessage.Install, s.snapshot
	case always:
		m.Kind = dragonflyconsensusmessage.Append
	default:
		return
	}
	s.send(m)
}

// entriesFrom returns the entries from index on that fit into one Append.
func (s *step) entriesFrom(index uint64) (entries []dragonflylogentry.Entry) {
	size := 0
	for i := index; i <= s.LastIndex() && len(entries) < maxAppendEntries; i++ {
		e, _ := s.Entry(i)
		size += len(e.Change.Body)
		if size > maxAppendBytes && len(entries) > 0 {
			break
		}
		entries = append(entries, e)
	}
	return entries
}

func (s *step) receiveAppendReply(m dragonflyconsensusmessage.Message) {
	p, ok := s.progress.Get(m.From)
	if s.role != leader || !ok {
		return
	}
	p.ackedAt, p.zone = s.now, m.Zone
	p.ackedSentAt = max(p.ackedSentAt, m.SentAt)
	if m.Granted {
		p.match = max(p.match, m.Index)
		p.next = max(p.next, p.match+1)
	} else {
		// A follower whose log ends before an entry that it acknowledged has lost
		// its disk. A reply that arrives out of order does not show this.
		if m.SentAt == p.ackedSentAt {
			p.match = min(p.match, m.Index)
		}
		p.next = max(p.match, min(p.next-1, m.Index)) + 1
	}
	s.progress = s.progress.With(m.From, p)
	s.advanceCommit()
	s.confirmByReplies()
	s.replicate(m.From, !m.Granted)
}

// advanceCommit commits the entries that a quorum has synced. Entries of earlier
// terms are committed only together with one of the current term.
func (s *step) advanceCommit() {
	to := dragonflymemberset.Reached(s.members, func(name string) uint64 {
		if name == s.self {
			return s.synced
		}
		p, _ := s.progress.Get(name)
		return p.match
	})
	if term, _ := s.termAt(to); to <= s.commit || term != s.term {
		return
	}
	opens := s.commit < s.termStartIndex
	s.commitTo(to)
	if opens {
		s.heartbeat() // The leader before may be waiting for this.
	}
	if s.members.Changing() {
		s.changeMembers()
	}
}

// commitTo commits the entries up to index and emits an Apply action for each.
func (s *step) commitTo(index uint64) {
	for s.commit < index {
		s.commit++
		e, _ := s.Entry(s.commit)
		request, waits := s.pending.Get(s.commit)
		if waits {
			s.pending = s.pending.Without(s.commit)
		}
		s.emit(dragonflyconsensusaction.Action{Kind: dragonflyconsensusaction.Apply, Entry: e, Request: request})
	}
}

// compact replaces the log up to the index of snap with snap. It ignores a
// snapshot that is not newer than the current one or not committed.
func (s *step) compact(snap dragonflysnapshot.Snapshot) {
	term, ok := s.termAt(snap.Index)
	if !ok || snap.Index <= s.snapshot.Index || snap.Index > s.commit {
		return
	}
	snap.Term = term
	if s.membersMayChange {
		snap.Members = s.membersAt(snap.Index)
	}
	s.log = s.log.Slice(int(snap.Index-s.snapshot.Index), s.log.Len())
	s.snapshot = snap
	attached := !s.detached
	s.persistAll()
	s.acts[s.written-1].Optional = attached
}

// persistAll requests a write that replaces all stored data with the snapshot and
// the log after it.
func (s *step) persistAll() {
	s.detached = false
	s.written = 0 // The snapshot replaces what an earlier write of this step holds.
	s.persist(s.log.Items())
	a := &s.acts[s.written-1]
	a.HasSnapshot, a.Snapshot = true, s.snapshot
}

// dropThrough drops the log up to the index of snap, or the whole log if it
// conflicts with snap.
func (s *step) dropThrough(snap dragonflysnapshot.Snapshot) {
	if term, ok := s.termAt(snap.Index); ok && term == snap.Term {
		s.log = s.log.Slice(int(snap.Index-s.snapshot.Index), s.log.Len())
		return
	}
	s.log = dragonflylist.List[dragonflylogentry.Entry]{}
}
