package dragonflyfleet_test

import (
	"testing"

	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflyleavingupstream"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	. "github.com/smartystreets/goconvey/convey"
)

// seeLeaving lets an entry report that the upstream id leaves.
func (s *simulation) seeLeaving(id string, boot int64) {
	s.connect(dragonflyfleetevent.Event{Process: "entry-1", Leaving: []dragonflyleavingupstream.Upstream{{ID: id, Boot: boot}}})
}

// TestLeavingUpstreams guards against a group whose head leaves and that is not replaced
// before the heartbeat of the head says so.
func TestLeavingUpstreams(t *testing.T) {
	Convey("A group whose head leaves by its answers closes at once, and another one forms", t, func() {
		s := newSimulation(6)
		s.advance(4 * second)
		head, before := s.firstHead(), s.fleet.ChangeCount()
		serving := len(s.servingHeads())
		s.seeLeaving(head.obs.ID, head.obs.Boot)
		So(s.servingHeads(), ShouldNotContain, head.obs.ID)
		assertWoken(s, before)
		s.advance(2 * second)
		So(len(s.servingHeads()), ShouldBeGreaterThanOrEqualTo, serving)
		So(s.servingHeads(), ShouldNotContain, head.obs.ID)
		assertGroupsIntact(s)

		Convey("its heartbeats that still say ready change nothing, however long it stays", func() {
			s.advance(60 * second)
			So(head.obs.State, ShouldEqual, dragonflyobservation.Ready)
			So(s.servingHeads(), ShouldNotContain, head.obs.ID)
		})
	})
	Convey("A plain upstream that leaves by its answers is marked in the table of all entries", t, func() {
		s := newSimulation(0)
		p := &engine{obs: dragonflyobservation.Observation{ID: "p", Boot: 7, Service: "plain", Address: "addr-p", State: dragonflyobservation.Ready, Slots: 4}}
		s.engines = append(s.engines, p)
		s.advance(second)
		assertLeavingRow(s, "p", false)
		s.seeLeaving("p", 6)
		assertLeavingRow(s, "p", false)
		s.seeLeaving("p", 7)
		assertLeavingRow(s, "p", true)

		Convey("a later start under its id is not", func() {
			p.obs.Boot, p.obs.Sequence = 8, 0
			s.advance(second)
			assertLeavingRow(s, "p", false)
		})
	})
	Convey("A new leader that learns of it before the upstream reports to it keeps it", t, func() {
		s := newSimulation(4)
		s.seeLeaving("a0", 1000)
		s.advance(4 * second)
		So(s.servingHeads(), ShouldNotContain, "a0")
		for _, e := range s.engines {
			if e.obs.ID == "a0" {
				So(e.obs.Group.Name, ShouldBeEmpty)
			}
		}
	})
	Convey("A report that repeats what is known wakes no entry", t, func() {
		s := newSimulation(4)
		s.advance(5 * second)
		s.seeLeaving("a0", 1000)
		s.advance(5 * second)
		before := s.fleet.ChangeCount()
		s.seeLeaving("a0", 1000)
		s.advance(second)
		So(s.fleet.ChangeCount(), ShouldEqual, before)
	})
}

// assertLeavingRow checks whether the row of the upstream id is marked as leaving.
func assertLeavingRow(s *simulation, id string, leaving bool) {
	found := 0
	for _, r := range s.rows() {
		if r.ID == id {
			found++
			So(r.Leaving, ShouldEqual, leaving)
		}
	}
	So(found, ShouldEqual, 1)
}
