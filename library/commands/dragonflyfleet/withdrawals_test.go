package dragonflyfleet_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyfleet"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	. "github.com/smartystreets/goconvey/convey"
)

// loseMemberAndLeader crashes a member of the first group in the moment in which another
// instance begins to lead, and advances the simulation by d.
func loseMemberAndLeader(s *simulation, d dragonflyduration.Duration) {
	s.otherMember(s.firstHead()).unreachable = true
	s.lead(2)
	s.advance(d)
}

// TestFreeEnginesOfNewLeader guards against spares that a new leader does not use for seconds,
// because they might have left the group of a head at work.
func TestFreeEnginesOfNewLeader(t *testing.T) {
	// joinTime is the time in which a new leader has all reports, plans and has a group formed.
	const joinTime = dragonflyfleet.ReportWindow + 3*second
	Convey("Given two groups with two spares each, which have been in groups before", t, func() {
		s := newSimulation(5)
		s.advance(8 * second)
		for _, e := range s.engines {
			if !e.obs.Group.MayServe() && s.otherMember(e) == nil {
				e.obs.Group = dragonflyenginegroup.Group{}
			}
		}

		Convey("a group is replaced if a new leader knows that no engine was ordered to leave a head at work", func() {
			loseMemberAndLeader(s, joinTime)
			assertServing(s, 2)
		})
		Convey("its spares are held until it knows that", func() {
			s.logDown = true
			loseMemberAndLeader(s, joinTime)
			So(s.servingHeads(), ShouldHaveLength, 1)
			s.logDown = false
			s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.WithdrawalsReceived, Term: 2})
			s.advance(3 * second)
			assertServing(s, 2)
		})
	})
}

// TestUnrecordedWithdrawals guards against engines that are ordered to leave a head at work before a
// later leader can know it.
func TestUnrecordedWithdrawals(t *testing.T) {
	Convey("The members of a lost head are ordered to leave only once that is recorded", t, func() {
		s := newSimulation(4)
		s.advance(8 * second)
		head := s.firstHead()
		member := s.otherMember(head)
		head.cut, s.logDown = true, true
		s.advance(30 * second)
		So(member.obs.Group.Is(head.obs.Group.Name, head.obs.Group.Epoch), ShouldBeTrue)
		So(s.fleet.DueWithdrawals(), ShouldHaveLength, 1)
		s.logDown = false
		s.advance(repairTime)
		assertNoneTwice(s)
		So(s.servingHeads(), ShouldHaveLength, 2)
		So(s.fleet.DueWithdrawals(), ShouldBeEmpty)
	})
	Convey("A head that is heard of again before that keeps its members", t, func() {
		s := newSimulation(4)
		s.advance(8 * second)
		head := s.firstHead()
		group := head.obs.Group
		head.cut, s.logDown = true, true
		s.advance(dragonflyfleet.HeadLostAfter + second)
		head.cut = false
		s.advance(second)
		So(s.fleet.DueWithdrawals(), ShouldBeEmpty)
		So(head.obs.Group, ShouldResemble, group)
		assertServing(s, 2)
	})
}
