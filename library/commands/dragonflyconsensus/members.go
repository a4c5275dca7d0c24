package dragonflyconsensus

import (
	"slices"
	"strings"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyconsensusmessage"
	"dragonflyrelay.example/library/values/dragonflylogentry"
)

// Members change one at a time, so that every majority before a change overlaps
// with every majority after it (Ongaro 2014, section 4.1). An entry with members
// takes effect when it is appended.
const (
	// ReplaceAfter is the time without contact after which a member is replaced by
	// an instance that is not a member. It is longer than a restart, which keeps
	// the disk.
	ReplaceAfter = 2500 * dragonflyduration.Millisecond
	// learnerTimeout is how long the log is replicated to an instance that is not
	// a member after its last request to join.
	learnerTimeout = 5 * dragonflyduration.Second
	// maxTickGap is the time between two ticks of a leader after which it has stood still:
	// ticks are much more frequent.
	maxTickGap = MinElectionTimeout
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
func (c Consensus) IsMember() bool { return slices.Contains(c.members, c.self) }

// membersAt returns the members that are in effect after the entry at index.
func (c Consensus) membersAt(index uint64) []string {
	for i := index; i > c.snapshot.Index; i-- {
		if e, _ := c.Entry(i); len(e.Members) > 0 {
			return e.Members
		}
	}
	if len(c.snapshot.Members) > 0 {
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

// memberProgress returns the progress of the other members.
func (s *step) memberProgress() []progress {
	var all []progress
	for to, p := range s.progress.All() {
		if slices.Contains(s.members, to) {
			all = append(all, p)
		}
	}
	return all
}

// addLearner handles the request of an instance to become a member by
// replicating the log to it as a learner.
func (s *step) addLearner(name string) {
	if !s.membersMayChange || s.role != leader || name == s.self || slices.Contains(s.members, name) {
		return
	}
	p, ok := s.progress.Get(name)
	if !ok {
		p = progress{next: s.LastIndex() + 1, ackedAt: s.now}
	}
	p.joinedAt = s.now
	s.progress = s.progress.With(name, p)
}

// changeMembers drops learners whose request has expired and starts the next
// change of the members that is due, if any.
func (s *step) changeMembers() {
	if !s.membersMayChange || s.commit < s.termStartIndex || s.memberChangePending() {
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

// memberChangePending reports whether a change of the members is not committed
// yet.
func (s *step) memberChangePending() bool {
	for i := s.LastIndex(); i > s.commit; i-- {
		if e, _ := s.Entry(i); len(e.Members) > 0 {
			return true
		}
	}
	return false
}

// nextMembers returns the members after the next change, nil if none is due. A
// silent member is replaced in two changes: it is removed, and then the learner is
// added. In between, the remaining members need no more votes than before. With the
// learner added first, they would need its vote as well.
func (s *step) nextMembers() []string {
	learner, ok := s.readyLearner()
	silent := s.silentMember()
	switch {
	case ok && s.memberOnHostOf(learner) != "":
		// The host has lost its disk, so the old member no longer votes: every
		// majority before the change consists of the remaining members.
		return s.membersWith(learner, s.memberOnHostOf(learner))
	case silent != "" && (ok || len(s.members)%2 == 0):
		return s.membersWith("", silent)
	case ok && s.targetSize() > len(s.members):
		return s.membersWith(learner, "")
	}
	return nil
}

// targetSize returns the target number of members, the largest odd number that
// the known instances and maxMembers allow.
func (s *step) targetSize() int {
	n := min(s.progress.Len()+1, maxMembers)
	if n%2 == 0 {
		n--
	}
	return n
}

// readyLearner returns a learner that is in contact and has all committed
// entries.
func (s *step) readyLearner() (name string, ok bool) {
	for to, p := range s.progress.All() {
		if !slices.Contains(s.members, to) && p.match >= s.commit && s.now.Sub(p.ackedAt) < 2*HeartbeatInterval {
			return to, true
		}
	}
	return "", false
}

// silentMember returns a member without contact for ReplaceAfter, "" if none. The time
// for which the leader itself has stood still does not count.
func (s *step) silentMember() string {
	for to, p := range s.progress.All() {
		if slices.Contains(s.members, to) && s.now.Sub(max(p.ackedAt, s.resumedAt)) > ReplaceAfter {
			return to
		}
	}
	return ""
}

// memberOnHostOf returns the other member on the host of the named instance, ""
// if there is none.
func (s *step) memberOnHostOf(name string) string {
	for _, m := range s.members {
		if m != name && Host(m) == Host(name) {
			return m
		}
	}
	return ""
}

// membersWith returns the sorted members with add and without remove. An empty
// name adds or removes nothing.
func (s *step) membersWith(add, remove string) []string {
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

// setMembers appends an entry with the next members and stops replication to
// instances that are neither members nor learners.
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

// accepts reports whether this instance handles the message m. With fixed
// members, the sender must be one of them. If members may change, the sender may
// be a member that is not in the local log yet, so any sender is accepted and the
// checks of term and log apply.
func (s *step) accepts(m dragonflyconsensusmessage.Message) bool {
	return m.To == s.self && (s.membersMayChange || slices.Contains(s.members, m.From))
}
