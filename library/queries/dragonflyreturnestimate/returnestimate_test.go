package dragonflyreturnestimate_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/queries/dragonflyreturnestimate"
	"dragonflyrelay.example/library/values/dragonflyengineprofile"
	"dragonflyrelay.example/library/values/dragonflyforminggroup"
	"dragonflyrelay.example/library/values/dragonflymodelprofile"
	. "github.com/smartystreets/goconvey/convey"
)

const ms = dragonflyduration.Millisecond

// outage returns the view of a leader that forms groups of engines whose hosts hold the weights.
func outage(planIn dragonflyduration.Duration, forming ...dragonflyforminggroup.FormingGroup) dragonflyreturnestimate.View {
	return dragonflyreturnestimate.View{
		Service: "llm", PlanIn: planIn, Forming: forming, Free: 27, Staged: map[string]int{"large": 13, "small": 14},
		Profile: dragonflyengineprofile.EngineProfile{FormTime: 300 * ms, Models: []dragonflymodelprofile.ModelProfile{
			{Name: "large", Size: 12, Load: 16000 * ms, Warmup: 1600 * ms},
			{Name: "small", Size: 6, Load: 12000 * ms, Warmup: 1100 * ms},
		}},
	}
}

// assertIn checks the estimate for the model in ms, -1 for none.
func assertIn(v dragonflyreturnestimate.View, model string, want int) {
	got := -1
	for _, r := range v.Returns() {
		So(r.Service, ShouldEqual, "llm")
		if r.Model == model {
			got = int(r.In / ms)
		}
	}
	So(got, ShouldEqual, want)
}

// TestReturns guards against requests that are refused although a group serves them in time,
// and against requests that wait for a group that never comes.
func TestReturns(t *testing.T) {
	group := func(age int) dragonflyforminggroup.FormingGroup {
		return dragonflyforminggroup.FormingGroup{Model: "large", Age: dragonflyduration.Duration(age) * ms}
	}
	Convey("A group that is not formed yet counts with the time until planning", t, func() {
		assertIn(outage(500*ms), "large", 2400)
		assertIn(outage(500*ms), "small", 1900)
	})
	Convey("Until all engines count as known, hosts that have not reported hold the weights", t, func() {
		v := outage(100 * ms)
		v.Staged, v.AllIn = map[string]int{"large": 11}, 1300*ms
		assertIn(v, "large", 2000)
		v.PlanIn = 0
		assertIn(v, "large", 3200)
		v.Free = 2
		assertIn(v, "large", 3200)
		v.AllIn = 0
		assertIn(v, "large", -1)
		v.Free = 27
		assertIn(v, "large", 16300)
	})
	Convey("If no host that has reported holds the weights, they are loaded", t, func() {
		v := outage(100 * ms)
		v.Staged, v.AllIn = nil, 1300*ms
		assertIn(v, "large", 16400)
	})
	Convey("A group that forms counts from then on, by its model", t, func() {
		assertIn(outage(0, group(0)), "large", 1900)
		assertIn(outage(0, group(1000)), "large", 900)
		assertIn(outage(0, group(1000)), "small", 1400)
	})
	Convey("The first of several groups counts", t, func() {
		assertIn(outage(0, group(200), group(1000), group(0)), "large", 900)
	})
	Convey("Weights from the store take longer, and warm members no time", t, func() {
		g := group(1000)
		g.Loads = true
		assertIn(outage(0, g), "large", 15300)
		g.Loads, g.Warm, g.Age = false, true, 0
		assertIn(outage(0, g), "large", 300)
	})
	Convey("A group whose members are ready only has to open", t, func() {
		g := group(100)
		g.Ready = true
		assertIn(outage(0, g), "large", 200)
		g.Age = 1000 * ms
		assertIn(outage(0, g), "large", 100)
	})
	Convey("A group that is late is still expected, but not for ever", t, func() {
		assertIn(outage(0, group(3000)), "large", 300)
		v := outage(0, group(5900))
		v.Free, v.Staged = 2, nil
		assertIn(v, "large", -1)
	})
	Convey("A model that a group serves has no estimate", t, func() {
		v := outage(0)
		v.Serving = map[string]bool{"large": true}
		assertIn(v, "large", -1)
		assertIn(v, "small", 1400)
	})
	Convey("Without enough hosts that hold the weights, they are loaded", t, func() {
		v := outage(0)
		v.Staged = map[string]int{"large": 11}
		assertIn(v, "large", 16300)
	})
	Convey("Engines that have not reported are expected until groups are planned, and not after", t, func() {
		v := outage(500 * ms)
		v.Free, v.Staged = 3, nil
		assertIn(v, "small", 1900)
		v.PlanIn = 0
		assertIn(v, "small", -1)
	})
}

func ExampleView_Returns() {
	for _, r := range outage(500 * ms).Returns() {
		fmt.Println(r.Model, r.In.Seconds())
	}
	// Output:
	// large 2.4
	// small 1.9
}
