package dragonflyfleet_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyfleet"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	"dragonflyrelay.example/library/values/dragonflyobservation"
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

// TestLateHeartbeatsOfLeft guards against an upstream that has left and gets requests again by
// a heartbeat that was held up, because many others have left.
func TestLateHeartbeatsOfLeft(t *testing.T) {
	Convey("The upstream that has left last is kept, whatever its id", t, func() {
		s := newSimulation(0)
		o := dragonflyobservation.Observation{Boot: 1, Service: "plain", State: dragonflyobservation.Ready, Zone: "a"}
		for i := range 1100 {
			o.ID, o.Address, o.Sequence = fmt.Sprintf("z%04d", i), fmt.Sprint("addr-", i), 1
			s.observe(o)
			left := o
			left.State = dragonflyobservation.Left
			s.observe(left)
		}
		o.ID, o.Address = "a", "addr-a"
		s.observe(o)
		left := o
		left.State = dragonflyobservation.Left
		s.observe(left)
		// Another one leaves before the held-up heartbeat arrives.
		other := o
		other.ID, other.Address, other.State = "zz", "addr-zz", dragonflyobservation.Left
		s.observe(other)
		o.Sequence = 2
		s.observe(o)
		s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Tick})
		So(s.servingHeads(), ShouldBeEmpty)
	})
}

// TestLossesOfSilentUpstreams guards against sound requests that are quarantined because
// control has not heard of the upstreams at which their connections broke.
func TestLossesOfSilentUpstreams(t *testing.T) {
	Convey("An upstream that control has not heard of has not crashed for that", t, func() {
		s := newSimulation(9)
		s.advance(4 * second)
		// Three heads are cut off from control and are removed for it.
		var heads []*engine
		for _, id := range s.servingHeads()[:3] {
			for i, e := range s.engines {
				if e.obs.ID == id {
					heads = append(heads, e)
					s.engines = append(s.engines[:i:i], s.engines[i+1:]...)
					break
				}
			}
		}
		s.advance(dragonflyfleet.RemoveAfter + 2*second)
		for _, head := range heads {
			s.loseHead(head, "a1", "sound")
			s.advance(second / 2)
		}
		s.advance(2 * second)
		So(s.quarantined(), ShouldBeEmpty)
	})
}
