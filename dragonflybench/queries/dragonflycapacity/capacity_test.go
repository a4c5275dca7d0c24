package dragonflycapacity_test

import (
	"testing"

	"dragonflyrelay.example/dragonflybench/queries/dragonflycapacity"
	"dragonflyrelay.example/dragonflybench/queries/dragonflyslopes"
	"dragonflyrelay.example/dragonflybench/values/dragonflyslope"
	. "github.com/smartystreets/goconvey/convey"
)

func slope(driver, part, metric string, base, perServer float64) dragonflyslope.Slope {
	return dragonflyslope.Slope{
		Driver: driver, Part: part, Metric: metric, Base: base, PerServer: perServer,
		Sizes: []float64{100}, Values: []float64{base + 100*perServer},
	}
}

// sampleSlopes returns slopes in which an agent is within its budget and an entry
// receives 20 bytes a second for each agent.
func sampleSlopes() []dragonflyslope.Slope {
	const a, e = dragonflycapacity.PartAgents, dragonflycapacity.PartEntries
	out := []dragonflyslope.Slope{
		slope(a, a, dragonflyslopes.MetricCPU, 0.1, 0.002),
		slope(dragonflycapacity.PartSingleAgent, dragonflycapacity.PartSingleAgent, dragonflyslopes.MetricResident, 20e6, 0),
		slope(dragonflycapacity.PartSingleEntry, dragonflycapacity.PartSingleEntry, dragonflyslopes.MetricResident, 20e6, 0),
		slope(a, e, dragonflyslopes.MetricCPU, 0, 0),
		slope(a, e, dragonflyslopes.MetricResident, 0, 0),
		slope(e, e, dragonflyslopes.MetricCPU, 0, 0.001),
	}
	for _, m := range []string{dragonflyslopes.MetricBytesIn, dragonflyslopes.MetricBytesOut} {
		out = append(out, slope(a, dragonflycapacity.PartReports, m, 0, 200), slope(a, dragonflycapacity.PartHeartbeats, m, 0, 100),
			slope(e, dragonflycapacity.PartWatches, m, 0, 50), slope(dragonflycapacity.PartLoaded, dragonflycapacity.PartWatches, m, 0, 100))
	}
	for _, c := range dragonflycapacity.Controls {
		for _, m := range []string{dragonflyslopes.MetricCPU, dragonflyslopes.MetricResident, "/dragonfly.control/Report", "/dragonfly.control/Watch"} {
			out = append(out, slope(a, c, m, 0, 0.0001), slope(e, c, m, 0, 0.0001))
		}
	}
	return out
}

func TestTable(t *testing.T) {
	Convey("A resource above the budget of a node is named, and one within the budget is not", t, func() {
		text, err := dragonflycapacity.Table(sampleSlopes(), 10)
		So(err, ShouldBeNil)
		So(text, ShouldContainSubstring, "| agent, member | 0.20 | 20.0 | 0.63 | 3.5 | 0.0 | yes |")
		So(text, ShouldContainSubstring, "| agent, head | 0.20 | 20.0 | 2.00 | 18.5 | 0.0 | yes |")
		So(text, ShouldContainSubstring, "| entry | 0.10 | 20.0 | 72.10 | 1.0 | 0.0 | no: traffic |")
		So(text, ShouldContainSubstring, "| control-2 | 39.80 |")
	})
	Convey("A missing measurement is an error and does not count as zero", t, func() {
		slopes := sampleSlopes()
		for i, s := range slopes {
			if s.Part == "control-2" && s.Metric == dragonflyslopes.MetricCPU && s.Driver == "entries" {
				slopes = append(slopes[:i:i], slopes[i+1:]...)
				break
			}
		}
		_, err := dragonflycapacity.Table(slopes, 10)
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "cpu-cores of control-2 against the number of entries")
	})
}
