package dragonflybalance_test

import (
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflychoice"
	"dragonflyrelay.example/library/values/dragonflyendpointlimit"
	"dragonflyrelay.example/library/values/dragonflypathroute"
	. "github.com/smartystreets/goconvey/convey"
)

// answerPause passes on an answer by which the endpoint id asks for a pause.
func (s *simulation) answerPause(id string, pause dragonflyduration.Duration) {
	s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.PauseAnswered, ID: id, Boot: 1, Pause: pause})
}

// requestsUntil lets a request wait at any time until end, and returns how many were sent
// to the endpoint id.
func (s *simulation) requestsUntil(end dragonflyinstant.Instant, id string) (n int) {
	for ; s.now < end; s.now = s.now.Add(10 * millisecond) {
		for range 5 {
			if c := s.choose("plain"); c.OK && c.Endpoint.ID == id {
				n++
			}
		}
	}
	return n
}

// assertPauses checks that no endpoint is chosen until the pause ends.
func assertPauses(c dragonflychoice.Choice, pause dragonflyduration.Duration) {
	So(c.OK, ShouldBeFalse)
	So(c.Pause, ShouldEqual, pause)
}

// TestPausingEndpoints guards against requests to an endpoint that has asked for a pause.
func TestPausingEndpoints(t *testing.T) {
	Convey("An endpoint that pauses is skipped, others serve", t, func() {
		s := newSimulation(plain("a"), plain("b"))
		s.answerPause("a", 2*second)
		So(s.requestsUntil(s.now.Add(2*second), "a"), ShouldEqual, 0)
		So(s.choose("plain").OK, ShouldBeTrue)
	})
	Convey("It returns as a cold endpoint does, at any number of requests that have waited", t, func() {
		s := newSimulation(plain("a"))
		s.answerPause("a", 2*second)
		end := s.now.Add(2 * second)
		So(s.requestsUntil(end, "a"), ShouldEqual, 0)
		So(s.requestsUntil(end.Add(100*millisecond), "a"), ShouldBeBetween, 0, 4)
		So(s.requestsUntil(end.Add(second), "a"), ShouldBeBetween, 6, 11)
		So(s.requestsUntil(end.Add(1100*millisecond), "a"), ShouldBeGreaterThan, 40)
	})
	Convey("Where all pause, the earliest end is named", t, func() {
		s := newSimulation(plain("a"), plain("b"))
		s.answerPause("a", 3*second)
		s.answerPause("b", 2*second)
		s.now = s.now.Add(second)
		assertPauses(s.choose("plain"), second)
		assertPauses(s.choose("plain", "b"), 2*second)
	})
	Convey("The end of the pause of a cold endpoint is named, too", t, func() {
		cold := plain("a")
		cold.ColdLeft = 5 * second
		s := newSimulation(cold)
		for s.choose("plain").OK {
			continue
		}
		s.answerPause("a", 3*second)
		assertPauses(s.choose("plain"), 3*second)
	})
	Convey("Where others are at their limits, the request waits for these", t, func() {
		s := newSimulation(plain("a"), plain("b"))
		s.answerPause("a", 3*second)
		s.answerLimit(limitOf("b", 1))
		s.now = s.now.Add(2 * second)
		for range 3 {
			s.choose("plain")
		}
		So(s.choose("plain").Full, ShouldBeTrue)
	})
	Convey("An endpoint with the limit 0 gets no request in its pause", t, func() {
		s := newSimulation(plain("a"))
		s.answerLimit(dragonflyendpointlimit.Limit{ID: "a", Boot: 1, Limited: true})
		s.answerPause("a", 12*second)
		So(s.requestsUntil(s.now.Add(12*second), "a"), ShouldEqual, 0)
		So(s.requestsUntil(s.now.Add(12*second), "a"), ShouldBeGreaterThan, 0)
	})
	Convey("The pause outlasts tables without the endpoint, and a later start does not pause", t, func() {
		s := newSimulation(plain("a"))
		s.answerPause("a", 2*second)
		s.table(true)
		s.now = s.now.Add(second)
		s.table(true, plain("a"))
		assertPauses(s.choose("plain"), second)
		again := plain("a")
		again.Boot = 2
		s.table(true, again)
		So(s.choose("plain").OK, ShouldBeTrue)
	})
	Convey("A pause beyond the longest time limit of the document gets two requests until its end", t, func() {
		s := newSimulation(plain("a"))
		d := testDocument().WithRoute(dragonflypathroute.Route{Host: "h", Prefix: "/", Timeout: 4 * second})
		s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.DocumentReceived, Document: d, Entries: 1, Complete: true})
		s.answerPause("a", 20*second)
		from := s.now
		So(s.requestsUntil(from.Add(4*second), "a"), ShouldEqual, 0)
		So(s.requestsUntil(from.Add(20*second), "a"), ShouldEqual, 2)
		So(s.balance.Pauses().Unreadable("a", 1), ShouldBeTrue)
	})
}
