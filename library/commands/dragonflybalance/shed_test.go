package dragonflybalance_test

import (
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	. "github.com/smartystreets/goconvey/convey"
)

// burst is a load on groups whose idle engines need nearly all of the objective that load
// shedding allows: 145 of 250 ms, where the target is at 162 ms. They serve 100 requests a
// second; what is admitted beyond that waits.
type burst struct {
	*simulation
	waiting float64 // requests that wait
}

// outcome counts the requests of a time by what callers get.
type outcome struct{ inTime, late, refused int }

func (o outcome) asked() int { return o.inTime + o.late + o.refused }

// play sends the given number of requests a second for d.
func (b *burst) play(perSecond int, d dragonflyduration.Duration) (o outcome) {
	const objective, idle, capacity = 250, 145, 100.0
	gap := second / dragonflyduration.Duration(perSecond)
	for range int(d / gap) {
		b.now = b.now.Add(gap)
		b.waiting = max(b.waiting-capacity*gap.Seconds(), 0)
		c := b.choose("llm")
		if !c.OK {
			o.refused++
			continue
		}
		b.waiting++
		wait := idle + 1000*b.waiting/capacity
		if wait <= objective {
			o.inTime++
		} else {
			o.late++
		}
		b.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Began, ID: c.Endpoint.ID, Tokens: 1000,
			Limit: objective * millisecond, Waited: dragonflyduration.Duration(wait) * millisecond})
		b.end(c.Endpoint.ID, false)
	}
	return o
}

// assertServed checks that at least the given part of what was asked for was served in time.
func assertServed(o outcome, least float64) {
	So(float64(o.inTime)/float64(o.asked()), ShouldBeGreaterThanOrEqualTo, least)
}

// TestShedRecovery guards against requests that are refused for seconds after an overload has
// ended, because the engines' usual time to the first event is close to the target.
func TestShedRecovery(t *testing.T) {
	newBurst := func() *burst { return &burst{simulation: newSimulation(head("a"), head("b"))} }
	for _, length := range []dragonflyduration.Duration{2, 5, 10} {
		for _, perSecond := range []int{130, 160, 220} {
			Convey("After a burst nearly all requests are served in time within two seconds", t, func() {
				b := newBurst()
				b.play(70, 5*second)
				b.play(perSecond, length*second)
				b.play(70, 2*second)
				assertServed(b.play(70, 10*second), 0.98)
			})
		}
	}
	Convey("A lasting overload gets most of the capacity in time", t, func() {
		for _, perSecond := range []int{120, 140, 180} {
			b := newBurst()
			b.play(70, 5*second)
			b.play(perSecond, 5*second)
			assertServed(b.play(perSecond, 20*second), 0.75*100/float64(perSecond))
		}
	})
	Convey("Below the capacity nothing is refused", t, func() {
		So(newBurst().play(90, 20*second).refused, ShouldEqual, 0)
	})
}
