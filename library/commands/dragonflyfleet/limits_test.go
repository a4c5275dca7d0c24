package dragonflyfleet_test

import (
	"testing"

	"dragonflyrelay.example/library/values/dragonflyendpointlimit"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	. "github.com/smartystreets/goconvey/convey"
)

func (s *simulation) limits() []dragonflyendpointlimit.Limit {
	return s.fleet.WithLimits(s.now, dragonflyfollowresponse.Response{}, 0, 0).Limits
}

// TestUpstreamLimits guards against entries that do not learn what another one has seen.
func TestUpstreamLimits(t *testing.T) {
	limit := dragonflyendpointlimit.Limit{ID: "a0", Boot: 1000, Limited: true, Rate: 6.8, Age: second}
	Convey("The limit of the latest answer reaches all entries, and its end does", t, func() {
		s := newSimulation(4)
		s.advance(5 * second)
		before := s.fleet.ChangeCount()
		s.connect(dragonflyfleetevent.Event{Process: "entry-1", Limits: []dragonflyendpointlimit.Limit{limit}})
		So(s.limits(), ShouldResemble, []dragonflyendpointlimit.Limit{limit})
		assertWoken(s, before)

		ended := dragonflyendpointlimit.Limit{ID: "a0", Boot: 1000}
		s.connect(dragonflyfleetevent.Event{Process: "entry-2", Limits: []dragonflyendpointlimit.Limit{ended}})
		s.connect(dragonflyfleetevent.Event{Process: "entry-1", Limits: []dragonflyendpointlimit.Limit{limit}})
		So(s.limits(), ShouldResemble, []dragonflyendpointlimit.Limit{ended})
	})
	Convey("A report that repeats what is known wakes no entry", t, func() {
		s := newSimulation(4)
		s.advance(5 * second)
		s.connect(dragonflyfleetevent.Event{Process: "entry-1", Limits: []dragonflyendpointlimit.Limit{limit}})
		s.advance(second)
		before, repeated := s.fleet.ChangeCount(), limit
		repeated.Age = 0
		s.connect(dragonflyfleetevent.Event{Process: "entry-2", Limits: []dragonflyendpointlimit.Limit{repeated}})
		s.advance(second)
		So(s.fleet.ChangeCount(), ShouldEqual, before)
	})
	Convey("An upstream that names another limit in each answer wakes entries once in a tick", t, func() {
		s := newSimulation(4)
		s.advance(5 * second)
		before := s.fleet.ChangeCount()
		for i := range 100 {
			varied := limit
			varied.Age, varied.Rate = 0, float64(10+i)
			s.connect(dragonflyfleetevent.Event{Process: "entry-1", Limits: []dragonflyendpointlimit.Limit{varied}})
		}
		s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Tick})
		So(s.fleet.ChangeCount(), ShouldEqual, before+1)
	})
	Convey("Limits of upstreams that are gone are dropped", t, func() {
		s := newSimulation(4)
		s.advance(5 * second)
		gone := limit
		gone.ID = "z9"
		s.connect(dragonflyfleetevent.Event{Process: "entry-1", Limits: []dragonflyendpointlimit.Limit{limit, gone}})
		s.advance(second)
		So(s.limits(), ShouldHaveLength, 1)
	})
}
