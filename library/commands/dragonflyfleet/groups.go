package dragonflyfleet

import (
	"fmt"
	"slices"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyobservation"
)

// advanceGroups adopts groups that upstreams report and advances every group.
func (s *step) advanceGroups() {
	s.adopt()
	for _, g := range s.groups.All() {
		s.advance(g)
	}
}

// maxGroupSize bounds the ranks of a group in a report.
const maxGroupSize = 1024

// adopt takes over the groups of an earlier leader, each once all its members have
// reported, and ends those of which a member does not report within ReportWindow.
func (s *step) adopt() {
	reported := map[string][]upstream{}
	for _, u := range s.upstreams.All() {
		r := u.obs.Group
		g, known := s.groups.Get(r.Name)
		endedAt, ended := s.endedGroups.Get(r.Name)
		switch {
		case !isGrouped(u):
		case known:
			s.fillMember(g, u)
		case ended:
			if r.Rank == 0 && r.MayServe() && !u.unreachable && u.groupReportAt() > endedAt {
				s.readopt(u)
			}
		default:
			reported[r.Name] = append(reported[r.Name], u)
		}
	}
	for name, members := range reported {
		s.adoptGroup(name, members)
	}
}

func (s *step) adoptGroup(name string, members []upstream) {
	first := members[0].obs
	svc, _ := s.document.Services().Get(first.Service)
	if !svc.Grouped() {
		return
	}
	m, _ := svc.Engine.Model(first.Model)
	size := m.Size
	for _, u := range members {
		size = max(size, min(u.obs.Group.Rank, maxGroupSize-1)+1)
	}
	g := group{
		name: name, epoch: first.Group.Epoch, service: first.Service, model: first.Model,
		members: make([]string, size), phase: forming, phaseSince: s.now, mayBeOpen: true,
	}
	for _, u := range members {
		rank := u.obs.Group.Rank
		switch {
		case rank >= 0 && rank < size && g.members[rank] == "" && u.obs.Group.Epoch == g.epoch && u.obs.Model == g.model:
			g.members[rank] = u.obs.ID
		case slices.ContainsFunc(members, isJoining):
			return // An engine may name its model only once it has joined.
		}
		// A member that contradicts those before is left out: the group is incomplete.
	}
	if size == m.Size && !slices.Contains(g.members, "") {
		s.setGroup(g)
		s.emit("group-adopted", g.head(), name, fmt.Sprintf("epoch %d, model %s, members %v", g.epoch, g.model, g.members))
		return
	}
	switch {
	case s.silence(firstReport(members)) <= ReportWindow: // The other members may still report.
	case g.head() == "":
		s.setPhase(g, headLost, "the head has not been heard of")
	case size != m.Size:
		s.setPhase(g, ending, fmt.Sprintf("the document has no model %s of %d engines", g.model, size))
	default:
		// A member was lost before this instance became the leader, so no report of
		// it will arrive.
		s.setPhase(g, ending, "a member has not been heard of")
	}
}

func isJoining(u upstream) bool { return u.obs.Group.State == dragonflyenginegroup.Joining }

// firstReport returns when the first of the upstreams began to report.
func firstReport(upstreams []upstream) (at dragonflyinstant.Instant) {
	at = upstreams[0].reportingSince
	for _, u := range upstreams {
		at = min(at, u.reportingSince)
	}
	return at
}

// advance updates the phase of one group. A head that may be open is ordered to
// leave before its members are reused, so that no engine is in two groups.
func (s *step) advance(g group) {
	head, headKnown := s.upstreams.Get(g.head())
	if headKnown && head.unreachable && g.mayBeOpen && !s.isDown(head) {
		s.advanceLost(g, head)
		return
	}
	if headKnown && head.unreachable && (g.phase != forming || g.mayBeOpen) {
		if g = s.withDroppedRevision(g); s.mayHaveStreams(g, head) {
			s.groups = s.groups.With(g.name, g)
			if g.phase == serving {
				s.setPhase(g, closing, "the head no longer listens")
			}
			return
		}
	} else if g.droppedRevision != 0 {
		g.droppedRevision = 0
		s.groups = s.groups.With(g.name, g)
	}
	if !headKnown && g.head() != "" {
		s.end(g, "the head was removed") // It has started again, or another upstream has its address.
		return
	}
	if head.unreachable || s.hasRefusedHead(g) {
		s.end(g, "the head is unreachable")
		return
	}
	if s.advanceLost(g, head) {
		return
	}
	if head.stalled(s.now) && (g.phase == forming || g.phase == serving) {
		// A paused head may resume and serve: its members are not reused before it
		// has left or is lost.
		s.setPhase(g, ending, "the head does not answer")
		return
	}
	if id := s.overtaken(g); id != "" && (g.phase == forming || g.phase == serving) {
		s.setPhase(g, ending, id+" has been ordered to join a later group")
		return
	}
	in := head.obs.Group.Is(g.name, g.epoch)
	switch g.phase {
	case forming:
		s.advanceForming(g, head)
	case serving:
		s.advanceServing(g, head)
	case closing:
		state := head.obs.Group.State
		switch {
		case !in || state != dragonflyenginegroup.Open && state != dragonflyenginegroup.Closing:
			s.end(g, "the head has finished")
		case s.lostMember(g) != "":
			s.setPhase(g, ending, "lost "+s.lostMember(g))
		case s.now.Sub(g.phaseSince) > DrainTimeout:
			s.setPhase(g, ending, "the head takes too long to finish")
		}
	case ending:
		if !in {
			s.end(g, "the head has left")
		}
	}
}

func (s *step) advanceForming(g group, head upstream) {
	switch reason := s.unfitReason(g); {
	case reason != "" && g.mayBeOpen:
		s.setPhase(g, ending, reason)
	case reason != "":
		s.end(g, reason)
	case !g.mayBeOpen && s.refusingMember(g) != "":
		s.end(g, s.refusingMember(g)+" has seen a higher epoch")
	case !g.mayBeOpen && s.lacksMember(g):
		s.end(g, "a member has joined another group")
	case s.now.Sub(g.phaseSince) > s.formTime(g):
		s.setPhase(g, ending, "the group takes too long to form")
	case head.obs.Group.Is(g.name, g.epoch) && head.obs.Group.State == dragonflyenginegroup.Open:
		s.setPhase(g, serving, "the head is open")
	case head.obs.Group.Is(g.name, g.epoch) && head.obs.Group.State == dragonflyenginegroup.Broken:
		s.setPhase(g, ending, "the head is broken")
	case s.isReopened(g, head):
		s.setPhase(g, ending, "the head has been closed")
	case s.allMembersReady(g) && !g.membersReady:
		g.mayBeOpen, g.membersReady, g.readyAt = true, true, s.now
		s.setGroup(g)
		s.emit("group-ready", g.head(), g.name, "all members are ready")
	case !s.allMembersReady(g) && g.membersReady:
		// A member has started again and joins anew.
		g.membersReady = false
		s.setGroup(g)
	}
}

func (s *step) advanceServing(g group, head upstream) {
	state := head.obs.Group.State
	switch {
	case !head.obs.Group.Is(g.name, g.epoch):
		s.end(g, "the head is in no group")
	case state == dragonflyenginegroup.Broken:
		s.setPhase(g, ending, "the head is broken")
	case s.isReopened(g, head):
		s.setPhase(g, ending, "the head has been closed")
	case s.lostMember(g) != "":
		s.setPhase(g, ending, "lost "+s.lostMember(g))
	case s.slowMember(g) != "" && s.servingGroups(g.service, g.model) > 1:
		s.setPhase(g, ending, s.slowMember(g)+" is slow")
	case s.unfitReason(g) != "" && (leaving(head) || !s.otherNotServing(g)):
		s.setPhase(g, closing, s.unfitReason(g))
	}
}

// leaving reports whether u is shutting down.
func leaving(u upstream) bool {
	return u.obs.State == dragonflyobservation.Draining || u.obs.State == dragonflyobservation.Left
}

// otherNotServing reports whether another group of g's model forms or closes. Groups with a member that shuts down close one at a time, since the
// member keeps working for seconds, unless the head itself is shutting down.
func (s *step) otherNotServing(g group) bool {
	for _, other := range s.groups.All() {
		if other.name != g.name && other.service == g.service && other.model == g.model && other.phase != serving && other.phase != headLost {
			return true
		}
	}
	return false
}

// lostMember returns the id of the first member that no longer works for the group,
// or "".
func (s *step) lostMember(g group) (id string) {
	for _, id := range g.members {
		u, ok := s.upstreams.Get(id)
		if !ok || u.unreachable || u.stalled(s.now) || s.isSilentMember(g, id, u) || g.phase != forming && !u.obs.Group.Is(g.name, g.epoch) {
			return id
		}
	}
	return ""
}

// isSilentMember reports whether the member u of g has been silent for so long that it
// counts as lost. The head of a group that may be open is judged by advanceLost.
func (s *step) isSilentMember(g group, id string, u upstream) bool {
	if g.phase == forming && !g.mayBeOpen {
		return s.silence(u.lastReportAt()) >= HeadLostAfter
	}
	head, _ := s.upstreams.Get(g.head())
	return id != g.head() && s.silence(u.lastReportAt()) > RemoveAfter && !s.isAtWork(head)
}

// slowMember returns the id of the first member that is slow, or "". The slowest
// member sets the pace of its group.
func (s *step) slowMember(g group) (id string) {
	for _, id := range g.members {
		if u, _ := s.upstreams.Get(id); u.obs.Slow() {
			return id
		}
	}
	return ""
}

// servingGroups returns the number of groups of the model that serve.
func (s *step) servingGroups(service, model string) (n int) {
	for _, g := range s.groups.All() {
		if g.service == service && g.model == model && g.phase == serving {
			n++
		}
	}
	return n
}

// unfitReason returns why the group must stop serving, or "" if it may continue.
func (s *step) unfitReason(g group) (reason string) {
	if id := s.lostMember(g); id != "" {
		return "lost " + id
	}
	for _, id := range g.members {
		u, _ := s.upstreams.Get(id)
		if leaving(u) {
			return id + " is leaving"
		}
	}
	return ""
}

func (s *step) allMembersReady(g group) bool {
	for _, id := range g.members {
		u, ok := s.upstreams.Get(id)
		if !ok || !u.obs.Group.Is(g.name, g.epoch) {
			return false
		}
		if st := u.obs.Group.State; st != dragonflyenginegroup.Ready && st != dragonflyenginegroup.Open {
			return false
		}
	}
	return true
}

// formTime returns the longest time that g may take to form. Weight loads slow each
// other down when there are more than the store serves at once.
func (s *step) formTime(g group) dragonflyduration.Duration {
	svc, _ := s.document.Services().Get(g.service)
	m, _ := svc.Engine.Model(g.model)
	return 2*(m.Load+m.Warmup) + svc.Engine.FormTime + formSlack
}

func (s *step) setPhase(g group, p phase, reason string) {
	names := [...]string{"group-forming", "group-serving", "group-lost", "group-closing", "group-ending"}
	g.phase, g.phaseSince = p, s.now
	s.setGroup(g)
	if p == serving {
		s.noteOpening(g)
	}
	s.emit(names[p], g.head(), g.name, reason)
}

// setGroup stores g.
func (s *step) setGroup(g group) {
	s.groups = s.groups.With(g.name, g)
	for _, id := range g.members {
		if name, _ := s.memberOf.Get(id); id != "" && name != g.name {
			s.memberOf = s.memberOf.With(id, g.name)
		}
	}
	s.noteMemberOrders(g)
}

// end removes g, so that its members are free.
func (s *step) end(g group, reason string) {
	s.groupEnded = true
	s.emit("group-ended", g.head(), g.name, reason)
	s.release(g)
	if s.endedGroups.Len() >= maxTombstones {
		s.endedGroups = withoutLeast(s.endedGroups, func(at dragonflyinstant.Instant) uint64 { return uint64(at) })
	}
	s.endedGroups = s.endedGroups.With(g.name, s.now)
}

// release removes g and the membership of its engines.
func (s *step) release(g group) {
	s.groups, s.dueWithdrawals = s.groups.Without(g.name), s.dueWithdrawals.Without(g.name)
	s.dueOpenings = s.dueOpenings.Without(g.name)
	for _, id := range g.members {
		if name, _ := s.memberOf.Get(id); name == g.name {
			s.memberOf = s.memberOf.Without(id)
		}
	}
	s.noteMemberOrders(g)
}
