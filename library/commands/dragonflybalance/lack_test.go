package dragonflybalance_test

import (
	"testing"

	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflychoice"
	. "github.com/smartystreets/goconvey/convey"
)

// assertLack asserts that no endpoint is chosen, and whether for lack of capacity.
func assertLack(c dragonflychoice.Choice, lacks bool) {
	assertRefused(c)
	So(c.LacksCapacity(), ShouldEqual, lacks)
}

// TestLackOfCapacity guards against groups that move to a model whose requests are refused
// for another reason than a lack of groups, and against a lack that is not seen.
func TestLackOfCapacity(t *testing.T) {
	Convey("No group of the model exists", t, func() {
		assertLack(newSimulation(plain("a")).choose("llm"), true)
	})
	Convey("The groups are full", t, func() {
		s := newSimulation(head("a"))
		for range 48 {
			s.choose("llm")
		}
		assertLack(s.choose("llm"), true)
	})
	Convey("The groups have been tried", t, func() {
		assertLack(newSimulation(head("a")).choose("llm", "a"), false)
	})
	Convey("The groups leave", t, func() {
		leaving := head("a")
		leaving.Leaving = true
		assertLack(newSimulation(leaving).choose("llm"), false)
	})
	Convey("The groups have asked for a pause", t, func() {
		s := newSimulation(head("a"))
		s.answerPause("a", 2*second)
		assertLack(s.choose("llm"), false)
	})
	Convey("The budget for repeats is used up", t, func() {
		s := newSimulation(head("a"))
		retry := dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Choose, Service: "llm", Model: "large", Retry: true}
		for range 20 {
			s.step(retry)
		}
		c := s.step(retry)
		So(c.Reason, ShouldEqual, "the budget for repeats is used up")
		assertLack(c, false)
	})
	Convey("An endpoint is chosen", t, func() {
		So(newSimulation(head("a")).choose("llm").LacksCapacity(), ShouldBeFalse)
	})
}
