package dragonflyconsensus

import (
	"dragonflyrelay.example/library/values/dragonflyconsensusaction"
	"dragonflyrelay.example/library/values/dragonflyconsensusmessage"
	"dragonflyrelay.example/library/values/dragonflylogentry"
)

// receive handles a message from another instance, or the vote of this instance
// for itself.
func (s *step) receive(m dragonflyconsensusmessage.Message) {
	if !s.accepts(m) {
		return
	}
	if m.Kind == dragonflyconsensusmessage.PreVote {
		s.receivePreVote(m)
		return
	}
	if s.blocked() && (m.Term > s.term || m.Kind == dragonflyconsensusmessage.Vote) {
		return // The sender retries.
	}
	grantedPreVote := m.Kind == dragonflyconsensusmessage.PreVoteReply && m.Granted
	if m.Term > s.term && !grantedPreVote {
		s.becomeFollower(m.Term, "")
	}
	if m.Term < s.term {
		s.receiveStale(m)
		return
	}
	switch m.Kind {
	case dragonflyconsensusmessage.PreVoteReply:
		s.receivePreVoteReply(m)
	case dragonflyconsensusmessage.Vote:
		s.receiveVote(m)
	case dragonflyconsensusmessage.VoteReply:
		s.receiveVoteReply(m)
	case dragonflyconsensusmessage.Append:
		s.receiveAppend(m)
	case dragonflyconsensusmessage.Install:
		s.receiveInstall(m)
	case dragonflyconsensusmessage.AppendReply:
		s.receiveAppendReply(m)
	case dragonflyconsensusmessage.Handover:
		s.receiveHandover(m)
	}
}

// receiveStale rejects a request from an earlier term with the current term.
func (s *step) receiveStale(m dragonflyconsensusmessage.Message) {
	reply := dragonflyconsensusmessage.Message{To: m.From, Term: s.term}
	switch m.Kind {
	case dragonflyconsensusmessage.Vote:
		reply.Kind = dragonflyconsensusmessage.VoteReply
	case dragonflyconsensusmessage.Append, dragonflyconsensusmessage.Install:
		reply.Kind = dragonflyconsensusmessage.AppendReply
	default:
		return
	}
	s.sendSynced(reply)
}

// recordLeaderContact records contact with the leader of the current term and
// restarts the election timeout.
func (s *step) recordLeaderContact(name string) {
	if s.role != follower || s.leader != name {
		s.becomeFollower(s.term, name)
	}
	s.leaderContactAt = s.now
	s.resetElection()
}

func (s *step) receiveAppend(m dragonflyconsensusmessage.Message) {
	if s.role == leader {
		return // A term has one leader, so the sender is faulty.
	}
	s.recordLeaderContact(m.From)
	if s.overloaded() {
		m.Entries = nil // The leader sends them again.
	}
	reply := dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.AppendReply, To: m.From, Term: s.term, SentAt: m.SentAt}
	if !s.matches(m) {
		reply.Index = s.lastPossibleMatch(m)
		s.sendSynced(reply)
		return
	}
	s.appendMissing(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	if to := min(m.Commit, last); to > s.commit {
		s.commitTo(to)
	}
	reply.Granted, reply.Index = true, last
	if s.unsyncedWrites.Len() > 0 {
		// The leader must not take a slow disk for a lost follower, so the contact is
		// acknowledged at once, with the entries that are synced.
		contact := reply
		contact.Index = min(last, s.synced)
		s.send(contact)
	}
	s.sendSynced(reply)
}

// matches reports whether the log matches the leader's log at the entry before
// those of m. Entries covered by the snapshot are committed and always match.
func (s *step) matches(m dragonflyconsensusmessage.Message) bool {
	if m.Index < s.snapshot.Index {
		return true
	}
	term, ok := s.termAt(m.Index)
	return ok && term == m.LogTerm
}

// lastPossibleMatch returns the last index at which the logs may match. It skips
// all entries of the conflicting term at once.
func (s *step) lastPossibleMatch(m dragonflyconsensusmessage.Message) uint64 {
	if m.Index > s.LastIndex() {
		return s.LastIndex()
	}
	bad, _ := s.termAt(m.Index)
	i := m.Index - 1
	for i > s.commit {
		if term, _ := s.termAt(i); term != bad {
			break
		}
		i--
	}
	return max(i, s.commit)
}

// appendMissing appends the entries that the log lacks. The first conflicting
// entry truncates the log.
func (s *step) appendMissing(entries []dragonflylogentry.Entry) {
	for i, e := range entries {
		if e.Index <= s.snapshot.Index {
			continue
		}
		if term, ok := s.termAt(e.Index); ok && term == e.Term {
			continue
		}
		if e.Index <= s.LastIndex() {
			s.log = s.log.Slice(0, int(e.Index-s.snapshot.Index-1))
			s.markTruncated(e.Index)
		}
		rest := entries[i:]
		for _, e := range rest {
			s.log = s.log.With(e)
		}
		s.refreshMembers()
		s.persist(rest)
		return
	}
}

// receiveInstall replaces the log with the snapshot of m unless all entries that
// it covers are already committed here.
func (s *step) receiveInstall(m dragonflyconsensusmessage.Message) {
	if s.role == leader {
		return
	}
	s.recordLeaderContact(m.From)
	if s.overloaded() {
		return // The leader sends the snapshot again.
	}
	reply := dragonflyconsensusmessage.Message{
		Kind: dragonflyconsensusmessage.AppendReply, To: m.From, Term: s.term, SentAt: m.SentAt, Granted: true, Index: m.Snapshot.Index,
	}
	if m.Snapshot.Index <= s.commit {
		s.sendSynced(reply)
		return
	}
	s.dropThrough(m.Snapshot)
	s.snapshot, s.commit = m.Snapshot, m.Snapshot.Index
	s.markTruncated(s.commit + 1)
	s.refreshMembers()
	s.persistAll()
	s.emit(dragonflyconsensusaction.Action{Kind: dragonflyconsensusaction.Restore, Snapshot: m.Snapshot})
	s.sendSynced(reply)
}
