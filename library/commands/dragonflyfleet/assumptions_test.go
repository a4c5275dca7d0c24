package dragonflyfleet_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyfleet"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflypathroute"
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

// TestForgottenEntries guards against members of a leaving head that are reused while an entry,
// which control has not heard of for long, may still have streams there.
func TestForgottenEntries(t *testing.T) {
	Convey("An entry that has not asked for half a minute is waited for as long as its streams may last", t, func() {
		const limit = 60 * second
		s := newSimulation(4)
		doc := testDocument().WithVersion(2).WithRoute(dragonflypathroute.Route{Name: "r", Host: "h", Prefix: "/", Kind: dragonflypathroute.Streaming, Timeout: limit})
		s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.DocumentReceived, Document: doc})
		s.advance(limit + second)
		s.ask("e1")
		s.ask("e2") // It gets a stream of a minute now, and is cut off from control.
		for range 31 {
			s.advance(second)
			s.ask("e1")
		}
		_, member, g := s.stopListening()
		s.ask("e1")
		assertMembership(s, 5*second, member, g, true)
	})
}

// TestEntriesOfEarlierLeaders guards against members of a leaving head that are reused while an
// entry, of which a new leader has not heard, may still have streams there.
func TestEntriesOfEarlierLeaders(t *testing.T) {
	Convey("An entry that lost the earlier leader is waited for until its keys and streams have ended", t, func() {
		s := newStreamingSimulation()
		s.lead(2)
		s.advance(streamLimit + second) // An entry that is cut off may just have started a stream.
		_, member, g := s.stopListening()
		s.ask("e1")
		assertMembership(s, 5*second, member, g, true)
	})
}
