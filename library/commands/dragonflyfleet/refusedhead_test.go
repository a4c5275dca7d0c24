package dragonflyfleet_test

import (
	"testing"

	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	. "github.com/smartystreets/goconvey/convey"
)

// TestRefusedHeadOfNewLeader guards against engines that are reused too early, or stay unused,
// when a new leader knows only by an agent that the head of their group refuses connections.
func TestRefusedHeadOfNewLeader(t *testing.T) {
	// refuse makes the first head refuse connections and changes the leader.
	refuse := func(s *simulation) (head, member *engine, g dragonflyenginegroup.Group) {
		head = s.firstHead()
		member, g = s.otherMember(head), head.obs.Group
		head.unreachable = true
		s.lead(2)
		return head, member, g
	}
	Convey("Members join no other group before the streams of a head that may leave have ended", t, func() {
		s := newStreamingSimulation()
		_, member, g := refuse(s)
		for range int(streamLimit / (second / 10)) {
			s.ask("e1")
			s.advance(second / 10)
			So(member.obs.Group.State == dragonflyenginegroup.None || member.obs.Group.Is(g.Name, g.Epoch), ShouldBeTrue)
		}
		s.advance(2 * second)
		assertServing(s, 2)
	})
	Convey("Engines serve again within repairTime if the agent names no group, since it has started again", t, func() {
		s := newSimulation(5)
		s.advance(8 * second)
		head, _, _ := refuse(s)
		head.polled = dragonflyenginegroup.Group{}
		s.advance(repairTime)
		assertServing(s, 2)
	})
	Convey("A late report that the head of another epoch refused connections ends no group", t, func() {
		s := newSimulation(5)
		s.advance(8 * second)
		head := s.firstHead()
		members := s.membersOf(head.obs.Group)
		head.cut = true
		s.lead(2)
		late := agentReport(head)
		late.Address, late.Refused, late.State = "other", true, dragonflyobservation.Unreachable
		late.Group.Epoch--
		s.observe(late)
		s.advance(6 * second)
		for _, e := range members[1:] {
			So(e.obs.Group.Is(head.obs.Group.Name, head.obs.Group.Epoch), ShouldBeTrue)
		}
	})
}
