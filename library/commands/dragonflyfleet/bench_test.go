package dragonflyfleet_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflydocument"
	"dragonflyrelay.example/library/values/dragonflydocumentservice"
	"dragonflyrelay.example/library/values/dragonflyengineprofile"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflymodelprofile"
	"dragonflyrelay.example/library/values/dragonflyobservation"
)

// benchmarkDomains is the number of fabric domains over which the engines of a
// benchmark are spread.
const benchmarkDomains = 5

// newLargeSimulation returns a leading fleet with n engines whose groups of two models
// serve under load.
func newLargeSimulation(n int) *simulation {
	models := []dragonflymodelprofile.ModelProfile{
		{Name: "large", Size: 6, Share: 0.5, Pace: 1, Load: 10 * second, Warmup: second},
		{Name: "small", Size: 2, Share: 0.5, Pace: 0.6, Load: 8 * second, Warmup: second},
	}
	s := &simulation{now: 1}
	s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.DocumentReceived, Document: dragonflydocument.Document{}.WithVersion(1).
		WithService(dragonflydocumentservice.Service{Name: "llm", Engine: dragonflyengineprofile.EngineProfile{
			Slots: 48, Models: models, LoadsPerSecond: 3, LoadsAtOnce: 6,
		}})})
	s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Led, Term: 1})
	for i := range n {
		domain := fmt.Sprint("d", i%benchmarkDomains)
		id := fmt.Sprintf("i%04d", i)
		s.engines = append(s.engines, &engine{obs: dragonflyobservation.Observation{
			ID: id, Boot: 1000, Service: "llm", Address: "addr-" + id, Zone: domain, Domain: domain,
			State: dragonflyobservation.Ready, Slots: 48, Staged: []string{models[i%2].Name},
		}})
	}
	s.advance(4 * second)
	for _, e := range s.engines {
		e.obs.Running = 3
	}
	s.advance(3 * second)
	return s
}

// benchmarkSizes are numbers of engines: one site that is small, one of the present
// size, and one beyond it.
var benchmarkSizes = []int{33, 100, 365, 1000}

// BenchmarkReport is the cost of one report of an agent whose engine's state has not
// changed. It should not grow with the number of engines.
func BenchmarkReport(b *testing.B) {
	for _, n := range benchmarkSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newLargeSimulation(n)
			for i := 0; b.Loop(); i++ {
				e := s.engines[i%n]
				local := e.obs
				local.ID, local.State, local.Running = "", dragonflyobservation.Unknown, i%7
				s.observe(local)
			}
		})
	}
}

// BenchmarkOrder is the cost of the look-up of an engine's order, once for each
// request of its agent. It should not grow with the number of engines.
func BenchmarkOrder(b *testing.B) {
	for _, n := range benchmarkSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newLargeSimulation(n)
			for i := 0; b.Loop(); i++ {
				s.fleet.Order(s.engines[i%n].obs.Address)
			}
		})
	}
}

// BenchmarkTick is the cost of one tick, of which there are ten a second, while
// nothing has changed.
func BenchmarkTick(b *testing.B) {
	for _, n := range benchmarkSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newLargeSimulation(n)
			for b.Loop() {
				s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Tick})
			}
		})
	}
}

// BenchmarkSecond is the cost of one second with the heartbeats and reports of all
// engines and ten ticks, in which one engine is lost or returns.
func BenchmarkSecond(b *testing.B) {
	for _, n := range benchmarkSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newLargeSimulation(n)
			for i := 0; b.Loop(); i++ {
				s.engines[7].unreachable = i%2 == 0
				for j, e := range s.engines {
					s.report(e)
					if j%(n/10) == 0 {
						s.now = s.now.Add(100 * dragonflyduration.Millisecond)
						s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Tick})
					}
				}
				for _, e := range s.engines {
					s.execute(e, s.fleet.Order(e.obs.Address))
				}
			}
		})
	}
}
