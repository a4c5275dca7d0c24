package dragonflyslopes_test

import (
	"testing"

	"dragonflyrelay.example/dragonflybench/queries/dragonflyslopes"
	"dragonflyrelay.example/dragonflybench/values/dragonflysample"
	"dragonflyrelay.example/dragonflybench/values/dragonflyslope"
	. "github.com/smartystreets/goconvey/convey"
)

const second = int64(1_000_000_000)

// samples returns a driver that runs each size for 20 s, and a part that uses 10% of
// a core and 1% more for each server, and three cores more in the first 5 s of each
// size.
func samples(sizes ...int) (driver, part []dragonflysample.Sample) {
	var cpu, calls int64
	for i, size := range sizes {
		for s := range 20 {
			at := int64(20*i+s) * second
			cpu += second/10 + int64(size)*second/100
			if s < 5 {
				cpu += 3 * second
			}
			calls += int64(size)
			driver = append(driver, dragonflysample.Sample{At: at, Part: "agents", Size: size})
			part = append(part, dragonflysample.Sample{
				At: at, Part: "control", CPU: cpu, Resident: int64(1000 + 10*size), Calls: map[string]int64{"report": calls},
			})
		}
	}
	return driver, part
}

// assertSlope checks the line of one metric.
func assertSlope(slopes []dragonflyslope.Slope, metric string, base, perServer float64, points int) {
	for _, s := range slopes {
		if s.Metric == metric {
			So(s.Base, ShouldAlmostEqual, base, 1e-6)
			So(s.PerServer, ShouldAlmostEqual, perServer, 1e-6)
			So(s.Sizes, ShouldHaveLength, points)
			return
		}
	}
	So(metric, ShouldEqual, "among the slopes")
}

func TestFit(t *testing.T) {
	Convey("The CPU time of starting servers is excluded", t, func() {
		slopes := dragonflyslopes.Fit(samples(25, 50, 100))
		assertSlope(slopes, dragonflyslopes.MetricCPU, 0.1, 0.01, 3)
		assertSlope(slopes, dragonflyslopes.MetricResident, 1000, 10, 3)
		assertSlope(slopes, "report", 0, 1, 3)
	})
	Convey("A size without servers gives no point", t, func() {
		assertSlope(dragonflyslopes.Fit(samples(0, 25, 50)), "report", 0, 1, 2)
	})
}
