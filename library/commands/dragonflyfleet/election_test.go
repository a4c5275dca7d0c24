package dragonflyfleet_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyfleet"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	. "github.com/smartystreets/goconvey/convey"
)

// TestLateOpenAfterElection guards against members that a new leader reuses while a head of which
// it has not heard opens late, by an order of an earlier leader.
func TestLateOpenAfterElection(t *testing.T) {
	// newUnopened returns a simulation with a head that has been ordered to open, carries that
	// out 11 s later and is cut off.
	newUnopened := func() (s *simulation, members []*engine) {
		s = newSimulation(5)
		for _, e := range s.engines {
			e.slowToOpen = true
		}
		s.advance(8 * second)
		for _, e := range s.domain("a") {
			if e.obs.Group.Rank == 0 && s.otherMember(e) != nil {
				members = s.membersOf(e.obs.Group)
			}
		}
		for _, e := range s.engines {
			e.slowToOpen = false
		}
		head := members[0]
		head.late = []lateOrder{{at: s.now.Add(11 * second), expected: head.obs.Orders, order: s.fleet.Order(head.obs.Address)}}
		head.cut = true
		return s, members
	}
	Convey("Members that leave by an order of the new leader wait for the head", t, func() {
		s, _ := newUnopened()
		s.lead(2)
		assertNoneTaken(s, 30*second)
	})
	Convey("Members that have left by an order of the earlier leader wait for the head", t, func() {
		s, members := newUnopened()
		for members[1].obs.Group.State != dragonflyenginegroup.None {
			s.advance(second / 10)
		}
		s.lead(2)
		assertNoneTaken(s, 30*second)
	})
}

// TestRefusedHeadAfterElection guards against engines that stay unused for 13 s because a new
// leader does not know that the head of their group has crashed: only its agent reports.
func TestRefusedHeadAfterElection(t *testing.T) {
	Convey("The members of a head that refuses connections when the leader changes serve again soon", t, func() {
		s := newSimulation(5)
		s.advance(8 * second)
		head := s.firstHead()
		head.unreachable = true
		s.lead(2)
		s.advance(dragonflyfleet.ReportWindow + 2*second)
		assertServing(s, 2)
	})
}

// TestLateHeartbeatBeforeLeaving guards against a head that counts as crashed while it finishes
// streams: it has left without a sign, and an old heartbeat arrived late, just before that.
func TestLateHeartbeatBeforeLeaving(t *testing.T) {
	Convey("A late heartbeat does not show that the head has not announced its leave", t, func() {
		s := newStreamingSimulation()
		head := s.firstHead()
		group, member := head.obs.Group, s.otherMember(head)
		head.beatsLost = true
		s.advance(6 * second)
		late := head.obs
		late.Sequence++ // Sent before the engine began to leave.
		s.observe(late)
		s.advance(second)
		head.obs.Running, head.unreachable = 3, true
		s.ask("e2")
		for range 20 {
			s.ask("e1", head.obs.ID)
			s.advance(second / 10)
			So(member.obs.Group.Is(group.Name, group.Epoch), ShouldBeTrue)
		}
	})
}
