package dragonflyfleet_test

import (
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflydocumentservice"
	"dragonflyrelay.example/library/values/dragonflyengineprofile"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflymodelprofile"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
	. "github.com/smartystreets/goconvey/convey"
)

// maxLoads is the number of weight loads that may start in loadWindow at three a second:
// a tenth more than the rate, and three.
const (
	maxLoads   = 19
	loadWindow = 5 * second
)

// advanceCountingLoads is advance, and returns the number of loads that engines start.
func (s *simulation) advanceCountingLoads(d dragonflyduration.Duration) (loads int) {
	for range int(d / (100 * dragonflyduration.Millisecond)) {
		for _, e := range s.engines {
			if o := s.fleet.Order(e.obs.Address); o.Kind == dragonflyserverorder.Stage {
				loads++
			}
		}
		s.advance(100 * dragonflyduration.Millisecond)
	}
	return loads
}

// TestLoads guards against engines that load weights together because many of them have
// lost weights at once.
func TestLoads(t *testing.T) {
	Convey("Engines that lost the weights of the other model when their groups formed again load them at the permitted rate", t, func() {
		s := newSimulation(24)
		models := []dragonflymodelprofile.ModelProfile{
			{Name: "large", Size: 3, Share: 0.5, Pace: 1, Load: 10 * second, Warmup: second},
			{Name: "small", Size: 2, Share: 0.5, Pace: 1, Load: 10 * second, Warmup: second},
		}
		s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.DocumentReceived, Document: testDocument().
			WithService(dragonflydocumentservice.Service{Name: "llm", Engine: dragonflyengineprofile.EngineProfile{
				Slots: 48, Models: models, LoadsPerSecond: 3, LoadsAtOnce: 6,
			}})})
		for _, e := range s.engines {
			e.obs.Running = 1
		}
		s.advance(60 * second)
		for _, e := range s.engines {
			So(len(e.obs.Staged), ShouldEqual, 1)
			e.obs.Staged = []string{e.obs.Model}
		}
		So(s.advanceCountingLoads(loadWindow), ShouldBeLessThanOrEqualTo, maxLoads)
	})
}
