package dragonflyfleet_test

import (
	"testing"

	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	. "github.com/smartystreets/goconvey/convey"
)

// TestCompleteTable guards against an entry that keeps endpoints of which a new leader never
// hears: it drops them with a complete table only.
func TestCompleteTable(t *testing.T) {
	Convey("A new leader's table is sent again once it is complete, though nothing has changed", t, func() {
		s := newSimulation(4)
		s.advance(4 * second)
		s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Followed})
		s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Led, Term: 2})
		s.advance(3 * second)
		So(s.fleet.AllReported(s.now), ShouldBeFalse)
		n := s.fleet.WithTable(dragonflyfollowresponse.Response{}, 1, 0)
		changes := s.fleet.ChangeCount()
		s.advance(3 * second)
		So(s.fleet.AllReported(s.now), ShouldBeTrue)
		So(s.fleet.WithTable(dragonflyfollowresponse.Response{}, n.Term, n.Revision).HasTable, ShouldBeTrue)
		So(s.fleet.ChangeCount(), ShouldBeGreaterThan, changes)
	})
}

