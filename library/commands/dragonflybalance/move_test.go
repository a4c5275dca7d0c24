package dragonflybalance_test

import (
	"testing"

	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflydocument"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	. "github.com/smartystreets/goconvey/convey"
)

// TestMove guards against streams that leave an endpoint which may go on for one that has
// just failed.
func TestMove(t *testing.T) {
	Convey("A stream in progress moves to an endpoint that failed only once that is not avoided", t, func() {
		s := newSimulation(dragonflyendpoint.Endpoint{ID: "b", Boot: 1, Service: "llm", Model: "large", Group: "g", Slots: 48})
		s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Ended, ID: "b", Outcome: dragonflybalanceevent.Refused})
		choose := dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Choose, Service: "llm", Model: "large", Exclude: []string{"a"}, Retry: true}
		move := choose
		move.Move = true
		So(s.step(move).OK, ShouldBeFalse)
		So(s.step(choose).OK, ShouldBeTrue)
		s.now = s.now.Add(400 * millisecond)
		So(s.step(move).OK, ShouldBeTrue)
	})
}

// TestSilentEndpoints guards against new requests that wait at a silent endpoint although
// another one would serve them, and against refusals while a silent one is the only one.
func TestSilentEndpoints(t *testing.T) {
	silent := dragonflyendpoint.Endpoint{ID: "a", Boot: 1, Service: "llm", Model: "large", Group: "g", Slots: 48, Silent: true}
	other := dragonflyendpoint.Endpoint{ID: "b", Boot: 1, Service: "llm", Model: "large", Group: "h", Slots: 48}
	choose := dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Choose, Service: "llm", Model: "large"}
	Convey("A silent endpoint is chosen only if there is no other", t, func() {
		s := newSimulation(silent, other)
		for range 8 {
			So(s.step(choose).Endpoint.ID, ShouldEqual, "b")
		}
		choose.Exclude = []string{"b"}
		So(s.step(choose).Endpoint.ID, ShouldEqual, "a")
	})
	Convey("No stream in progress moves to a silent endpoint", t, func() {
		move := dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Choose, Service: "llm", Model: "large", Exclude: []string{"b"}, Retry: true, Move: true}
		So(newSimulation(silent, other).step(move).OK, ShouldBeFalse)
	})
}

// TestDroppedService guards against requests that go to a group of another model while a
// document that leaves their service out meets an older routing table.
func TestDroppedService(t *testing.T) {
	Convey("A request goes to no other model once its service has left the document", t, func() {
		s := newSimulation(dragonflyendpoint.Endpoint{ID: "a", Boot: 1, Service: "llm", Model: "large", Group: "g", Slots: 48})
		s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.DocumentReceived, Document: dragonflydocument.Document{}, Entries: 1, Complete: true})
		c := s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Choose, Service: "llm", Model: "small"})
		So(c.OK, ShouldBeFalse)
	})
}
