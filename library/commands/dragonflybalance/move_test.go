package dragonflybalance_test

import (
	"testing"

	"dragonflyrelay.example/library/values/dragonflybalanceevent"
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
