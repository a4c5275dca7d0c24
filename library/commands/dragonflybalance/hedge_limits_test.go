package dragonflybalance_test

import (
	"testing"

	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflymodeladmission"
	. "github.com/smartystreets/goconvey/convey"
)

// TestHedgeLimits guards against second copies that take the permissions of a limited upstream
// from first ones, and against second copies for a model whose first ones the leader refuses.
func TestHedgeLimits(t *testing.T) {
	assertRefused := func(s *simulation, ev dragonflybalanceevent.Event) { So(s.step(ev).OK, ShouldBeFalse) }
	hedge := func(service, model string) dragonflybalanceevent.Event {
		return dragonflybalanceevent.Event{
			Kind: dragonflybalanceevent.Choose, Service: service, Model: model, Exclude: []string{"a"}, Retry: true, Move: true, Hedge: true,
		}
	}
	Convey("No second copy goes to a limited endpoint, also within its limit", t, func() {
		s := newSimulation(plain("a"), plain("b"))
		s.answerLimit(limitOf("b", 1000))
		s.now = s.now.Add(second)
		assertRefused(s, hedge("plain", ""))
		So(s.choose("plain", "a").OK, ShouldBeTrue)
	})
	Convey("No second copy is sent while the leader admits a part of the model's requests", t, func() {
		group := func(id string) dragonflyendpoint.Endpoint {
			return dragonflyendpoint.Endpoint{ID: id, Boot: 1, Service: "llm", Model: "large", Group: "g" + id, Slots: 48}
		}
		s := newSimulation(group("a"), group("b"))
		s.step(dragonflybalanceevent.Event{Kind: dragonflybalanceevent.AdmissionsReceived, Admissions: []dragonflymodeladmission.Admission{
			{Service: "llm", Model: "large", Rank: 1, Fraction: 0.2},
		}})
		assertRefused(s, hedge("llm", "large"))
		s.now = s.now.Add(3 * second)
		So(s.step(hedge("llm", "large")).OK, ShouldBeTrue)
	})
}
