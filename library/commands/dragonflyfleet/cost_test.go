package dragonflyfleet_test

import (
	"testing"

	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	. "github.com/smartystreets/goconvey/convey"
)

// agentReport returns the report of the agent beside e.
func agentReport(e *engine) dragonflyobservation.Observation {
	o := e.obs
	o.ID, o.State = "", dragonflyobservation.Unknown
	return o
}

// reportAllocations returns the allocations that one repeated report of an agent
// costs a fleet of n engines.
func reportAllocations(n int) float64 {
	s := newLargeSimulation(n)
	i := 0
	return testing.AllocsPerRun(200, func() {
		i++
		s.observe(agentReport(s.engines[i%n]))
	})
}

// changeAllocations returns the allocations that the report of a changed status of one engine
// costs a fleet of n engines.
func changeAllocations(n int) float64 {
	s := newLargeSimulation(n)
	i := 0
	return testing.AllocsPerRun(200, func() {
		i++
		e := s.engines[i%n]
		e.obs.Busy = !e.obs.Busy
		s.observe(agentReport(e))
	})
}

// assertOrdersConcern checks that the latest event may have changed the orders to
// the engines in want and to no others.
func assertOrdersConcern(s *simulation, want func(e *engine) bool) {
	noted := map[string]bool{}
	for _, address := range s.fleet.OrderChanges() {
		noted[address] = true
	}
	for _, e := range s.engines {
		So(noted[e.obs.Address], ShouldEqual, want(e))
	}
}

// TestCost guards against work on the leader that grows with the square of the number
// of engines, which kept it busy all day at some hundred engines.
func TestCost(t *testing.T) {
	Convey("A report that repeats what is known costs 200 engines no more than a few allocations above 20", t, func() {
		// The persistent map of the upstreams has one more level at most.
		So(reportAllocations(200), ShouldBeLessThan, reportAllocations(20)+10)
	})
	Convey("A report of a changed status costs 400 engines no more than a few allocations above 40", t, func() {
		So(changeAllocations(400), ShouldBeLessThan, changeAllocations(40)+10)
	})
	Convey("A report that repeats what is known wakes no agent and no entry", t, func() {
		s := newLargeSimulation(33)
		before := s.fleet.ChangeCount()
		s.observe(agentReport(s.engines[3]))
		So(s.fleet.OrderChanges(), ShouldBeEmpty)
		So(s.fleet.ChangeCount(), ShouldEqual, before)
	})
	Convey("The loss of a member wakes the agents of its group, which leave it", t, func() {
		s := newLargeSimulation(33)
		head := s.firstHead()
		lost := s.otherMember(head)
		group := head.obs.Group
		s.observe(dragonflyobservation.Observation{Address: lost.obs.Address, State: dragonflyobservation.Unreachable})
		assertOrdersConcern(s, func(e *engine) bool {
			return e.obs.Group.Is(group.Name, group.Epoch)
		})
		head.obs.Group, head.obs.Model = dragonflyenginegroup.Group{}, ""
		s.observe(agentReport(head))
		assertOrdersConcern(s, func(e *engine) bool {
			return e == head || e.obs.Group.Is(group.Name, group.Epoch) || s.fleet.Order(e.obs.Address).Kind != 0
		})
	})
}

// TestRowsOfMembers guards against entries that learn late that a member of a group, on which the
// requests at its head depend, is no longer silent.
func TestRowsOfMembers(t *testing.T) {
	Convey("The row of the head changes with the report of the member", t, func() {
		s := newSimulation(4)
		s.advance(8 * second)
		head := s.firstHead()
		member := s.otherMember(head)
		for _, silent := range []bool{true, false} {
			o := agentReport(member)
			if silent {
				o = dragonflyobservation.Observation{Address: member.obs.Address, State: dragonflyobservation.Silent}
			}
			s.observe(o)
			if silent {
				s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Tick})
			}
			row, ok := s.row(head.obs.ID)
			So(ok, ShouldBeTrue)
			So(row.Silent, ShouldEqual, silent)
		}
	})
}
