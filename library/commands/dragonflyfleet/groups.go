package dragonflyfleet

import (
	"fmt"
	"slices"
	"strings"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyobservation"
)

// advanceGroups adopts groups that upstreams report and moves every group on.
func (s *step) advanceGroups() {
	s.adopt()
	for _, g := range s.groups.All() {
		s.advance(g)
	}
}

// adopt takes over the groups of an earlier leader whose members all report.
func (s *step) adopt() {
	found := map[string][]record{}
	for _, r := range s.records.All() {
		g := r.obs.Group
		if g.State == dragonflyenginegroup.None || s.knows(g.Name) || strings.HasPrefix(g.Name, standbyPrefix) {
			continue
		}
		found[g.Name] = append(found[g.Name], r)
	}
	for name, members := range found {
		s.adoptFrom(name, members)
	}
}

func (s *step) knows(name string) bool {
	_, known := s.groups.Get(name)
	_, over := s.ended.Get(name)
	return known || over
}

func (s *step) adoptFrom(name string, members []record) {
	first := members[0].obs
	svc, _ := s.document.Services().Get(first.Service)
	m, ok := svc.Engine.Model(first.Model)
	if !ok {
		return
	}
	g := group{
		name: name, epoch: first.Group.Epoch, service: first.Service, model: m.Name,
		members: make([]string, m.Size), phase: forming, since: s.now, opened: true,
	}
	for _, r := range members {
		rank := r.obs.Group.Rank
		if rank < 0 || rank >= m.Size || g.members[rank] != "" || r.obs.Group.Epoch != g.epoch || r.obs.Model != m.Name {
			return
		}
		g.members[rank] = r.obs.ID
	}
	if !slices.Contains(g.members, "") {
		s.groups = s.groups.With(name, g)
		s.note("group-adopted", g.head(), name, fmt.Sprintf("epoch %d, model %s, members %v", g.epoch, g.model, g.members))
		return
	}
	if g.head() != "" && s.now.Sub(s.ledAt) > CompleteAfter {
		// A member was lost before this instance led, so that nobody reports it.
		s.turn(g, ending, "a member has not been heard of")
	}
}

// advance moves one group on. A head that may be open is made to leave before
// its members are used again, so that no engine is in two groups.
func (s *step) advance(g group) {
	head, headKnown := s.records.Get(g.head())
	if !headKnown || head.unreachable {
		s.end(g, "the head is lost")
		return
	}
	if head.silent && (g.phase == forming || g.phase == serving) {
		// A paused head may go on and serve: its members are not used again before
		// it has left, or is gone.
		s.turn(g, ending, "the head does not answer")
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
		case s.lost(g) != "":
			s.turn(g, ending, "lost "+s.lost(g))
		case s.now.Sub(g.since) > DrainTime:
			s.turn(g, ending, "the head takes too long to finish")
		}
	case ending:
		if !in {
			s.end(g, "the head has left")
		}
	}
}

func (s *step) advanceForming(g group, head record) {
	switch reason := s.unfit(g); {
	case reason != "" && g.opened:
		s.turn(g, ending, reason)
	case reason != "":
		s.end(g, reason)
	case s.now.Sub(g.since) > s.formTime(g):
		s.turn(g, ending, "the group takes too long to form")
	case head.obs.Group.Is(g.name, g.epoch) && head.obs.Group.State == dragonflyenginegroup.Open:
		s.turn(g, serving, "the head is open")
	case head.obs.Group.Is(g.name, g.epoch) && head.obs.Group.State == dragonflyenginegroup.Broken:
		s.turn(g, ending, "the head is broken")
	case s.allReady(g) && !g.opened:
		g.opened = true
		s.groups = s.groups.With(g.name, g)
		s.note("group-ready", g.head(), g.name, "all members are ready")
	}
}

func (s *step) advanceServing(g group, head record) {
	state := head.obs.Group.State
	switch {
	case !head.obs.Group.Is(g.name, g.epoch):
		s.end(g, "the head is in no group")
	case state == dragonflyenginegroup.Broken:
		s.turn(g, ending, "the head is broken")
	case s.lost(g) != "":
		s.turn(g, ending, "lost "+s.lost(g))
	case s.slow(g) != "" && s.servingGroups(g.service, g.model) > 1:
		s.turn(g, ending, s.slow(g)+" is slow")
	case s.unfit(g) != "" && (leaving(head) || !s.changing(g)):
		s.turn(g, closing, s.unfit(g))
	}
}

// leaving reports whether the upstream of r is about to end.
func leaving(r record) bool {
	return r.obs.State == dragonflyobservation.Draining || r.obs.State == dragonflyobservation.Left
}

// changing reports whether another group of g's model does not serve at present.
// A member that leaves goes on working for seconds, so that groups whose members
// leave close one after the other, as long as their heads stay.
func (s *step) changing(g group) bool {
	for _, other := range s.groups.All() {
		if other.name != g.name && other.service == g.service && other.model == g.model && other.phase != serving {
			return true
		}
	}
	return false
}

// lost returns the first member that cannot work for the group any more.
func (s *step) lost(g group) (id string) {
	for _, id := range g.members {
		r, ok := s.records.Get(id)
		if !ok || r.unreachable || r.silent || g.phase != forming && !r.obs.Group.Is(g.name, g.epoch) {
			return id
		}
	}
	return ""
}

// slow returns the first member that is slow. A group runs at the pace of its
// slowest member.
func (s *step) slow(g group) (id string) {
	for _, id := range g.members {
		if r, _ := s.records.Get(id); r.obs.Slow() {
			return id
		}
	}
	return ""
}

// servingGroups returns the number of groups that serve the model.
func (s *step) servingGroups(service, model string) (n int) {
	for _, g := range s.groups.All() {
		if g.service == service && g.model == model && g.phase == serving {
			n++
		}
	}
	return n
}

// unfit returns why the group must not serve on, "" if it may.
func (s *step) unfit(g group) (reason string) {
	if id := s.lost(g); id != "" {
		return "lost " + id
	}
	for _, id := range g.members {
		r, _ := s.records.Get(id)
		if leaving(r) {
			return id + " is leaving"
		}
	}
	return ""
}

func (s *step) allReady(g group) bool {
	for _, id := range g.members {
		r, ok := s.records.Get(id)
		if !ok || !r.obs.Group.Is(g.name, g.epoch) {
			return false
		}
		if st := r.obs.Group.State; st != dragonflyenginegroup.Ready && st != dragonflyenginegroup.Open {
			return false
		}
	}
	return true
}

// formTime bounds the time to form g. Loads slow each other down beyond the
// number that the store serves at once.
func (s *step) formTime(g group) dragonflyduration.Duration {
	svc, _ := s.document.Services().Get(g.service)
	m, _ := svc.Engine.Model(g.model)
	return 2*(m.Load+m.Warmup) + svc.Engine.FormTime + formSlack
}

func (s *step) turn(g group, p phase, reason string) {
	names := [...]string{"group-forming", "group-serving", "group-closing", "group-ending"}
	g.phase, g.since = p, s.now
	s.groups = s.groups.With(g.name, g)
	s.note(names[p], g.head(), g.name, reason)
}

// end forgets g. Its members are free.
func (s *step) end(g group, reason string) {
	s.freed = true
	s.note("group-ended", g.head(), g.name, reason)
	s.groups = s.groups.Without(g.name)
	if s.ended.Len() >= maxRemembered {
		for name := range s.ended.All() {
			s.ended = s.ended.Without(name)
			break
		}
	}
	s.ended = s.ended.With(g.name, true)
}
