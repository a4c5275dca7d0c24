package dragonflyfleet_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyfleet"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
	. "github.com/smartystreets/goconvey/convey"
)

// newLateJoins returns a simulation whose engines of one domain have just joined a group by
// late orders of an earlier leader, the head at last, each by the given time after the one before.
// The present leader saw them in no group before, and has ordered them to join another one.
// Engines other than the head carry orders out seconds later.
func newLateJoins(oldAgents bool, interval dragonflyduration.Duration) (s *simulation, members []*engine) {
	s = newSimulation(5)
	s.advance(second / 10) // No group has been formed yet.
	for _, e := range s.domain("b") {
		e.slowOrders, e.oldAgent = true, oldAgents
	}
	for len(members) < 3 {
		s.advance(second / 10)
		members = nil
		for _, e := range s.domain("b") {
			if len(e.late) > 0 && len(e.late[0].order.Members) == 3 {
				members = append(members, e)
			}
		}
	}
	// All members join while the leader still waits for reports, and after its first plan.
	joinAt := s.now.Add(dragonflyfleet.ReportWindow - second)
	for rank, e := range members {
		e.late[0].at = joinAt.Add(-dragonflyduration.Duration(rank) * interval)
	}
	s.lead(2)
	for s.now < joinAt {
		s.advance(second / 10)
	}
	for _, e := range members {
		So(e.obs.Group.Is(members[0].obs.Group.Name, members[0].obs.Group.Epoch), ShouldBeTrue)
	}
	members[0].late, members[0].slowOrders = nil, false
	return s, members
}

// assertLateJoins lets the orders be carried out, and checks that no engine has joined a group
// while the head of another one that it belonged to was at work, and that both domains serve.
func assertLateJoins(s *simulation) {
	s.advance(15 * second)
	assertNoneTwice(s)
	for _, e := range s.engines {
		e.slowOrders = false
	}
	s.advance(15 * second)
	assertServing(s, 2)
}

// TestLateJoins guards against a group of an earlier leader that is opened though its members may
// yet carry out an order to join another group.
func TestLateJoins(t *testing.T) {
	Convey("A leader that has ordered the members to join another group does not open it", t, func() {
		s, members := newLateJoins(true, 0)
		for _, e := range members[1:] {
			So(e.late, ShouldHaveLength, 1)
			So(e.late[0].order.Kind, ShouldEqual, dragonflyserverorder.Join)
		}
		assertLateJoins(s)
	})
}

// TestLateJoinsOfEarlierLeaders guards against the same if the leader has changed since: it does
// not know which orders the one before has given.
func TestLateJoinsOfEarlierLeaders(t *testing.T) {
	Convey("Agents give no order that control has decided before the engine joined", t, func() {
		s, _ := newLateJoins(false, 0)
		s.lead(3)
		assertLateJoins(s)
	})
	Convey("Engines that have joined late are ordered to leave, not to join", t, func() {
		s, _ := newLateJoins(false, second/2)
		s.lead(3)
		assertLateJoins(s)
	})
}
