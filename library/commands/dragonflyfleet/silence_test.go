package dragonflyfleet_test

import (
	"slices"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyfleet"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflydocument"
	"dragonflyrelay.example/library/values/dragonflydocumentservice"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
	. "github.com/smartystreets/goconvey/convey"
)

// row returns the routing table row of the upstream id.
func (s *simulation) row(id string) (e dragonflyendpoint.Endpoint, ok bool) {
	rows := s.rows()
	i := slices.IndexFunc(rows, func(e dragonflyendpoint.Endpoint) bool { return e.ID == id })
	if i < 0 {
		return e, false
	}
	return rows[i], true
}

// assertKept advances the simulation by d and checks that the row of the head stays in the
// routing table all the time and that the group is not ended.
func assertKept(s *simulation, head *engine, d dragonflyduration.Duration) {
	group := head.obs.Group
	for range int(d / (second / 10)) {
		s.advance(second / 10)
		_, ok := s.row(head.obs.ID)
		So(ok, ShouldBeTrue)
		So(s.fleet.Order(head.obs.Address).Kind, ShouldNotEqual, dragonflyserverorder.Leave)
	}
	So(head.obs.Group, ShouldResemble, group)
}

// TestSilentUpstreams guards against streams that entries end because a sound upstream was
// silent for a second or so, or gets no new requests.
func TestSilentUpstreams(t *testing.T) {
	for name, rank := range map[string]int{"head": 0, "member": 1} {
		Convey("A group whose "+name+" is silent for 1.5 s serves on", t, func() {
			s := newSimulation(4)
			s.advance(4 * second)
			head := s.firstHead()
			silent := head
			if rank > 0 {
				silent = s.otherMember(head)
			}
			before := s.servingHeads()
			silent.paused = true
			assertKept(s, head, 3*second/2)
			silent.paused = false
			assertKept(s, head, second)
			So(s.servingHeads(), ShouldResemble, before)
			So(head.obs.Group.State, ShouldEqual, dragonflyenginegroup.Open)
			assertGroupsIntact(s)
		})
	}
	Convey("A head that stays silent gets no requests, and its streams are not ended", t, func() {
		s := newSimulation(4)
		s.advance(4 * second)
		head := s.firstHead()
		head.paused = true
		s.advance(dragonflyfleet.StallTimeout + second)
		e, ok := s.row(head.obs.ID)
		So(ok, ShouldBeTrue)
		So(e.Leaving, ShouldBeTrue)
		So(e.Silent, ShouldBeTrue)
		head.paused = false
		s.report(head)
		So(s.fleet.Order(head.obs.Address).Kind, ShouldEqual, dragonflyserverorder.Leave)
		_, ok = s.row(head.obs.ID)
		So(ok, ShouldBeFalse)
		s.advance(second)
		assertGroupsIntact(s)
	})
	Convey("A member that stays silent is replaced", t, func() {
		s := newSimulation(4)
		s.advance(4 * second)
		silent := s.otherMember(s.firstHead())
		silent.paused = true
		s.advance(6 * second)
		So(s.servingHeads(), ShouldHaveLength, 2)
		So(silent.obs.Group.State, ShouldNotEqual, dragonflyenginegroup.Open)
	})
	Convey("Endpoints of a service that a document leaves out get no requests and stay in the table", t, func() {
		s := newSimulation(4)
		s.observe(dragonflyobservation.Observation{
			ID: "p1", Boot: 2000, Sequence: 5, Service: "plain", Address: "p-addr", Zone: "a", State: dragonflyobservation.Ready,
		})
		s.advance(4 * second)
		before := s.rows()
		other := dragonflydocument.Document{}.WithVersion(2).WithService(dragonflydocumentservice.Service{Name: "other"})
		s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.DocumentReceived, Document: other})
		So(s.rows(), ShouldHaveLength, len(before))
		// No route leads to p1, and entries would keep a mark of leaving until a table is
		// complete.
		So(s.servingHeads(), ShouldResemble, []string{"p1"})
		s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.DocumentReceived, Document: testDocument()})
		So(s.rows(), ShouldResemble, before)
	})
	Convey("A plain upstream without heartbeats stays in the table until it is removed", t, func() {
		s := newSimulation(0)
		s.observe(dragonflyobservation.Observation{
			ID: "p1", Boot: 2000, Sequence: 5, Service: "plain", Address: "p-addr", Zone: "a", State: dragonflyobservation.Ready,
		})
		s.advance(dragonflyfleet.SilentAfter + second)
		e, ok := s.row("p1")
		So(ok, ShouldBeTrue)
		So(e.Leaving, ShouldBeTrue)
		s.advance(dragonflyfleet.RemoveAfter)
		So(s.rows(), ShouldBeEmpty)
	})
}
