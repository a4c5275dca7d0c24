package dragonflyfleet_test

import (
	"testing"

	"dragonflyrelay.example/library/values/dragonflyendpointlimit"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflyupstreamcondition"
	"dragonflyrelay.example/library/values/dragonflyupstreampause"
	. "github.com/smartystreets/goconvey/convey"
)

// assertCondition checks that operators see one condition of the upstream id, with the
// given kind, age and reason.
func assertCondition(s *simulation, id string, want dragonflyupstreamcondition.Condition) {
	var found []dragonflyupstreamcondition.Condition
	for _, c := range s.fleet.Conditions(s.now) {
		if c.Upstream == id {
			found = append(found, c)
		}
	}
	want.Upstream, want.Service = id, "llm"
	So(found, ShouldResemble, []dragonflyupstreamcondition.Condition{want})
}

// TestConditions guards against operators who cannot see why an upstream gets no requests.
func TestConditions(t *testing.T) {
	newFleet := func() *simulation {
		s := newSimulation(4)
		s.advance(5 * second)
		So(s.fleet.Conditions(s.now), ShouldBeEmpty)
		return s
	}
	Convey("An upstream that leaves by its answers", t, func() {
		s := newFleet()
		s.seeLeaving("a0", 1000)
		s.advance(2 * second)
		assertCondition(s, "a0", dragonflyupstreamcondition.Condition{Kind: dragonflyupstreamcondition.Leaving, Since: 2 * second, Reason: "answers to entries"})
	})
	Convey("An upstream that leaves by its heartbeat", t, func() {
		s := newFleet()
		s.engines[0].obs.State = dragonflyobservation.Draining
		s.report(s.engines[0])
		s.advance(2 * second)
		assertCondition(s, "a0", dragonflyupstreamcondition.Condition{Kind: dragonflyupstreamcondition.Leaving, Since: 2 * second, Reason: "heartbeat"})
	})
	Convey("An upstream that is limited, since its first limit", t, func() {
		s := newFleet()
		for _, rate := range []float64{4, 6.5} {
			s.connect(dragonflyfleetevent.Event{Process: "entry-1", Limits: []dragonflyendpointlimit.Limit{{ID: "a0", Boot: 1000, Limited: true, Rate: rate}}})
			s.advance(second)
		}
		assertCondition(s, "a0", dragonflyupstreamcondition.Condition{Kind: dragonflyupstreamcondition.Limited, Since: 2 * second, Reason: "takes 6.5 requests a second"})
	})
	Convey("An upstream that pauses, until the pause ends, also if the entry connects without a report", t, func() {
		s := newFleet()
		s.connect(dragonflyfleetevent.Event{Process: "entry-1", Pauses: []dragonflyupstreampause.Pause{{ID: "a0", Boot: 1000, Age: second, Left: 3 * second}}})
		s.advance(2 * second)
		s.connect(dragonflyfleetevent.Event{Process: "entry-1"})
		assertCondition(s, "a0", dragonflyupstreamcondition.Condition{Kind: dragonflyupstreamcondition.Pausing, Since: 3 * second, Reason: "answer to entry-1, ends in 1 s"})
		s.advance(second)
		So(s.fleet.Conditions(s.now), ShouldBeEmpty)
	})
	Convey("A part of prompts in quarantine", t, func() {
		s := newSimulation(9)
		s.advance(4 * second)
		for range 3 {
			head := s.firstHead()
			s.loseHead(head, "a1", "dead")
			head.unreachable = true
			s.advance(2 * second)
		}
		kinds := map[string]string{}
		for _, c := range s.fleet.Conditions(s.now) {
			kinds[c.Upstream] = c.Kind.String()
		}
		So(kinds["dead"], ShouldEqual, "quarantined-part")
	})
}
