package dragonflyconsensus

import (
	"slices"

	"dragonflyrelay.example/library/values/dragonflyconsensusmessage"
)

// handoverTimeout is the time after which an instance no longer succeeds the leader that
// has asked it to. A leader that stopped would have been replaced by then, so the election
// would only interrupt one that still leads.
const handoverTimeout = MaxElectionTimeout

// resign asks the member in contact with the longest synced log to start an election
// immediately, so that a planned restart of the leader does not cost an election
// timeout. Learners are passed over, since they may not lead. The leader keeps
// leading until it receives a message of the new term.
// If the request is lost, the election timeouts of the followers apply.
func (s *step) resign() {
	if s.role != leader {
		return
	}
	best, match := "", uint64(0)
	for name, p := range s.progress.All() {
		if !slices.Contains(s.members.Names(), name) || s.now.Sub(p.ackedAt) >= contactTimeout {
			continue
		}
		if best == "" || p.match > match {
			best, match = name, p.match
		}
	}
	if best != "" {
		s.send(dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.Handover, To: best, Term: s.term})
	}
}

// receiveHandover notes that the leader of the term asks this instance to succeed it. One
// that has just started knows no leader yet, and takes the sender for it: only a leader
// sends this.
func (s *step) receiveHandover(m dragonflyconsensusmessage.Message) {
	if s.leader == "" || s.leader == m.From {
		s.handoverTerm, s.handoverAt = s.term, s.now
		s.takeOver()
	}
}

// takeOver starts an election without a pre-vote, which the other members would reject
// while they are in contact with the leader, if the leader of the term has asked for it.
// It waits until all writes are synced, since a new term must be synced first, but no longer
// than handoverTimeout. An instance that is not a member in its own log ignores the request:
// the leader may have a log entry that adds it, but without that entry it counts votes among
// the wrong members.
func (s *step) takeOver() {
	if s.handoverTerm == 0 || s.handoverTerm != s.term || s.role == leader || s.diskFailing || s.unsyncedWrites.Len() > 0 {
		return
	}
	s.handoverTerm = 0
	if s.IsMember() && s.now.Sub(s.handoverAt) <= handoverTimeout {
		s.electionAt = s.now.Add(s.randomDuration(MinElectionRetry, MaxElectionRetry))
		s.startElection()
	}
}
