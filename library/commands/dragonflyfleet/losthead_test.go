package dragonflyfleet_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyfleet"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflycontact"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	// stallTime is the time for which a head without one of its members is not yet broken.
	stallTime = 6 * second
	// repairTime bounds the time until the engines behind a lost machine serve again.
	repairTime = 15 * second
)

// checkJoin records a violation if e joins another group while the head of its group, or of
// the one that it has left, is at work.
func (s *simulation) checkJoin(e *engine, o dragonflyserverorder.Order) {
	for _, g := range []dragonflyenginegroup.Group{e.obs.Group, e.former} {
		if g.State == dragonflyenginegroup.None || g.Is(o.Group, o.Epoch) {
			continue
		}
		for _, head := range s.engines {
			if h := head.obs.Group; h.Is(g.Name, g.Epoch) && h.Rank == 0 && !head.unreachable && h.MayServe() {
				s.violations = append(s.violations, fmt.Sprintf("%s joins %s while %s of %s is at work", e.obs.ID, o.Group, head.obs.ID, g.Name))
			}
		}
	}
}

// age lets d pass at the head e, which is broken when it has lacked a member for stallTime,
// also if it stands still meanwhile.
func (s *simulation) age(e *engine, d dragonflyduration.Duration) {
	g, members := e.obs.Group, 0
	if g.Rank != 0 || !g.MayServe() {
		e.incomplete = 0
		return
	}
	for _, m := range s.engines {
		if !m.unreachable && m.obs.Group.Is(g.Name, g.Epoch) {
			members++
		}
	}
	if g.Rank != 0 || !g.MayServe() || members == s.groupSize(e.obs.Model) {
		e.incomplete = 0
		return
	}
	if e.incomplete += d; e.incomplete >= stallTime {
		e.obs.Group.State = dragonflyenginegroup.Broken
	}
}

// groupSize returns the number of engines of a group of the model.
func (s *simulation) groupSize(model string) int {
	svc, _ := s.fleet.Document().Services().Get("llm")
	m, _ := svc.Engine.Model(model)
	return m.Size
}

// contact reports that the entry has just had an answer of the upstream id.
func (s *simulation) contact(entry, id string) {
	s.step(dragonflyfleetevent.Event{
		Kind: dragonflyfleetevent.EntryConnected, Process: entry, Contacts: []dragonflycontact.Contact{{ID: id}},
	})
}

// domain returns the engines of the domain.
func (s *simulation) domain(name string) (all []*engine) {
	for _, e := range s.engines {
		if e.obs.Domain == name {
			all = append(all, e)
		}
	}
	return all
}

// setCut cuts the engines off from control, or connects them again.
func setCut(cut bool, engines ...*engine) {
	for _, e := range engines {
		e.cut = cut
	}
}

// memberships returns the groups of all engines.
func (s *simulation) memberships() (all []dragonflyenginegroup.Group) {
	for _, e := range s.engines {
		all = append(all, e.obs.Group)
	}
	return all
}

// lead makes a new leader with the term.
func (s *simulation) lead(term uint64) {
	s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Followed})
	s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Led, Term: term})
}

// assertNoneTwice checks that no engine has joined a group while the head of another one
// that it belonged to was at work.
func assertNoneTwice(s *simulation) { So(s.violations, ShouldBeEmpty) }

// assertServing checks that n groups serve.
func assertServing(s *simulation, n int) {
	assertNoneTwice(s)
	So(s.servingHeads(), ShouldHaveLength, n)
	assertGroupsIntact(s)
}

// TestLostHeads guards against members of a head of which control does not hear that join
// another group while that head is at work.
func TestLostHeads(t *testing.T) {
	Convey("Given two groups with a spare each", t, func() {
		s := newSimulation(4)
		s.advance(8 * second)
		assertServing(s, 2)
		head := s.firstHead()
		group := head.obs.Group
		rest := func() (others []*engine) {
			for _, e := range s.domain(head.obs.Domain) {
				if e != head {
					others = append(others, e)
				}
			}
			return others
		}

		Convey("the members of a lost machine serve again within repairTime", func() {
			head.cut = true
			s.advance(repairTime)
			assertNoneTwice(s)
			So(s.servingHeads(), ShouldHaveLength, 2)
			So(s.servingHeads(), ShouldNotContain, head.obs.ID)
		})
		Convey("a head that comes back leaves its group before it joins another one", func() {
			head.cut = true
			s.advance(30 * second)
			head.cut = false
			s.advance(3 * second)
			assertServing(s, 2)
		})
		Convey("a group whose members come back before their head serves on", func() {
			setCut(true, s.domain(head.obs.Domain)...)
			s.advance(20 * second)
			setCut(false, rest()...)
			s.advance(2 * second)
			head.cut = false
			s.advance(2 * second)
			So(head.obs.Group, ShouldResemble, group)
			assertServing(s, 2)
		})
		Convey("a group that is cut off again and again serves on", func() {
			for range 6 {
				setCut(true, s.domain(head.obs.Domain)...)
				s.advance(9 * second)
				setCut(false, s.domain(head.obs.Domain)...)
				s.advance(2 * second)
			}
			So(head.obs.Group, ShouldResemble, group)
			assertServing(s, 2)
		})
		Convey("a new leader reuses the members of a head of which it has not heard once that head is broken", func() {
			head.cut = true
			s.advance(3 * second)
			s.lead(2)
			s.advance(repairTime)
			assertNoneTwice(s)
			So(s.servingHeads(), ShouldHaveLength, 2)
			head.cut = false
			s.advance(3 * second)
			assertServing(s, 2)
		})
		Convey("a series of leaders reuses no member of a head at work", func() {
			head.cut = true
			for term := range uint64(10) {
				s.advance(dragonflyduration.Duration(5+term) * second)
				s.lead(2 + term)
			}
			assertNoneTwice(s)
			head.cut = false
			s.advance(3 * second)
			assertServing(s, 2)
		})
		Convey("a new leader does not reuse members that have just left the group of a lost head", func() {
			head.cut = true
			s.advance(dragonflyfleet.HeadLostAfter + second)
			So(s.otherMember(head), ShouldBeNil)
			s.lead(2)
			s.advance(repairTime)
			assertNoneTwice(s)
			So(s.servingHeads(), ShouldHaveLength, 2)
		})
		Convey("a head that answers entries serves on for as long as it does", func() {
			head.cut = true
			for range 60 {
				s.advance(second / 2)
				s.contact("e1", head.obs.ID)
			}
			So(s.servingHeads(), ShouldContain, head.obs.ID)
			assertServing(s, 2)
			s.advance(repairTime)
			assertNoneTwice(s)
			So(s.servingHeads(), ShouldHaveLength, 2)
			So(s.servingHeads(), ShouldNotContain, head.obs.ID)
		})
		Convey("a head that is cut off with its group serves on while it answers entries", func() {
			setCut(true, s.domain(head.obs.Domain)...)
			for range 60 {
				s.advance(second / 2)
				s.contact("e1", head.obs.ID)
			}
			So(s.servingHeads(), ShouldContain, head.obs.ID)
			setCut(false, s.domain(head.obs.Domain)...)
			s.advance(2 * second)
			So(head.obs.Group, ShouldResemble, group)
			assertServing(s, 2)
		})
		Convey("a group whose member is not heard of serves on while its head is at work", func() {
			head.obs.Running = 3
			s.otherMember(head).cut = true
			s.advance(30 * second)
			So(head.obs.Group, ShouldResemble, group)
			assertServing(s, 2)
		})
		Convey("a group whose member is not heard of is replaced if its head has no work", func() {
			s.otherMember(head).cut = true
			s.advance(dragonflyfleet.RemoveAfter + 2*second)
			So(head.obs.Group, ShouldNotResemble, group)
			assertServing(s, 2)
		})
		Convey("a group of which nothing is heard for long is adopted as it was", func() {
			setCut(true, s.domain(head.obs.Domain)...)
			s.advance(60 * second)
			setCut(false, rest()...)
			s.advance(2 * second)
			head.cut = false
			s.advance(2 * second)
			So(head.obs.Group, ShouldResemble, group)
			assertServing(s, 2)
		})
	})
	Convey("A head that is ordered to leave and whose agent is gone is replaced within repairTime", t, func() {
		s := newSimulation(5)
		s.advance(8 * second)
		head := s.firstHead()
		head.agentGone = true
		s.otherMember(head).unreachable = true
		s.advance(repairTime)
		assertNoneTwice(s)
		So(s.servingHeads(), ShouldHaveLength, 2)
		So(s.servingHeads(), ShouldNotContain, head.obs.ID)
		head.agentGone = false
		s.advance(3 * second)
		assertNoneTwice(s)
	})
}

// TestLeaderStandstill guards against a leader that takes the time in which it did not run for
// the silence of all upstreams, and reuses the members of heads at work.
func TestLeaderStandstill(t *testing.T) {
	Convey("Groups serve on after their leader has stood still", t, func() {
		s := newSimulation(4)
		s.advance(8 * second)
		before := s.servingHeads()
		groups := s.memberships()
		s.now = s.now.Add(40 * second)
		s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Tick})
		So(s.servingHeads(), ShouldResemble, before)
		s.advance(second)
		So(s.memberships(), ShouldResemble, groups)
		assertServing(s, 2)
	})
}

// TestOldAgentReports guards against a report of an agent that arrives after a newer one,
// for example because it was sent again, and that ends a group at work.
func TestOldAgentReports(t *testing.T) {
	Convey("A report from before the latest order changes nothing", t, func() {
		s := newSimulation(4)
		old := s.engines[0].obs
		old.ID = ""
		s.advance(8 * second)
		before := s.servingHeads()
		for _, e := range s.engines {
			old.Address, old.Boot = e.obs.Address, e.obs.Boot
			s.observe(old)
			s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Tick})
			So(s.fleet.Order(e.obs.Address).Kind, ShouldNotEqual, dragonflyserverorder.Join)
		}
		So(s.servingHeads(), ShouldResemble, before)
		s.advance(dragonflyfleet.SilentAfter)
		assertServing(s, 2)
	})
	for name, reporter := range map[string]uint64{"same": 7, "former": 6} {
		Convey("A late report of the "+name+" start of an agent, that its engine is unreachable, changes nothing", t, func() {
			s := newSimulation(4)
			s.advance(8 * second)
			before := s.servingHeads()
			report := s.firstHead().obs
			report.ID, report.State, report.Sequence = "", dragonflyobservation.Unknown, 2
			for _, report.Reporter = range []uint64{6, 7} {
				s.observe(report)
			}
			s.observe(dragonflyobservation.Observation{
				Address: report.Address, State: dragonflyobservation.Unreachable, Reporter: reporter, Sequence: 1,
			})
			s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Tick})
			So(s.servingHeads(), ShouldResemble, before)
		})
	}
}

// TestStarvedAgents guards against a sound head that counts as crashed because the agent beside
// it lacks processor time, so that its members join another group while it is at work.
func TestStarvedAgents(t *testing.T) {
	Convey("Given two groups with a spare each", t, func() {
		s := newSimulation(4)
		s.advance(8 * second)
		head := s.firstHead()
		group := head.obs.Group

		Convey("a head whose heartbeats arrive serves on", func() {
			head.starved = true
			s.advance(10 * second)
			So(head.obs.Group, ShouldResemble, group)
			assertNoneTwice(s)
			_, ok := s.row(head.obs.ID)
			So(ok, ShouldBeTrue)
			head.starved = false
			s.advance(second)
			assertServing(s, 2)
		})
		Convey("a head that answers entries serves on though its heartbeats do not arrive", func() {
			head.starved, head.beatsLost = true, true
			for range 40 {
				s.advance(second / 5)
				s.contact("e1", head.obs.ID)
			}
			So(head.obs.Group, ShouldResemble, group)
			assertNoneTwice(s)
		})
		Convey("a head without a sign of life is replaced within two seconds", func() {
			head.unreachable, head.dark = true, true
			s.advance(dragonflyfleet.DownAfter - second/5)
			So(s.otherMember(head).obs.Group.Is(group.Name, group.Epoch), ShouldBeTrue)
			s.advance(second)
			So(s.servingHeads(), ShouldHaveLength, 2)
			So(s.servingHeads(), ShouldNotContain, head.obs.ID)
			assertNoneTwice(s)
		})
	})
}
