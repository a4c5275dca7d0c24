package dragonflyfleet_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyfleet"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	. "github.com/smartystreets/goconvey/convey"
)

// TestLateReporters guards against a member that joins another group while its head opens late,
// because both report for the first time after the leader has heard of all others.
func TestLateReporters(t *testing.T) {
	Convey("A member of a group that is not yet adopted joins no other one", t, func() {
		s := newSimulation(5)
		for _, e := range s.engines {
			e.slowToOpen = true
		}
		s.advance(8 * second)
		var members []*engine
		for _, e := range s.domain("a") {
			if e.obs.Group.Rank == 0 && s.otherMember(e) != nil {
				members = s.membersOf(e.obs.Group)
			}
		}
		group := members[0].obs.Group
		for _, e := range s.engines {
			e.slowToOpen = false
		}
		head := members[0]
		late := lateOrder{at: s.now.Add(10 * second), expected: head.obs.Orders, order: s.fleet.Order(head.obs.Address)}
		setCut(true, members...)
		s.lead(2)
		s.advance(dragonflyfleet.ReportWindow + 4*second)
		head.late, head.slowOrders = []lateOrder{late}, true
		members[1].slowOrders = true
		setCut(false, members[:2]...)
		for range 150 {
			before := members[1].obs.Group
			s.advance(second / 10)
			if before.Is(group.Name, group.Epoch) && head.obs.Group.MayServe() {
				So(members[1].obs.Group.State == dragonflyenginegroup.None || members[1].obs.Group.Is(group.Name, group.Epoch), ShouldBeTrue)
			}
		}
		assertNoneTwice(s)
	})
}

// TestReturnedMembers guards against a head that counts as broken although the member whose loss
// was to break it has been reachable all the time.
func TestReturnedMembers(t *testing.T) {
	Convey("A member that its agent could not connect to for two seconds has not left", t, func() {
		s := newSimulation(5)
		s.advance(8 * second)
		head := s.firstHead()
		group, members := head.obs.Group, s.membersOf(head.obs.Group)
		head.cut = true
		for s.fleet.Order(members[1].obs.Address).Kind == 0 {
			s.advance(second / 10)
			members[1].slowOrders, members[2].slowOrders = true, true
		}
		members[1].starved, members[1].beatsLost = true, true
		s.advance(2 * second)
		members[1].starved, members[1].beatsLost = false, false
		for _, e := range members[1:] {
			e.late, e.slowOrders, e.agentGone = nil, false, true // The order to leave is never carried out.
		}
		members[1].agentGone = false
		s.report(members[1])
		members[1].agentGone = true
		s.advance(8 * second)
		for _, e := range members[1:] {
			So(e.obs.Group.Is(group.Name, group.Epoch), ShouldBeTrue)
			e.agentGone = false
		}
		assertNoneTaken(s, 3*second)
	})
}

// TestAgentBesidePausedHead guards against a head that stands still and counts as crashed, because
// an agent that has just started cannot connect to it: its queue of connections is full.
func TestAgentBesidePausedHead(t *testing.T) {
	Convey("A silent head that takes no more connections keeps its members", t, func() {
		s := newSimulation(4)
		s.advance(8 * second)
		head := s.firstHead()
		head.paused = true
		s.advance(dragonflyfleet.StallTimeout + second)
		head.agentGone = true // The reports below replace those of the agent that has ended.
		for range 30 {
			s.observe(dragonflyobservation.Observation{Address: head.obs.Address, State: dragonflyobservation.Unreachable})
			s.advance(second / 10)
		}
		assertNoneTwice(s)
	})
}

// TestSuspendedHostAfterElection guards against members of a lost head that a new leader reuses
// after a pause of the machine on which control and the engines run.
func TestSuspendedHostAfterElection(t *testing.T) {
	Convey("A pause of control and engines does not count as time for which engines are held", t, func() {
		s := newSimulation(4)
		s.advance(8 * second)
		head := s.firstHead()
		head.cut = true
		s.advance(dragonflyfleet.HeadLostAfter + second/2)
		So(s.otherMember(head), ShouldBeNil)
		s.lead(2)
		s.advance(second / 2)
		s.now = s.now.Add(10 * second)
		assertNoneTaken(s, 4*second)
	})
}

// TestContradictoryMembers guards against engines that stay unused for good because one of them
// reports another model than the other members of its group.
func TestContradictoryMembers(t *testing.T) {
	for name, rank := range map[string]int{"head": 0, "member": 1} {
		Convey("A group whose "+name+" reports another model is replaced under a new leader", t, func() {
			s := newSimulation(4)
			s.advance(8 * second)
			members := s.membersOf(s.firstHead().obs.Group)
			members[rank].obs.Model = "other"
			s.lead(2)
			s.advance(2 * repairTime)
			assertServing(s, 2)
		})
	}
}
