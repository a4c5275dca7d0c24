package dragonflyfleet_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyfleet"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflypathroute"
	. "github.com/smartystreets/goconvey/convey"
)

// streamLimit is the time limit of the streams of newStreamingSimulation.
const streamLimit = 8 * second

// newStreamingSimulation returns a simulation whose routes bear streams of up to
// streamLimit, that has led for longer and that the entries e1 and e2 follow.
func newStreamingSimulation() *simulation {
	s := newSimulation(4)
	doc := testDocument().WithVersion(2).WithRoute(dragonflypathroute.Route{Name: "r", Host: "h", Prefix: "/", Kind: dragonflypathroute.Streaming, Timeout: streamLimit})
	s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.DocumentReceived, Document: doc})
	s.advance(dragonflyfleet.EntryLease + streamLimit + second)
	s.ask("e1")
	s.ask("e2")
	return s
}

// stopListening makes the first head leave and stop listening with streams in progress.
func (s *simulation) stopListening() (head, member *engine, group dragonflyenginegroup.Group) {
	head = s.firstHead()
	member, group = s.otherMember(head), head.obs.Group
	head.obs.State, head.obs.Running = dragonflyobservation.Draining, 3
	s.report(head)
	head.unreachable = true
	s.advance(100 * dragonflyduration.Millisecond)
	return head, member, group
}

// assertMembership checks that member is still in the group after d, which no longer serves, if
// kept is set, and that it is not otherwise.
func assertMembership(s *simulation, d dragonflyduration.Duration, member *engine, g dragonflyenginegroup.Group, kept bool) {
	s.advance(d)
	So(member.obs.Group.Is(g.Name, g.Epoch), ShouldEqual, kept)
}

// TestStreamsOfLeavingHeads guards against members of a head that leaves which join another
// group while an entry still has streams at that head.
func TestStreamsOfLeavingHeads(t *testing.T) {
	Convey("Members are free a second after the head has stopped listening if no entry has streams there", t, func() {
		s := newStreamingSimulation()
		_, member, g := s.stopListening()
		s.ask("e1")
		s.ask("e2")
		assertMembership(s, dragonflyfleet.StreamEndTime-second/5, member, g, true)
		assertMembership(s, second, member, g, false)
		assertGroupsIntact(s)
	})
	Convey("Members wait for an entry that stands still, until it has the table without the head", t, func() {
		s := newStreamingSimulation()
		_, member, g := s.stopListening()
		s.ask("e1")
		assertMembership(s, 4*second, member, g, true)
		s.ask("e2")
		assertMembership(s, second, member, g, false)
	})
	Convey("Members wait for an entry with the table that has not ended its streams", t, func() {
		s := newStreamingSimulation()
		head, member, g := s.stopListening()
		s.ask("e1", head.obs.ID)
		s.ask("e2")
		assertMembership(s, 4*second, member, g, true)
		s.ask("e1")
		assertMembership(s, second, member, g, false)
	})
	Convey("Members are free at the time limit of the streams if an entry does not return", t, func() {
		s := newStreamingSimulation()
		_, member, g := s.stopListening()
		s.ask("e1")
		assertMembership(s, streamLimit, member, g, true)
		assertMembership(s, 2*second, member, g, false)
	})
	Convey("A new leader, which does not know all entries, waits for the time limit of the streams", t, func() {
		s := newStreamingSimulation()
		s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Followed})
		s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Led, Term: 2})
		s.advance(3 * second)
		_, member, g := s.stopListening()
		s.ask("e1")
		assertMembership(s, streamLimit, member, g, true)
		assertMembership(s, 2*second, member, g, false)
	})
	Convey("A head whose heartbeats do not arrive may leave too", t, func() {
		s := newStreamingSimulation()
		head := s.firstHead()
		member, g := s.otherMember(head), head.obs.Group
		local := head.obs
		local.ID, local.State = "", dragonflyobservation.Unknown
		rest := s.engines
		s.engines = nil
		for _, e := range rest {
			if e != head {
				s.engines = append(s.engines, e)
			}
		}
		for range 50 {
			s.observe(local)
			s.advance(100 * dragonflyduration.Millisecond)
		}
		s.engines, head.unreachable = append(s.engines, head), true
		s.advance(100 * dragonflyduration.Millisecond)
		s.ask("e1")
		assertMembership(s, 4*second, member, g, true)
		s.ask("e2")
		assertMembership(s, second, member, g, false)
	})
}
