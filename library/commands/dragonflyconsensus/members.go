package dragonflyconsensus

import (
	"slices"
	"strings"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyconsensusmessage"
	"dragonflyrelay.example/library/values/dragonflylogentry"
)

// Members change one at a time, so that every majority before a change and every
// one after it have an instance in common (Ongaro 2014, section 4.1). An entry
// with members is in force from when it is appended.
const (
	// ReplaceAfter is how long a member must be silent before an instance that
	// is not a member takes its place. It is above a restart, which keeps the disk.
	ReplaceAfter = 2500 * dragonflyduration.Millisecond
	// learnerTimeout is how long an instance that is not a member is kept up to
	// date after it has last asked to join.
	learnerTimeout = 5 * dragonflyduration.Second
	// maxMembers bounds the members; more would only make changes slower.
	maxMembers = 5
)

// incarnationMark separates the host of an instance's name from its incarnation.
const incarnationMark = "#"

// Host returns the part of an instance's name that stays the same when the
// instance loses its disk.
func Host(name string) string {
	host, _, _ := strings.Cut(name, incarnationMark)
	return host
}

// Incarnation returns the name of an instance on host that starts with an empty
// disk. It differs from the names under which the host has voted before.
func Incarnation(host, unique string) string { return host + incarnationMark + unique }

// WithChanging returns the state of an instance whose members may change. Members
// of the log replace those that the instance was started with.
func (c Consensus) WithChanging() Consensus {
	c.changing = true
	c.initial = c.members
	c.members = c.membersAt(c.LastIndex())
	return c
}

// IsMember reports whether this instance votes.
func (c Consensus) IsMember() bool { return slices.Contains(c.members, c.self) }

// membersAt returns the members in force after the entry at index.
func (c Consensus) membersAt(index uint64) []string {
	for i := index; i > c.snapshot.Index; i-- {
		if e, _ := c.Entry(i); len(e.Members) > 0 {
			return e.Members
		}
	}
	if len(c.snapshot.Members) > 0 {
		return c.snapshot.Members
	}
	return c.initial
}

// refreshMembers takes the members from the log after it has changed.
func (s *step) refreshMembers() {
	if s.changing {
		s.members = s.membersAt(s.LastIndex())
	}
}

// memberProgress yields what is known of the other members.
func (s *step) memberProgress() []progress {
	var all []progress
	for to, p := range s.progress.All() {
		if slices.Contains(s.members, to) {
			all = append(all, p)
		}
	}
	return all
}

// join keeps an instance up to date that asks to become a member.
func (s *step) join(name string) {
	if !s.changing || s.role != leader || name == s.self || slices.Contains(s.members, name) {
		return
	}
	p, ok := s.progress.Get(name)
	if !ok {
		p = progress{next: s.LastIndex() + 1, heard: s.now}
	}
	p.joinedAt = s.now
	s.progress = s.progress.With(name, p)
}

// changeMembers makes the next change of the members that is due, if any.
func (s *step) changeMembers() {
	if !s.changing || s.commit < s.termStart || s.memberChangePending() {
		return
	}
	for to, p := range s.progress.All() {
		if !slices.Contains(s.members, to) && s.now.Sub(p.joinedAt) > learnerTimeout {
			s.progress = s.progress.Without(to)
		}
	}
	if next := s.nextMembers(); next != nil {
		s.setMembers(next)
	}
}

// memberChangePending reports whether an earlier change is not yet committed.
func (s *step) memberChangePending() bool {
	for i := s.LastIndex(); i > s.commit; i-- {
		if e, _ := s.Entry(i); len(e.Members) > 0 {
			return true
		}
	}
	return false
}

// nextMembers returns the members after the next change, nil if none is due.
func (s *step) nextMembers() []string {
	learner, ok := s.readyLearner()
	silent := s.silentMember()
	switch {
	case ok && s.sameHost(learner) != "":
		// The host has lost its disk, so that the old member votes no more. All
		// majorities of the members before the change are ones without it.
		return s.with(learner, s.sameHost(learner))
	case silent != "" && len(s.members)%2 == 0:
		return s.with("", silent)
	case ok && (silent != "" || s.wanted() > len(s.members)):
		return s.with(learner, "")
	}
	return nil
}

// wanted returns the number of members that the instances allow, an odd one.
func (s *step) wanted() int {
	n := min(s.progress.Len()+1, maxMembers)
	if n%2 == 0 {
		n--
	}
	return n
}

// readyLearner returns an instance that asks to join and has the whole log.
func (s *step) readyLearner() (name string, ok bool) {
	for to, p := range s.progress.All() {
		if !slices.Contains(s.members, to) && p.match >= s.commit && s.now.Sub(p.heard) < 2*HeartbeatInterval {
			return to, true
		}
	}
	return "", false
}

func (s *step) silentMember() string {
	for to, p := range s.progress.All() {
		if slices.Contains(s.members, to) && s.now.Sub(p.heard) > ReplaceAfter {
			return to
		}
	}
	return ""
}

// sameHost returns the member on the host of the named instance, "" if none is.
func (s *step) sameHost(name string) string {
	for _, m := range s.members {
		if m != name && Host(m) == Host(name) {
			return m
		}
	}
	return ""
}

// with returns the members with add and without remove; "" changes nothing.
func (s *step) with(add, remove string) []string {
	var next []string
	for _, m := range s.members {
		if m != remove {
			next = append(next, m)
		}
	}
	if add != "" {
		next = append(next, add)
	}
	slices.Sort(next)
	return next
}

// setMembers appends the change. Instances that are no longer members get no
// more messages.
func (s *step) setMembers(next []string) {
	s.appendEntry(dragonflylogentry.Entry{Members: next})
	var kept dragonflymap.Map[string, progress]
	for to, p := range s.progress.All() {
		if slices.Contains(next, to) || p.joinedAt != 0 && s.now.Sub(p.joinedAt) <= learnerTimeout {
			kept = kept.With(to, p)
		}
	}
	s.progress = kept
	for to := range s.progress.All() {
		s.replicate(to, false)
	}
}

// acceptable reports whether this instance takes the message. Members that do
// not change are known; otherwise an instance may not know its leader's members
// yet, and terms and logs tell whom to follow.
func (s *step) acceptable(m dragonflyconsensusmessage.Message) bool {
	return m.To == s.self && (s.changing || slices.Contains(s.members, m.From))
}
