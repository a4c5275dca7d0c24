package dragonflyconsensus

import (
	"strings"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyconsensusmessage"
	"dragonflyrelay.example/library/values/dragonflylogentry"
	"dragonflyrelay.example/library/values/dragonflymemberset"
)

// A change of the members replaces or adds members in one step. While it is in progress,
// elections and commits need a majority of the members before it and one of those after it
// (Ongaro and Ousterhout 2014, section 6): no set with fewer members is ever in effect, which
// would bear fewer losses. An entry with members takes effect when it is appended.
const (
	// ReplaceAfter is the time without contact after which a member is replaced by an
	// instance that is ready. Until then the deployment bears no other loss if the member
	// is gone for good. One that returns is a learner, so that a replacement costs little.
	ReplaceAfter = MaxElectionTimeout
	// learnerTimeout is how long the log is replicated to an instance that is not
	// a member after its last request to join.
	learnerTimeout = 5 * dragonflyduration.Second
	// maxTickGap is the time between two ticks of a leader after which it has stood still:
	// ticks are much more frequent.
	maxTickGap = MinElectionTimeout
	// contactTimeout is the time without contact after which an instance takes no part in
	// a change of the members.
	contactTimeout = 2 * HeartbeatInterval
	// maxMembers bounds the members: more of them make each change slower.
	maxMembers = 5
)

// incarnationSeparator separates the host from the incarnation in the name of an
// instance.
const incarnationSeparator = "#"

// Host returns the part of the name of an instance that stays the same when the
// instance loses its disk.
func Host(name string) string {
	host, _, _ := strings.Cut(name, incarnationSeparator)
	return host
}

// Incarnation returns the name of an instance on host that starts with an empty
// disk. A unique suffix sets it apart from the names under which instances on the
// host have voted before.
func Incarnation(host, unique string) string { return host + incarnationSeparator + unique }

// WithMemberChanges returns the state with changes of the members enabled.
// Members recorded in the log replace those that were passed to New.
func (c Consensus) WithMemberChanges() Consensus {
	c.membersMayChange = true
	c.initialMembers = c.members
	c.members = c.membersAt(c.LastIndex())
	return c
}

// IsMember reports whether this instance is a voting member.
func (c Consensus) IsMember() bool { return c.members.Contains(c.self) }

// membersAt returns the members that are in effect after the entry at index.
func (c Consensus) membersAt(index uint64) dragonflymemberset.MemberSet {
	for i := index; i > c.snapshot.Index; i-- {
		if e, _ := c.Entry(i); !e.Members.Empty() {
			return e.Members
		}
	}
	if !c.snapshot.Members.Empty() {
		return c.snapshot.Members
	}
	return c.initialMembers
}

// refreshMembers updates the members after a change of the log.
func (s *step) refreshMembers() {
	if s.membersMayChange {
		s.members = s.membersAt(s.LastIndex())
	}
}

// addLearner handles the request of an instance to become a member by
// replicating the log to it as a learner. A learner on the same host has lost its disk.
func (s *step) addLearner(name string) {
	if !s.membersMayChange || s.role != leader || name == s.self || s.members.Contains(name) {
		return
	}
	p, ok := s.progress.Get(name)
	if !ok {
		p = progress{next: s.LastIndex() + 1, ackedAt: s.now}
	}
	for other := range s.progress.All() {
		if other != name && Host(other) == Host(name) && !s.members.Contains(other) {
			s.progress = s.progress.Without(other)
		}
	}
	p.joinedAt, p.leavingAt = s.now, 0
	s.progress = s.progress.With(name, p)
}

// changeMembers drops learners whose request has expired and starts the next
// change of the members that is due, if any.
func (s *step) changeMembers() {
	if !s.membersMayChange || s.commit < s.termStartIndex || s.memberChangePending() {
		return
	}
	for to, p := range s.progress.All() {
		if !s.members.Contains(to) && s.now.Sub(p.joinedAt) > learnerTimeout {
			s.progress = s.progress.Without(to)
		}
	}
	switch {
	case s.members.Changing():
		s.setMembers(s.members.WithChangeCompleted())
	case !s.IsMember():
		s.resign() // It was replaced while it led.
	case s.now.Sub(s.quorumContactAt()) <= contactTimeout:
		if next := s.nextMembers(); next.Changing() {
			s.setMembers(next)
		}
	}
}

// memberChangePending reports whether a change of the members is not committed
// yet.
func (c Consensus) memberChangePending() bool {
	for i := c.LastIndex(); i > c.commit; i-- {
		if e, _ := c.Entry(i); !e.Members.Empty() {
			return true
		}
	}
	return false
}

// nextMembers returns the members with the next change, without one if none is due. Members
// are never removed without a successor: a smaller set bears fewer losses.
func (s *step) nextMembers() dragonflymemberset.MemberSet {
	ready := s.readyLearners()
	for _, learner := range ready {
		if old := s.memberOnHostOf(learner); old != "" {
			return s.members.WithReplacement(old, learner) // The host has lost its disk.
		}
	}
	if len(ready) == 0 {
		return s.members
	}
	for _, old := range []string{s.leavingMember(), s.silentMember()} {
		if old != "" {
			return s.withSuccessor(old, ready)
		}
	}
	if next := s.withZonesSpread(ready); next.Changing() {
		return next
	}
	if added := s.additions(ready); len(added) > 0 {
		return s.members.WithAdded(added...)
	}
	return s.members
}

// missingMembers returns how many of the ready learners are to be added. The number of
// members stays odd, since one more of an even number bears no further loss, and at most
// maxMembers.
func (s *step) missingMembers(ready int) int {
	have := len(s.members.Names())
	n := min(have+ready, maxMembers)
	if n%2 == 0 {
		n--
	}
	return max(n-have, 0)
}

// readyLearners returns the sorted learners that are in contact and have all committed
// entries.
func (s *step) readyLearners() (names []string) {
	for to, p := range s.progress.All() {
		if !s.members.Contains(to) && !p.leaves() && p.match >= s.commit && s.now.Sub(p.ackedAt) < contactTimeout {
			names = append(names, to)
		}
	}
	return names
}

// silentMember returns a member without contact for ReplaceAfter, "" if none. The time
// for which the leader itself has stood still does not count.
func (s *step) silentMember() string {
	for to, p := range s.progress.All() {
		if s.members.Contains(to) && s.now.Sub(max(p.ackedAt, s.resumedAt)) > ReplaceAfter {
			return to
		}
	}
	return ""
}

// memberOnHostOf returns the other member on the host of the named instance, ""
// if there is none.
func (s *step) memberOnHostOf(name string) string {
	for _, m := range s.Members() {
		if m != name && Host(m) == Host(name) {
			return m
		}
	}
	return ""
}

// setMembers appends an entry with the next members and stops replication to
// instances that are neither members nor learners. A replaced member stays on as a learner,
// so that it receives the entry, unless its disk is lost.
func (s *step) setMembers(next dragonflymemberset.MemberSet) {
	before := s.members
	s.appendEntry(dragonflylogentry.Entry{Members: next})
	var kept dragonflymap.Map[string, progress]
	for to, p := range s.progress.All() {
		if before.Contains(to) && !next.Contains(to) && s.memberOnHostOf(to) == "" {
			p.joinedAt = s.now
		}
		if next.Contains(to) || p.joinedAt != 0 && s.now.Sub(p.joinedAt) <= learnerTimeout {
			kept = kept.With(to, p)
		}
	}
	s.progress = kept
	for to := range s.progress.All() {
		s.replicate(to, false)
	}
}

// accepts reports whether this instance handles the message m. With fixed
// members, the sender must be one of them. If members may change, the sender may
// be a member that is not in the local log yet, so any sender is accepted and the
// checks of term and log apply.
func (s *step) accepts(m dragonflyconsensusmessage.Message) bool {
	return m.To == s.self && (s.membersMayChange || s.members.Contains(m.From))
}
