package dragonflyfleet

import (
	"fmt"
	"slices"
	"strings"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflycontact"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyobservation"
)

// A head of which control does not hear may have failed, or it may be cut off from control
// and still serve. Silence alone never frees its members. They are ordered to leave the
// group, which takes the head out of service: without a member it makes no progress, and
// after the stall time it is broken.
const (
	// HeadLostAfter is the time without a report of a head or of its agent after which the
	// head counts as lost, unless entries have had answers of it.
	HeadLostAfter = 6 * dragonflyduration.Second
	// DownAfter is the time without a sign of life after which an upstream that takes no
	// connection, and does not refuse it either, has crashed. It covers a heartbeat.
	DownAfter = 1500 * dragonflyduration.Millisecond
	// defaultStall is the stall time if the settings name none.
	defaultStall = 6 * dragonflyduration.Second
	// lateOrderTime is the longest time after which an engine carries out an order that it
	// has not answered.
	lateOrderTime = 12 * dragonflyduration.Second
	// stallMargin is added to the stall time, which begins when the head needs the member
	// that has left.
	stallMargin = dragonflyduration.Second
)

// WithStall returns f with the time after which a head that lacks a member is broken.
func (f Fleet) WithStall(d dragonflyduration.Duration) Fleet {
	f.stall = d
	return f
}

// brokenAfter returns how long after the departure of a member its head is surely broken.
func (f Fleet) brokenAfter() dragonflyduration.Duration {
	if f.stall > 0 {
		return f.stall + stallMargin
	}
	return defaultStall + stallMargin
}

// withReportingSince returns u, of which a report arrives now, with the time since which it
// has reported without a gap.
func (s *step) withReportingSince(u upstream) upstream {
	if u.lastReportAt() == 0 || s.now.Sub(u.lastReportAt()) >= AgentSilentAfter {
		u.reportingSince = s.now
	}
	return u
}

// observeContacts applies the latest answers of unreported heads that an entry has had.
func (s *step) observeContacts(contacts []dragonflycontact.Contact) {
	for _, c := range contacts {
		if u, ok := s.upstreams.Get(c.ID); ok && c.Age >= 0 {
			u.answeredAt = max(u.answeredAt, s.now.Add(-c.Age))
			s.upstreams = s.upstreams.With(c.ID, u)
		}
	}
}

// answers reports whether an entry has had an answer of u lately. The group of a head that
// answers lacks no member.
func (s *step) answers(u upstream) bool {
	return u.answeredAt != 0 && s.now.Sub(u.answeredAt) < SilentAfter
}

// isAtWork reports whether u, the head of a group, works on requests. One that lacks a member
// is broken after the stall time.
func (s *step) isAtWork(u upstream) bool {
	reported := s.now.Sub(u.agentReportAt) < AgentSilentAfter && u.obs.Group.MayServe() && u.obs.Running > 0
	return reported || s.answers(u)
}

// isLost reports whether u, which may be the zero upstream, counts as lost.
func (s *step) isLost(u upstream) bool {
	return s.silence(u.lastReportAt()) >= HeadLostAfter && !s.answers(u)
}

// isDown reports whether u, which its agent reports as unreachable, has crashed. An agent that
// lacks processor time may fail to connect to a sound upstream; such an upstream shows itself
// by a heartbeat, or by an answer to an entry. The agent has to go on reporting that it cannot
// connect: if it falls silent as well, the machine may be cut off.
func (s *step) isDown(u upstream) bool {
	if !u.unreachable || u.refused {
		return u.unreachable
	}
	return u.stillAt.Sub(max(u.unreachableAt, u.answeredAt, s.resumedAt)) >= DownAfter
}

// cannotOrder reports whether no orders reach the engine of u, because its agent is lost.
func (s *step) cannotOrder(u upstream) bool {
	return s.silence(max(u.agentReportAt, u.silentReportAt)) >= HeadLostAfter
}

// advanceLost advances g if its head is lost, or cannot be ordered to leave. It reports
// whether it has done so.
func (s *step) advanceLost(g group, head upstream) (done bool) {
	lost, unknown := s.isLost(head), g.head() == ""
	switch {
	case unknown && !lost: // It has not been heard of yet, which does not mean that it has left.
	case g.phase == headLost && !lost:
		s.resume(g, head)
	case g.phase == headLost, g.phase == ending && s.cannotOrder(head):
		s.withdraw(g, head)
	case lost && (g.phase == serving || g.phase == forming && g.mayBeOpen):
		s.setPhase(g, headLost, "the head is not heard of: "+s.reportAges(head))
	case lost && g.phase == closing:
		s.setPhase(g, ending, "the head is not heard of: "+s.reportAges(head))
	default:
		return false
	}
	return true
}

// resume takes g back into service after its head was lost.
func (s *step) resume(g group, head upstream) {
	s.dueWithdrawals = s.dueWithdrawals.Without(g.name)
	switch state := head.obs.Group.State; {
	case slices.Contains(g.members, ""):
		s.setPhase(g, ending, "a member has not been heard of")
	case state == dragonflyenginegroup.Ready || state == dragonflyenginegroup.Joining:
		s.setPhase(g, forming, "the head is heard of again")
	default:
		s.setPhase(g, serving, "the head is heard of again")
	}
}

// withdraw orders the members of g to leave and ends the group once its head is broken
// without them. It does nothing while no member has reported for as long as the head may be
// silent: after a partition, the head may only be the last to report.
func (s *step) withdraw(g group, head upstream) {
	switch {
	case !g.withdrawn && slices.ContainsFunc(g.members[1:], s.isReporting):
		if !s.recordWithdrawal(g) {
			return
		}
		g.withdrawn = true
		s.setPhase(g, ending, "its members leave, since the head cannot be ordered to")
	case g.brokenAt == 0 && !slices.ContainsFunc(g.members, s.isHeard):
		s.forget(g)
	case !g.withdrawn:
	case !slices.ContainsFunc(g.members[1:], func(id string) bool { return s.hasLeft(g, id) }):
		if g.brokenAt != 0 {
			g.brokenAt = 0 // The agent of the member had only failed to connect to it.
			s.setGroup(g)
			s.emit("group-withdrawn", g.head(), g.name, "no member has left after all")
		}
	case g.brokenAt != 0 && s.now >= g.brokenAt:
		s.end(g, "the head is broken without its members")
	case g.brokenAt == 0:
		wait := s.brokenAfter()
		if s.mayOpenLate(g, head) {
			wait += lateOrderTime
		}
		g.brokenAt = s.now.Add(wait)
		s.setGroup(g)
		s.emit("group-withdrawn", g.head(), g.name, "a member has left, the head is broken in "+seconds(wait))
	}
}

// isReporting reports whether the upstream id has reported for HeadLostAfter without a gap
// and takes orders.
func (s *step) isReporting(id string) bool {
	u, ok := s.upstreams.Get(id)
	return ok && s.now.Sub(u.reportingSince) >= HeadLostAfter && s.now.Sub(u.agentReportAt) < AgentSilentAfter
}

// isHeard reports whether the upstream id has reported within RemoveAfter.
func (s *step) isHeard(id string) bool {
	u, ok := s.upstreams.Get(id)
	return ok && s.silence(u.lastReportAt()) <= RemoveAfter
}

// hasLeft reports whether the upstream id is known to be no member of g any more. Members that
// are removed have started again: silence alone removes no member of a group.
func (s *step) hasLeft(g group, id string) bool {
	u, ok := s.upstreams.Get(id)
	return !ok && id != "" || s.isDown(u) || u.agentReportAt != 0 && !u.obs.Group.Is(g.name, g.epoch)
}

// hasLeftUnknown reports whether the engine of u, of which the report o arrives, may just have
// left the group of a lost head by an order of an earlier leader.
func (s *step) hasLeftUnknown(u upstream, o dragonflyobservation.Observation) bool {
	g := u.obs.Group
	switch {
	case o.Group.State != dragonflyenginegroup.None || o.Orders == 0:
		return false
	case u.agentReportAt == 0:
		return true
	}
	_, known := s.groups.Get(g.Name)
	return g.State != dragonflyenginegroup.None && !known && !s.isEnded(g) && !strings.HasPrefix(g.Name, standbyPrefix)
}

// forget removes g, none of whose members is heard of. Those that report again are adopted.
func (s *step) forget(g group) {
	s.emit("group-forgotten", g.head(), g.name, "no member is heard of")
	s.release(g)
}

// readopt takes over an ended group whose head says that it is at work after all, and
// orders that head to leave.
func (s *step) readopt(u upstream) {
	if _, grouped := s.memberOf.Get(u.obs.ID); grouped {
		return
	}
	g := u.obs.Group
	s.endedGroups = s.endedGroups.Without(g.Name)
	s.setPhase(group{
		name: g.Name, epoch: g.Epoch, service: u.obs.Service, model: u.obs.Model, members: []string{u.obs.ID}, mayBeOpen: true,
	}, ending, "the head of the ended group is at work")
}

// fillMember adds u to the group g that it reports, of which it is a member that had not
// been heard of.
func (s *step) fillMember(g group, u upstream) {
	r := u.obs.Group
	if r.Rank < 0 || r.Rank >= len(g.members) || g.members[r.Rank] != "" || r.Epoch != g.epoch {
		return
	}
	g.members = slices.Clone(g.members)
	g.members[r.Rank] = u.obs.ID
	s.setGroup(g)
	s.emit("group-member-found", u.obs.ID, g.name, fmt.Sprintf("rank %d", r.Rank))
}
