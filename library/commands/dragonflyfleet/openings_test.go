package dragonflyfleet_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyfleet"
	. "github.com/smartystreets/goconvey/convey"
)

// lateOrderTime is the longest time after which an engine carries out an order without an answer.
const lateOrderTime = 12 * second

// TestUnrecordedOpenings guards against a later leader that takes a head of which it has no report
// for one that has opened, though no leader has recorded that.
func TestUnrecordedOpenings(t *testing.T) {
	Convey("Given two groups whose openings are due to be recorded", t, func() {
		s := newSimulation(4)
		s.logDown = true
		s.advance(8 * second)
		assertServing(s, 2)
		head := s.firstHead()
		So(s.fleet.DueOpenings(), ShouldHaveLength, 2)
		So(s.fleet.DueOpenings(), ShouldContain, head.obs.Group.Name)

		Convey("they are due no more once they are recorded", func() {
			s.logDown = false
			s.advance(second)
			So(s.fleet.DueOpenings(), ShouldBeEmpty)
			So(s.opened, ShouldHaveLength, 2)
		})
		Convey("that of a group that has ended is due no more", func() {
			group := head.obs.Group.Name
			s.otherMember(head).unreachable = true
			s.advance(2 * second)
			So(s.fleet.DueOpenings(), ShouldNotContain, group)
		})
		Convey("a later leader records them", func() {
			s.logDown = false
			s.lead(2)
			s.advance(dragonflyfleet.ReportWindow)
			So(s.opened, ShouldHaveLength, 2)
		})
		Convey("the members of a head of which a later leader has no report wait for late orders", func() {
			head.cut, s.logDown = true, false
			s.lead(2)
			s.advance(repairTime)
			So(s.servingHeads(), ShouldHaveLength, 1)
			s.advance(lateOrderTime)
			assertNoneTwice(s)
			So(s.servingHeads(), ShouldHaveLength, 2)
		})
	})
}

// TestRecordedOpenings guards against engines that stay unused for the time of late orders because a
// record of the opening is lost when the leader changes.
func TestRecordedOpenings(t *testing.T) {
	Convey("The members of an open head that is lost when the leader changes serve again within repairTime", t, func() {
		s := newSimulation(4)
		s.advance(8 * second)
		s.firstHead().cut = true
		for term := range uint64(3) {
			s.lead(2 + term)
		}
		s.advance(repairTime)
		assertNoneTwice(s)
		So(s.servingHeads(), ShouldHaveLength, 2)
	})
	Convey("Members that have left an open head before the leader changes serve again within repairTime", t, func() {
		s := newSimulation(4)
		s.advance(8 * second)
		head := s.firstHead()
		head.cut = true
		s.advance(dragonflyfleet.HeadLostAfter + second)
		So(s.otherMember(head), ShouldBeNil)
		s.lead(2)
		s.advance(repairTime - dragonflyfleet.HeadLostAfter - second)
		assertNoneTwice(s)
		So(s.servingHeads(), ShouldHaveLength, 2)
	})
}
