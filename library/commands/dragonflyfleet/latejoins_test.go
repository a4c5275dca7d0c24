package dragonflyfleet_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyfleet"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
	. "github.com/smartystreets/goconvey/convey"
)

// newLateJoins returns a simulation whose engines of one domain have just joined a group by
// late orders of an earlier leader. The present leader saw them in no group before, has ordered
// them to join another one, and the members other than the head carry that out seconds later.
func newLateJoins() (s *simulation, members []*engine) {
	s = newSimulation(5)
	s.advance(second)
	for _, e := range s.domain("b") {
		e.slowOrders = true
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
	for _, e := range members {
		e.late[0].at = joinAt
	}
	s.lead(2)
	for s.now < joinAt {
		s.advance(second / 10)
	}
	for _, e := range members {
		So(e.obs.Group.Is(members[0].obs.Group.Name, members[0].obs.Group.Epoch), ShouldBeTrue)
		So(e.late, ShouldHaveLength, 1)
		So(e.late[0].order.Kind, ShouldEqual, dragonflyserverorder.Join)
		if e.obs.Group.Rank == 0 {
			e.late, e.slowOrders = nil, false
		}
	}
	return s, members
}

// TestLateJoins guards against a group of an earlier leader that is opened though its members may
// yet carry out an order to join another group.
func TestLateJoins(t *testing.T) {
	Convey("A leader that has ordered the members to join another group does not open it", t, func() {
		s, _ := newLateJoins()
		s.advance(15 * second)
		assertNoneTwice(s)
		for _, e := range s.engines {
			e.slowOrders = false
		}
		s.advance(15 * second)
		assertServing(s, 2)
	})
}
