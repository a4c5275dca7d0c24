package dragonflybalance_test

import (
	"testing"

	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	. "github.com/smartystreets/goconvey/convey"
)

// TestHedge guards against the second copy of a request that delays others, or that is sent
// where no request should go while there is a choice.
func TestHedge(t *testing.T) {
	plain := func(id string) dragonflyendpoint.Endpoint {
		return dragonflyendpoint.Endpoint{ID: id, Boot: 1, Service: "plain", Slots: 2}
	}
	hedge := dragonflybalanceevent.Event{
		Kind: dragonflybalanceevent.Choose, Service: "plain", Exclude: []string{"a"}, Retry: true, Move: true, Hedge: true,
	}
	assertHedged := func(s *simulation, ev dragonflybalanceevent.Event, want bool) { So(s.step(ev).OK, ShouldEqual, want) }
	Convey("Another endpoint is chosen, and the allowance for retries used", t, func() {
		s := newSimulation(plain("a"), plain("b"))
		assertHedged(s, hedge, true)
		used := 1
		for range 100 {
			s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Ended, ID: "b", Outcome: dragonflybalanceevent.Served})
			if s.step(hedge).OK {
				used++
			}
		}
		So(used, ShouldBeLessThan, 20)
	})
	Convey("Not one without a free slot", t, func() {
		s := newSimulation(plain("a"), plain("b"))
		for range 2 {
			s.choose("plain", "a")
		}
		assertHedged(s, hedge, false)
		s.choose("plain", "a") // A new request may wait there.
	})
	Convey("Not one that is cold, also within its rate", t, func() {
		b := plain("b")
		b.ColdLeft = 5 * second
		s := newSimulation(plain("a"), b)
		s.now = s.now.Add(second)
		assertHedged(s, hedge, false)
		So(s.choose("plain", "a").OK, ShouldBeTrue)
	})
	Convey("Not one that is avoided, silent, leaving or has asked for a pause", t, func() {
		s := newSimulation(plain("a"), plain("b"))
		s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Ended, ID: "b", Outcome: dragonflybalanceevent.Lost})
		assertHedged(s, hedge, false)
		b := plain("b")
		b.Silent = true
		assertHedged(newSimulation(plain("a"), b), hedge, false)
		b = plain("b")
		b.Leaving = true
		assertHedged(newSimulation(plain("a"), b), hedge, false)
		s = newSimulation(plain("a"), plain("b"))
		s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.PauseAnswered, ID: "b", Boot: 1, Pause: second})
		assertHedged(s, hedge, false)
	})
	Convey("None while the model sheds load", t, func() {
		group := func(id string) dragonflyendpoint.Endpoint {
			return dragonflyendpoint.Endpoint{ID: id, Boot: 1, Service: "llm", Model: "large", Group: "g" + id, Slots: 48}
		}
		s := newSimulation(group("a"), group("b"))
		ev := hedge
		ev.Service, ev.Model = "llm", "large"
		assertHedged(s, ev, true)
		for range 20 {
			s.now = s.now.Add(50 * millisecond)
			s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Began, ID: "a", Limit: 300 * millisecond, Waited: 500 * millisecond})
		}
		assertHedged(s, ev, false)
		s.now = s.now.Add(2 * second)
		assertHedged(s, ev, true)
	})
}
