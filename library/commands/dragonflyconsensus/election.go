package dragonflyconsensus

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflylist"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyconsensusaction"
	"dragonflyrelay.example/library/values/dragonflyconsensusmessage"
	"dragonflyrelay.example/library/values/dragonflylogentry"
)

func (s *step) tick(seed uint64) {
	s.seed = seed
	if s.members.Empty() && s.role != leader {
		return
	}
	if s.role == leader {
		s.noteStandstill()
	}
	if s.writeStalled() {
		s.persistFailed()
	}
	if s.role == leader {
		s.leaderTick()
		return
	}
	if s.electionAt == 0 && len(s.Members()) > 1 {
		s.electionAt = s.now.Add(s.randomDuration(MinStartTimeout, MaxStartTimeout))
	}
	// A new term must be synced first, which a failing or lagging disk delays.
	if !s.now.Before(s.candidacyAt()) && !s.diskFailing && s.unsyncedWrites.Len() == 0 {
		s.startPreVote()
	}
}

// randomDuration returns a duration in [lo, hi), chosen by the seed of the
// latest tick.
func (s *step) randomDuration(lo, hi dragonflyduration.Duration) dragonflyduration.Duration {
	return lo + dragonflyduration.Duration(s.seed%uint64(hi-lo))
}

func (s *step) resetElection() {
	s.electionTimeout = s.randomDuration(MinElectionTimeout, MaxElectionTimeout)
	s.electionAt = s.now.Add(s.electionTimeout)
}

// startPreVote starts a round of pre-votes, which does not disturb a leader that
// is still in contact with the other members.
func (s *step) startPreVote() {
	s.lastRound = s.electionRound()
	s.role, s.leader, s.preVoteAt = preCandidate, "", s.now
	s.refusals = dragonflymap.Map[string, string]{}
	s.preVotes = dragonflymap.Map[string, bool]{}.With(s.self, true)
	s.electionAt = s.now.Add(s.randomDuration(MinElectionRetry, MaxElectionRetry))
	if s.majorityIn(s.preVotes) {
		s.startElection()
		return
	}
	s.broadcastVoteRequest(dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.PreVote, Term: s.term + 1})
}

// startElection starts a new term and requests votes in it. The vote of this
// instance for itself counts once it is synced to disk. The others write theirs
// meanwhile: without its own vote it does not lead, so that a candidate that
// restarts without memory of the term has done nothing in it. Only the log that the
// requests refer to must be synced before.
func (s *step) startElection() {
	request := s.send
	if s.unsyncedWrites.Len() > 0 {
		request = s.sendSynced
	}
	s.role, s.leader = candidate, ""
	s.term, s.vote = s.term+1, s.self
	s.votes = dragonflymap.Map[string, bool]{}
	s.persist(nil)
	s.voteSequence = s.sequence
	s.sendSynced(dragonflyconsensusmessage.Message{
		Kind: dragonflyconsensusmessage.VoteReply, To: s.self, Term: s.term, Granted: true,
	})
	for _, m := range s.Members() {
		if m != s.self {
			request(s.withLastEntry(dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.Vote, To: m, Term: s.term}))
		}
	}
}

// broadcastVoteRequest sends a vote request to all other members.
func (s *step) broadcastVoteRequest(m dragonflyconsensusmessage.Message) {
	for _, to := range s.Members() {
		if to != s.self {
			m.To = to
			s.send(s.withLastEntry(m))
		}
	}
}

// withLastEntry returns the vote request m with the position of the last log
// entry.
func (s *step) withLastEntry(m dragonflyconsensusmessage.Message) dragonflyconsensusmessage.Message {
	m.Index, m.LogTerm = s.LastIndex(), s.lastTerm()
	return m
}

// upToDate reports whether the log of the candidate that sent m is at least as
// up to date as the log of this instance.
func (s *step) upToDate(m dragonflyconsensusmessage.Message) bool {
	last := s.lastTerm()
	return m.LogTerm > last || m.LogTerm == last && m.Index >= s.LastIndex()
}

// voteUnsynced reports whether the vote in the current term is still being written. A
// vote in a later term would wait for another sync, and the election that this vote is
// for would fail.
func (s *step) voteUnsynced() bool {
	return s.unsyncedWrites.Len() > 0 && s.unsyncedWrites.At(0).sequence <= s.voteSequence
}

func (s *step) receivePreVote(m dragonflyconsensusmessage.Message) {
	leaderActive := s.role == leader || s.leader != "" && s.now.Before(s.leaderContactAt.Add(MinElectionTimeout))
	reply := dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.PreVoteReply, To: m.From, Term: s.term}
	switch {
	case m.Term <= s.term:
		reply.Refusal = dragonflyconsensusmessage.TermPassed
	case !s.upToDate(m):
		reply.Refusal = dragonflyconsensusmessage.LogBehind
	case leaderActive:
		reply.Refusal = dragonflyconsensusmessage.LeaderActive
	case s.precedes(m):
		reply.Refusal = dragonflyconsensusmessage.VoteGiven
	case s.voteUnsynced():
		reply.Refusal = dragonflyconsensusmessage.VoteUnsynced
	default:
		reply.Term, reply.Granted = m.Term, true
		s.electionAt = max(s.electionAt, s.now.Add(preVoteGrantDelay))
	}
	s.send(reply)
}

// precedes reports whether this instance has just asked for pre-votes itself and goes
// before the candidate that sent m, because the logs are equal and its name comes first.
// Two candidates that granted each other a pre-vote would split the votes of the next
// term. Later it gives way: it may lack a connection that the other has.
func (s *step) precedes(m dragonflyconsensusmessage.Message) bool {
	if s.role != preCandidate || !s.now.Before(s.preVoteAt.Add(preVoteGrantDelay)) {
		return false
	}
	equal := m.LogTerm == s.lastTerm() && m.Index == s.LastIndex()
	return equal && s.self < m.From
}

func (s *step) receivePreVoteReply(m dragonflyconsensusmessage.Message) {
	if s.role != preCandidate || !s.members.Contains(m.From) {
		return
	}
	if !m.Granted {
		s.refusals = s.refusals.With(m.From, m.Refusal.String())
		return
	}
	if m.Term != s.term+1 {
		return
	}
	s.preVotes = s.preVotes.With(m.From, true)
	if s.majorityIn(s.preVotes) {
		s.startElection()
	}
}

// receiveVote answers a vote request for the current term. The vote is synced to
// disk before the reply is sent, so that a restarted instance cannot vote twice.
func (s *step) receiveVote(m dragonflyconsensusmessage.Message) {
	reply := dragonflyconsensusmessage.Message{Kind: dragonflyconsensusmessage.VoteReply, To: m.From, Term: s.term}
	switch {
	case s.vote != "" && s.vote != m.From:
		reply.Refusal = dragonflyconsensusmessage.VoteGiven
	case s.leader != "":
		reply.Refusal = dragonflyconsensusmessage.LeaderActive
	case !s.upToDate(m):
		reply.Refusal = dragonflyconsensusmessage.LogBehind
	default:
		reply.Granted = true
	}
	if reply.Granted && s.vote == "" {
		s.vote = m.From
		s.persist(nil)
		s.voteSequence = s.sequence
		s.electionAt = s.now.Add(s.randomDuration(MinElectionTimeout, MaxElectionTimeout))
	}
	s.sendSynced(reply)
}

// receiveVoteReply counts a vote in the current term, also one that arrives while the
// candidate asks for pre-votes again because the syncs of the voters take long.
func (s *step) receiveVoteReply(m dragonflyconsensusmessage.Message) {
	if s.role != candidate && s.role != preCandidate || s.vote != s.self {
		return
	}
	if !s.members.Contains(m.From) && m.From != s.self {
		return
	}
	if !m.Granted {
		s.refusals = s.refusals.With(m.From, m.Refusal.String())
		return
	}
	s.votes = s.votes.With(m.From, true)
	if ownSynced, _ := s.votes.Get(s.self); ownSynced && s.majorityIn(s.votes) {
		s.becomeLeader()
	}
}

// becomeLeader makes this instance the leader. It appends an empty entry,
// because a leader can only determine the commit index from entries of its own
// term.
func (s *step) becomeLeader() {
	s.role, s.leader = leader, s.self
	s.votes = dragonflymap.Map[string, bool]{} // A leader that steps down must not lead again by the same votes.
	s.electionTimeout = s.randomDuration(MinElectionTimeout, MaxElectionTimeout)
	s.progress = dragonflymap.Map[string, progress]{}
	for _, m := range s.Members() {
		if m != s.self {
			s.progress = s.progress.With(m, progress{next: s.LastIndex() + 1, ackedAt: s.now})
		}
	}
	s.termStartIndex = s.LastIndex() + 1
	s.confirmedAt, s.tickedAt, s.resumedAt, s.leadingSince = 0, s.now, 0, s.now
	s.emit(dragonflyconsensusaction.Action{Kind: dragonflyconsensusaction.Lead, Leader: s.self, Term: s.term})
	opening := dragonflylogentry.Entry{}
	if s.membersMayChange {
		opening.Members = s.members // Replicates the members to instances that join.
	}
	s.appendEntry(opening)
	s.heartbeat()
}

// becomeFollower makes this instance a follower of the named leader, "" if none
// is known. Pending proposals are abandoned: the next leader may still commit
// their entries.
func (s *step) becomeFollower(term uint64, name string) {
	changed := s.role == leader || s.leader != name || s.term != term
	for _, request := range s.pending.All() {
		s.emit(dragonflyconsensusaction.Action{Kind: dragonflyconsensusaction.Abandon, Request: request})
	}
	s.pending = dragonflymap.Map[uint64, uint64]{}
	if term > s.term {
		s.term, s.vote = term, ""
		s.persist(nil)
	}
	if s.role == leader {
		s.resetElection()
	}
	s.role, s.leader = follower, name
	if changed {
		s.emit(dragonflyconsensusaction.Action{Kind: dragonflyconsensusaction.Follow, Leader: name, Term: s.term})
	}
}

// persist requests a write of the current term, the vote and the given entries, which the
// log contains. All that one event asks for goes into one write: the disk starts to sync
// the first one at once, so that a second one would wait for another sync.
func (s *step) persist(entries []dragonflylogentry.Entry) {
	if s.detached {
		s.persistAll()
		return
	}
	w := write{sequence: s.sequence}
	if s.unsyncedWrites.Len() == 0 {
		s.writeAt = s.now
	}
	if s.written == 0 {
		s.sequence++
		w.sequence = s.sequence
		s.emit(dragonflyconsensusaction.Action{Kind: dragonflyconsensusaction.Persist, Sequence: s.sequence})
		s.written = len(s.acts)
	} else {
		last := s.unsyncedWrites.Len() - 1
		w.last = s.unsyncedWrites.At(last).last
		s.unsyncedWrites = s.unsyncedWrites.Slice(0, last)
	}
	if len(entries) > 0 {
		w.last = entries[len(entries)-1].Index
	}
	s.unsyncedWrites = s.unsyncedWrites.With(w)
	r := &s.acts[s.written-1].Record
	r.Term, r.Vote = s.term, s.vote
	r.Entries = append(r.Entries[:len(r.Entries):len(r.Entries)], entries...)
}

// sendSynced sends m once all writes requested so far are synced to disk. Messages that
// wait for the same write are merged where possible, because heartbeats arrive also while
// the disk does not answer.
func (s *step) sendSynced(m dragonflyconsensusmessage.Message) {
	if s.unsyncedWrites.Len() == 0 {
		s.send(m)
		return
	}
	d := deferred{s.sequence, m}
	for i := s.deferred.Len() - 1; i >= 0 && s.deferred.At(i).sequence == d.sequence; i-- {
		if earlier := s.deferred.At(i); earlier.mergesWith(d) {
			d.message = earlier.merged(m)
			later := s.deferred.Slice(i+1, s.deferred.Len())
			s.deferred = s.deferred.Slice(0, i)
			for _, l := range later.All() {
				s.deferred = s.deferred.With(l)
			}
			break
		}
	}
	s.deferred = s.deferred.With(d)
}

// send sends m, or handles it directly if it is addressed to this instance.
func (s *step) send(m dragonflyconsensusmessage.Message) {
	m.From, m.Zone = s.self, s.zone
	if m.To == s.self {
		s.receive(m)
		return
	}
	s.emit(dragonflyconsensusaction.Action{Kind: dragonflyconsensusaction.Send, Message: m})
}

// persisted sends the messages that waited for the writes up to sequence.
func (s *step) persisted(sequence uint64) {
	s.diskFailing = false
	voteUnsynced := s.voteUnsynced()
	done := 0
	for _, w := range s.unsyncedWrites.All() {
		if w.sequence > sequence {
			break
		}
		s.synced = max(s.synced, w.last)
		done++
	}
	s.unsyncedWrites = s.unsyncedWrites.Slice(done, s.unsyncedWrites.Len())
	s.writeAt = s.now
	if voteUnsynced && !s.voteUnsynced() {
		// The candidate gets the vote only now, and the timeout may be over.
		s.electionAt = max(s.electionAt, s.now.Add(preVoteGrantDelay))
	}
	var release []dragonflyconsensusmessage.Message
	for _, h := range s.deferred.All() {
		if h.sequence > sequence {
			break
		}
		release = append(release, h.message)
	}
	s.deferred = s.deferred.Slice(len(release), s.deferred.Len())
	for _, m := range release {
		s.send(m)
	}
	if s.role == leader {
		s.advanceCommit()
		s.confirmByReplies() // The first entry of the term may just have been committed.
	}
	s.takeOver()
}

// writeStalled reports whether the disk has neither carried out nor refused the oldest
// unsynced write for MaxWriteTime. The time for which a leader itself has stood still does
// not count.
func (s *step) writeStalled() bool {
	return s.unsyncedWrites.Len() > 0 && s.now.Sub(max(s.writeAt, s.resumedAt)) > MaxWriteTime
}

// persistFailed hands over and steps down, because a leader that cannot write delays
// every change. Messages that wait for the disk stay queued.
func (s *step) persistFailed() {
	s.diskFailing, s.handoverTerm = true, 0
	if s.role == leader {
		s.resign()
		s.becomeFollower(s.term, "")
	}
}

// markTruncated marks the entries from index on as not synced, also those of
// writes that are in progress.
func (s *step) markTruncated(index uint64) {
	s.synced = min(s.synced, index-1)
	var unsyncedWrites dragonflylist.List[write]
	for _, w := range s.unsyncedWrites.All() {
		w.last = min(w.last, index-1)
		unsyncedWrites = unsyncedWrites.With(w)
	}
	s.unsyncedWrites = unsyncedWrites
}
