package dragonflyfleet_test

import (
	"testing"

	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	"dragonflyrelay.example/library/values/dragonflyloss"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflypromptpart"
	. "github.com/smartystreets/goconvey/convey"
)

// connect passes on the report of an entry.
func (s *simulation) connect(ev dragonflyfleetevent.Event) {
	ev.Kind = dragonflyfleetevent.EntryConnected
	s.step(ev)
}

// loseHead lets entries report that they lost the head with requests that had no answer.
func (s *simulation) loseHead(head *engine, parts ...string) {
	var lost []dragonflypromptpart.Part
	for depth, id := range parts {
		lost = append(lost, dragonflypromptpart.Part{ID: id, Depth: depth})
	}
	s.connect(dragonflyfleetevent.Event{Process: "entry-1", EntryTerm: 1, Losses: []dragonflyloss.Loss{{ID: head.obs.ID, Boot: head.obs.Boot, Parts: lost}}})
}

// quarantined returns the quarantined parts as the response to an entry has them.
func (s *simulation) quarantined() (ids []string) {
	for _, p := range s.fleet.WithQuarantine(s.now, dragonflyfollowresponse.Response{}, "entry-1", 0, 0).Quarantine {
		ids = append(ids, p.ID)
	}
	return ids
}

// assertWoken checks that entries that wait for a response are woken within a tick.
func assertWoken(s *simulation, before uint64) {
	s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Tick})
	So(s.fleet.ChangeCount(), ShouldBeGreaterThan, before)
}

// TestLostRequests guards against losses that are taken for crashes, or crashes that are not.
func TestLostRequests(t *testing.T) {
	Convey("Heads that stop under a part quarantine it, heads whose connections break do not", t, func() {
		for _, stops := range []bool{true, false} {
			s := newSimulation(9)
			s.advance(4 * second)
			before := s.fleet.ChangeCount()
			for range 3 {
				head := s.firstHead()
				s.loseHead(head, "a1", "dead")
				head.unreachable = stops
				s.advance(2 * second)
				if !stops {
					head.obs.State = dragonflyobservation.Draining
				}
			}
			if stops {
				So(s.quarantined(), ShouldResemble, []string{"dead"})
				assertWoken(s, before)
				continue
			}
			So(s.quarantined(), ShouldBeEmpty)
		}
	})
	Convey("Heads that leave and no longer listen have not crashed, though they refuse connections", t, func() {
		for _, refused := range []bool{false, true} {
			s := newSimulation(9)
			s.advance(4 * second)
			for range 3 {
				head := s.firstHead()
				head.obs.State = dragonflyobservation.Draining
				s.advance(second / 10)
				head.unreachable = true
				s.connect(dragonflyfleetevent.Event{Process: "entry-1", EntryTerm: 1, Losses: []dragonflyloss.Loss{{
					ID: head.obs.ID, Boot: head.obs.Boot, Refused: refused, Parts: []dragonflypromptpart.Part{{ID: "sound"}},
				}}})
				s.advance(2 * second)
			}
			So(s.quarantined(), ShouldBeEmpty)
		}
	})
	Convey("A head that has started again under its name has stopped, one that has left has not", t, func() {
		for _, left := range []bool{false, true} {
			s := newSimulation(9)
			s.advance(5 * second)
			for range 3 {
				head := s.firstHead()
				s.loseHead(head, "a1", "dead")
				if left {
					head.obs.State = dragonflyobservation.Left
					s.observe(head.obs)
				}
				head.obs.Boot, head.obs.Sequence, head.obs.Model = head.obs.Boot+1, 0, ""
				head.obs.Group.State, head.obs.Group.Name, head.obs.Group.Epoch = 0, "", 0
				head.obs.State = dragonflyobservation.Ready
				s.advance(2 * second)
			}
			So(len(s.quarantined()) == 1, ShouldNotEqual, left)
		}
	})
}

// heads returns the heads of the routing table that are in the domain, all for "".
func (s *simulation) heads(domain string) (all []*engine) {
	for _, e := range s.engines {
		for _, row := range s.rows() {
			if row.ID == e.obs.ID && (domain == "" || e.obs.Domain == domain) {
				all = append(all, e)
			}
		}
	}
	return all
}

// TestHeadsLostTogether guards against a burst of deadly requests that is taken for a domain that
// stops, and the reverse.
func TestHeadsLostTogether(t *testing.T) {
	Convey("Five heads that stop at one moment under a part, beside engines that live on, quarantine it", t, func() {
		s := newSimulation(20)
		s.advance(6 * second)
		for _, head := range s.heads("")[:5] {
			s.loseHead(head, "a1", "dead")
			head.unreachable = true
		}
		s.advance(3 * second)
		So(s.quarantined(), ShouldResemble, []string{"dead"})
	})
	Convey("The heads of a domain that stops with all of its engines quarantine nothing", t, func() {
		s := newSimulation(20)
		s.advance(6 * second)
		heads := s.heads("a")
		So(len(heads), ShouldBeGreaterThanOrEqualTo, 5)
		for _, head := range heads {
			s.loseHead(head, "a1", "s1")
		}
		for _, e := range s.engines {
			e.unreachable = e.unreachable || e.obs.Domain == "a"
		}
		s.advance(7 * second)
		So(s.quarantined(), ShouldBeEmpty)
	})
}
