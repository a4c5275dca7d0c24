package dragonflyconsensus_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	. "github.com/smartystreets/goconvey/convey"
)

// moveZone proposes to take the zone out or to return it, after the entry seen, and syncs
// the log. It returns the index of the last entry after that.
func (s *simulation) moveZone(zone string, out bool, seen uint64) (last uint64) {
	s.request++
	ch := dragonflychange.Change{ID: fmt.Sprint("z", s.request), Kind: dragonflychange.ReturnZone, ZoneName: zone, Seen: seen}
	if out {
		ch.Kind = dragonflychange.TakeOutZone
	}
	s.step("n0", dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Propose, Request: s.request, Change: ch})
	s.sync("n0", 9)
	return s.nodes["n0"].consensus.LastIndex()
}

// assertOutdated checks that the latest proposal was refused as outdated if refused is set,
// and that it was appended otherwise.
func assertOutdated(s *simulation, refused bool) {
	id := fmt.Sprint("z", s.request)
	applied := s.nodes["n0"].applied
	So(s.outdated > 0, ShouldEqual, refused)
	So(len(applied) > 0 && applied[len(applied)-1] == id, ShouldNotEqual, refused)
	s.outdated = 0
}

// TestOutdatedZoneChanges guards against a change of a zone that was held up and is carried
// out after a later one that was acknowledged.
func TestOutdatedZoneChanges(t *testing.T) {
	Convey("Given a leader whose log takes a zone out", t, func() {
		s := newSimulation(1)
		s.tick("n0", 1, 1)
		s.sync("n0", 9)
		before := s.nodes["n0"].consensus.LastIndex()
		after := s.moveZone("zona-a", true, before)
		assertOutdated(s, false)

		Convey("the return of the zone is refused if its proposer has not seen that", func() {
			s.moveZone("zona-a", false, before)
			assertOutdated(s, true)
			s.moveZone("zona-a", false, after)
			assertOutdated(s, false)
		})
		Convey("a repeat by a proposer that has not seen it is refused until it has", func() {
			s.moveZone("zona-a", true, before)
			assertOutdated(s, true)
			s.moveZone("zona-a", true, after)
			assertOutdated(s, false)
		})
		Convey("other zones and other changes do not count", func() {
			s.propose("n0")
			s.sync("n0", 9)
			s.moveZone("zona-b", true, before)
			assertOutdated(s, false)
			s.moveZone("zona-a", false, after)
			assertOutdated(s, false)
		})
		Convey("a proposer that lacks entries of the snapshot is refused", func() {
			s.compact("n0")
			s.sync("n0", 9)
			s.moveZone("zona-c", true, before)
			assertOutdated(s, true)
		})
		Convey("a change that names no entry is appended, as instances of earlier versions send it", func() {
			s.moveZone("zona-a", false, 0)
			assertOutdated(s, false)
		})
	})
}
