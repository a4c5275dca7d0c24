package dragonflyfleet_test

import (
	"testing"

	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflyleavingupstream"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
	. "github.com/smartystreets/goconvey/convey"
)

// closeForLeaving makes the leader order the head to close, because an answer to an entry says
// that a member of its group leaves, and returns that order.
func closeForLeaving(s *simulation, head *engine) dragonflyserverorder.Order {
	member := s.otherMember(head)
	s.step(dragonflyfleetevent.Event{
		Kind: dragonflyfleetevent.EntryConnected, Process: "e1",
		Leaving: []dragonflyleavingupstream.Upstream{{ID: member.obs.ID, Boot: member.obs.Boot}},
	})
	s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Tick})
	o := s.fleet.Order(head.obs.Address)
	So(o.Kind, ShouldEqual, dragonflyserverorder.Close)
	return o
}

// TestReopenedHead guards against members that a later leader reuses while a head that is recorded
// to have opened opens once more, by a late order: it has been closed in between.
func TestReopenedHead(t *testing.T) {
	Convey("A closed head that a new leader takes over, and that is cut off then, is not open when its members are reused", t, func() {
		s := newSimulation(5)
		s.advance(8 * second)
		head := s.firstHead()
		s.accept(head, closeForLeaving(s, head))
		s.lead(2)
		for range 30 {
			for _, e := range s.engines {
				s.report(e)
			}
			s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Tick})
			if o := s.fleet.Order(head.obs.Address); o.Kind == dragonflyserverorder.Open {
				head.late = []lateOrder{{at: s.now.Add(11 * second), expected: head.obs.Orders, order: o}}
				break
			}
			s.now = s.now.Add(second / 10)
		}
		head.cut = true
		s.lead(3)
		assertNoneTaken(s, 30*second)
	})
}
