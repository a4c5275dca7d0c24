package dragonflybalance_test

import (
	"testing"

	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	. "github.com/smartystreets/goconvey/convey"
)

// answerLeaving passes on an answer by which the endpoint id leaves.
func (s *simulation) answerLeaving(id string, boot int64) {
	s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.LeavingAnswered, ID: id, Boot: boot})
}

// assertNeverChosen checks that requests go to other endpoints than id, or to none.
func assertNeverChosen(s *simulation, id string) {
	for range 20 {
		So(s.choose("plain").Endpoint.ID, ShouldNotEqual, id)
	}
}

// TestLeavingEndpoints guards against requests to an endpoint whose answers say that it
// leaves, while control does not know of it.
func TestLeavingEndpoints(t *testing.T) {
	Convey("An endpoint that leaves gets no request, others serve", t, func() {
		s := newSimulation(plain("a"), plain("b"))
		s.answerLeaving("a", 1)
		assertNeverChosen(s, "a")
		So(s.choose("plain").Endpoint.ID, ShouldEqual, "b")
	})
	Convey("It gets none whatever tables follow from a leader that does not know of it", t, func() {
		s := newSimulation(plain("a"), plain("b"))
		s.answerLeaving("a", 1)
		for _, complete := range []bool{true, false, true} {
			s.table(complete, plain("b"))
			assertNeverChosen(s, "a")
			s.now = s.now.Add(100 * second)
			s.table(complete, plain("a"), plain("b"))
			assertNeverChosen(s, "a")
		}
	})
	Convey("It gets none if it is the only one, and the request does not wait for it", t, func() {
		s := newSimulation(plain("a"))
		s.answerLeaving("a", 1)
		c := s.choose("plain")
		So(c.OK, ShouldBeFalse)
		So(c.Full, ShouldBeFalse)
	})
	Convey("A later start with its id, and another upstream at its address, serve", t, func() {
		again, other := plain("a"), plain("c")
		again.Boot, other.Address = 2, "a"
		for _, row := range []dragonflyendpoint.Endpoint{again, other} {
			s := newSimulation(plain("a"))
			s.answerLeaving("a", 1)
			s.table(true, row)
			So(s.choose("plain").Endpoint.ID, ShouldEqual, row.ID)
		}
	})
	Convey("A late answer of an earlier start does not end a later one", t, func() {
		again := plain("a")
		again.Boot = 2
		s := newSimulation(again)
		s.answerLeaving("a", 1)
		So(s.choose("plain").OK, ShouldBeTrue)
	})
	Convey("The group of a head that leaves takes no work, another group with other engines does", t, func() {
		s := newSimulation(head("a"))
		s.answerLeaving("a", 1)
		So(s.choose("llm").OK, ShouldBeFalse)
		s.table(false, head("a"), head("b"))
		So(s.choose("llm").Endpoint.ID, ShouldEqual, "b")
	})
}
