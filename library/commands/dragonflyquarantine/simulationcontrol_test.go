package dragonflyquarantine_test

import (
	"fmt"

	"dragonflyrelay.example/library/commands/dragonflyquarantine"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflypartevent"
	"dragonflyrelay.example/library/values/dragonflysurvivors"
)

// report sends the losses of an entry to all control instances.
func (s *simulation) report(i int) {
	e := s.entries[i]
	if s.now.Before(e.cutUntil) {
		return
	}
	for n, sent := range e.sent {
		if sequence := e.watch.Sequence(); sequence != sent {
			s.control[n], _ = s.control[n].WithLosses(s.now, e.watch.Losses(s.now, sent)).WithParts(s.now, 0, "", e.watch.Parts(s.now))
			e.sent[n] = sequence
		}
	}
}

// search asks one control instance while none leads.
func (s *simulation) search(i int) {
	e := s.entries[i]
	if !s.now.Before(s.leaderAt) || s.now.Before(e.cutUntil) || s.now.Before(e.searchAt) {
		return
	}
	e.searchAt = s.now.Add(tickTime)
	n := s.r.IntN(instances)
	held := s.control[n].Parts(s.now, "")
	s.step(i, dragonflypartevent.Event{Kind: dragonflypartevent.Unlisted, Source: fmt.Sprint("control-", n), Quarantine: held, AskedAt: s.now})
}

// follow exchanges an entry's report for the quarantine, as the follow call does.
func (s *simulation) follow(i int) {
	e, leader := s.entries[i], s.control[s.leading]
	if s.now.Before(s.leaderAt) || s.now.Before(e.cutUntil) || s.now.Before(e.followAt) && e.watch.Sequence() == e.reported && e.revision == leader.Revision() && e.term == s.term {
		return
	}
	process, sequence := fmt.Sprint("entry-", i), e.watch.Sequence()
	losses, answers := e.watch.Losses(s.now, e.reported), e.watch.Answers(s.now, e.answers)
	if e.term != s.term {
		leader = leader.WithKnown(s.now, e.watch.Quarantine(s.now))
	}
	leader, _ = leader.WithLosses(s.now, losses).WithParts(s.now, s.term, process, append(e.watch.Parts(s.now), answers...))
	s.control[s.leading] = leader
	e.reported, e.answers = sequence, e.watch.AnswerSequence()
	if e.term != s.term {
		e.reported, e.answers = 0, 0
	}
	ev := dragonflypartevent.Event{Kind: dragonflypartevent.Confirmed}
	if e.term != s.term || e.revision != leader.Revision() {
		ev = dragonflypartevent.Event{Kind: dragonflypartevent.Received, Quarantine: leader.Parts(s.now, process), AskedAt: s.now}
		if ids, listed := leader.Watched(); e.term != s.term || e.revision < listed {
			ev.HasWatched, ev.Watched = true, ids
		}
	}
	s.step(i, ev)
	e.term, e.revision, e.followAt = s.term, leader.Revision(), s.now.Add(followTime)
}

// decide lets each control instance judge the crashes. Only the leader knows from agents
// which engines have stopped.
func (s *simulation) decide() {
	if s.now.Before(s.tickAt) {
		return
	}
	s.tickAt = s.now.Add(tickTime)
	for n := range s.control {
		leads := n == s.leading && !s.now.Before(s.leaderAt)
		if leads {
			s.control[n] = s.control[n].WithSurvivors(s.now, dragonflysurvivors.Survivors{Site: func(id string) string { return s.domain[id] }, LivedOn: s.livedOn})
		}
		s.control[n], _ = s.control[n].Decide(s.now, func(id string, _ int64) bool { return leads && s.stopped[id] })
	}
}

// loseLeader makes another instance the next leader. The old one keeps what it knows, unless
// its process has ended.
func (s *simulation) loseLeader() {
	if s.r.IntN(2) == 0 {
		s.control[s.leading] = dragonflyquarantine.Quarantine{}
		for _, e := range s.entries {
			e.sent[s.leading] = 0
		}
	}
	s.control[s.leading] = s.control[s.leading].WithLead(false)
	s.term, s.leading = s.term+1, s.r.IntN(instances)
	s.control[s.leading] = s.control[s.leading].WithLead(true)
	s.leaderAt = s.now.Add(dragonflyduration.Duration(500+s.r.IntN(2000)) * millisecond)
	s.unstable = s.leaderAt
}

// livedOn reports whether half of the engines of a domain have run since the given instant.
func (s *simulation) livedOn(domain string, since dragonflyinstant.Instant) bool {
	all, alive := 0, 0
	for _, e := range s.engines {
		if e.domain != domain {
			continue
		}
		all++
		if e.backAt.Before(since) {
			alive++
		}
	}
	return 2*alive >= all
}

// replicate records the leader's quarantine in the log of all instances, at most once a second.
func (s *simulation) replicate() {
	if s.now.Before(s.leaderAt) || s.now.Before(s.recordAt) {
		return
	}
	s.recordAt = s.now.Add(second)
	r := s.control[s.leading].Record(s.now)
	if r.Same(s.record) {
		return
	}
	s.record = r
	for n := range s.control {
		if n != s.leading {
			s.control[n] = s.control[n].WithRecord(s.now, r)
		}
	}
}

// killAll ends all processes of control and all entries at one moment.
func (s *simulation) killAll() {
	for n := range s.control {
		s.control[n] = dragonflyquarantine.Quarantine{}.WithRecord(s.now, s.record)
	}
	for i := range s.entries {
		s.entries[i] = &simulatedEntry{joinedAt: s.now}
	}
	s.term, s.leading = s.term+1, s.r.IntN(instances)
	s.control[s.leading] = s.control[s.leading].WithLead(true)
	s.leaderAt = s.now.Add(2 * second)
	s.unstable = s.leaderAt
}
