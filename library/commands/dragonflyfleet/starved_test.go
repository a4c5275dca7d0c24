package dragonflyfleet_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/values/dragonflydocumentservice"
	"dragonflyrelay.example/library/values/dragonflyengineprofile"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflymodelprofile"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	. "github.com/smartystreets/goconvey/convey"
)

// newTwoModels returns a fleet of three domains of nine engines with a group of each of two
// models, and traffic. The hosts hold the weights of the other model.
func newTwoModels(byDemand bool) *simulation {
	s := &simulation{now: 1}
	s.fleet = s.fleet.WithPlanByDemand(byDemand)
	models := []dragonflymodelprofile.ModelProfile{
		{Name: "large", Size: 4, Share: 0.57, Pace: 1, Load: 16 * second, Warmup: second},
		{Name: "small", Size: 3, Share: 0.43, Pace: 0.6, Load: 12 * second, Warmup: second},
	}
	s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.DocumentReceived, Document: testDocument().
		WithService(dragonflydocumentservice.Service{Name: "llm", Engine: dragonflyengineprofile.EngineProfile{
			Slots: 48, Models: models, LoadsPerSecond: 3, LoadsAtOnce: 6,
		}})})
	s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Led, Term: 1})
	for _, domain := range []string{"a", "b", "c"} {
		for i := range 9 {
			id := fmt.Sprintf("%s%d", domain, i)
			s.engines = append(s.engines, &engine{obs: dragonflyobservation.Observation{
				ID: id, Boot: 1000, Service: "llm", Address: "addr-" + id, Zone: domain, Domain: domain,
				State: dragonflyobservation.Ready, Slots: 48, Running: 1,
			}})
		}
	}
	s.advance(60 * second)
	So(s.servingOf("large"), ShouldEqual, 3)
	So(s.servingOf("small"), ShouldEqual, 3)
	return s
}

// servingOf returns the number of heads of the model that are open.
func (s *simulation) servingOf(model string) (n int) {
	for _, e := range s.engines {
		if e.obs.Model == model && e.obs.Group.Rank == 0 && e.obs.Group.MayServe() && !e.unreachable {
			n++
		}
	}
	return n
}

// loseMembers makes n engines of the model in the domain unreachable.
func (s *simulation) loseMembers(domain, model string, n int) {
	for _, e := range s.domain(domain) {
		if n > 0 && e.obs.Model == model && !e.unreachable {
			e.unreachable = true
			n--
		}
	}
}

// count returns the number of occurrences of the event since they were cleared.
func (s *simulation) count(event string) (n int) {
	for _, o := range s.occurrences {
		if o.Event == event {
			n++
		}
	}
	return n
}

// TestModelWithoutGroups guards against a model that loses all its groups beside another one
// that keeps all of its own.
func TestModelWithoutGroups(t *testing.T) {
	for _, byDemand := range []bool{false, true} {
		Convey(fmt.Sprintf("A model that has lost its groups gets the engines of another one, by demand: %t", byDemand), t, func() {
			s := newTwoModels(byDemand)
			for _, domain := range []string{"a", "b", "c"} {
				s.loseMembers(domain, "large", 3)
			}
			s.advance(5 * second)
			So(s.servingOf("large"), ShouldBeGreaterThanOrEqualTo, 1)
			So(s.servingOf("small"), ShouldBeGreaterThanOrEqualTo, 2)
			assertNoneTwice(s)
		})
		Convey(fmt.Sprintf("One that has lost its groups in two domains also does, by demand: %t", byDemand), t, func() {
			s := newTwoModels(byDemand)
			s.loseMembers("a", "large", 3)
			s.loseMembers("b", "large", 3)
			s.advance(5 * second)
			So(s.servingOf("large"), ShouldBeGreaterThanOrEqualTo, 2)
			So(s.servingOf("small"), ShouldBeGreaterThanOrEqualTo, 2)
			assertNoneTwice(s)
		})
	}
	Convey("No group is drained while the engines of a lost domain are reported one after the other", t, func() {
		s := newTwoModels(true)
		s.occurrences = nil
		for _, e := range s.domain("a") {
			e.unreachable = true
			s.advance(tickTime / 2)
			s.report(e)
			s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Tick})
			So(s.count("group-closing"), ShouldEqual, 0)
		}
		s.advance(20 * second)
		So(s.servingOf("large"), ShouldEqual, 2)
		So(s.servingOf("small"), ShouldEqual, 2)
	})
	Convey("Nothing moves back and forth after that", t, func() {
		s := newTwoModels(true)
		for _, domain := range []string{"a", "b", "c"} {
			s.loseMembers(domain, "large", 3)
		}
		s.advance(20 * second)
		s.occurrences = nil
		s.advance(60 * second)
		for _, o := range s.occurrences {
			So(o.Event, ShouldNotBeIn, "group-closing", "group-ending", "group-ended", "group-formed")
		}
	})
}
