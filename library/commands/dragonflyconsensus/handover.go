package dragonflyconsensus

import (
	"dragonflyrelay.example/library/values/dragonflyconsensusmessage"
)

// resign asks the follower or learner with the longest synced log to start an
// election immediately, so that a planned restart of the leader does not cost an
// election timeout. The leader keeps leading until it receives a message of the
// new term.
// If the request is lost, the election timeouts of the followers apply.
func (s *step) resign() {
	if s.role != leader {
		return
	}
	best, match := "", uint64(0)
	for name, p := range s.progress.All() {
		if best == "" || p.match > match {
			best, match = name, p.match
		}
	}
	if best != "" {
		s.send(dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.Handover, To: best, Term: s.term})
	}
}

// receiveHandover starts an election without a pre-vote, which the other members
// would reject while they are in contact with the leader.
func (s *step) receiveHandover(m dragonflyconsensusmessage.Message) {
	if s.role == follower && s.leader == m.From && !s.diskFailing && s.unsyncedWrites.Len() == 0 {
		s.electionAt = s.now.Add(s.randomDuration(MinElectionRetry, MaxElectionRetry))
		s.startElection()
	}
}
