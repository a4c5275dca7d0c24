package dragonflyconsensus

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
)

const (
	// leavingTimeout is the time for which a member may be in contact after its request to
	// be replaced and still counts as leaving. One that is in contact later has started
	// again.
	leavingTimeout = dragonflyduration.Second
	// learnerDiscoveryTime is the time in which learners request to join a new leader. It
	// is longer than several intervals between their requests.
	learnerDiscoveryTime = dragonflyduration.Second
)

// markLeaving handles the request of the instance name, which may be this leader, to be
// replaced because it stops. A learner that stops is no successor for a member.
func (s *step) markLeaving(name string) {
	p, known := s.progress.Get(name)
	switch {
	case s.role != leader:
		return
	case name == s.self:
		s.leaving = true
	case known:
		p.leavingAt = s.now
		s.progress = s.progress.With(name, p)
	}
	s.changeMembers()
}

// leavingMember returns a member that stops, "" if there is none. It need not be silent for
// ReplaceAfter: the loss of another member would leave no majority until then.
func (s *step) leavingMember() string {
	if s.leaving {
		return s.self
	}
	for to, p := range s.progress.All() {
		if s.members.Contains(to) && p.leaves() {
			return to
		}
	}
	return ""
}

// leaves reports whether the instance stops: it has requested to be replaced, and has not
// started again since.
func (p progress) leaves() bool {
	return p.leavingAt != 0 && p.ackedAt.Sub(p.leavingAt) < leavingTimeout
}

// Retains reports whether the named instance is still needed by this leader: it is a member,
// or a change of the members is not committed yet.
func (c Consensus) Retains(name string) bool {
	return c.members.Contains(name) || c.memberChangePending()
}

// AwaitsLearners reports whether this leader may soon have an instance that can replace a
// member: a learner is in contact, or learners may not have requested to join it yet.
func (c Consensus) AwaitsLearners(now dragonflyinstant.Instant) bool {
	for to, p := range c.progress.All() {
		if !c.members.Contains(to) && now.Sub(p.ackedAt) < contactTimeout {
			return true
		}
	}
	return now.Sub(c.leadingSince) < learnerDiscoveryTime
}
