package dragonflypropagation_test

import (
	"testing"

	"dragonflyrelay.example/dragonflybench/queries/dragonflypropagation"
	"dragonflyrelay.example/dragonflybench/values/dragonflyadoption"
	"dragonflyrelay.example/library/common/dragonflyduration"
	. "github.com/smartystreets/goconvey/convey"
)

// assertTimes guards against a spread that leaves out the slowest process.
func assertTimes(adoptions []dragonflyadoption.Adoption, missing int, want ...dragonflyduration.Duration) {
	times, gone := dragonflypropagation.Times(map[uint64]int64{1: 100, 2: 200}, []string{"a", "b"}, adoptions)
	So(times, ShouldResemble, want)
	So(gone, ShouldEqual, missing)
}

func TestTimes(t *testing.T) {
	Convey("The slowest process counts", t, func() {
		assertTimes([]dragonflyadoption.Adoption{
			{Process: "a", Version: 1, At: 110}, {Process: "b", Version: 1, At: 150},
			{Process: "a", Version: 2, At: 290}, {Process: "b", Version: 2, At: 210},
		}, 0, 50, 90)
	})
	Convey("A process that skips a version has it in force with the next one", t, func() {
		assertTimes([]dragonflyadoption.Adoption{
			{Process: "a", Version: 1, At: 110}, {Process: "a", Version: 2, At: 210}, {Process: "b", Version: 2, At: 240},
		}, 0, 140, 40)
	})
	Convey("A version that one process never follows is missing", t, func() {
		assertTimes([]dragonflyadoption.Adoption{
			{Process: "a", Version: 2, At: 210}, {Process: "b", Version: 1, At: 120},
		}, 1, 110)
	})
	Convey("Quantiles go by nearest rank", t, func() {
		var times []dragonflyduration.Duration
		for i := range 200 {
			times = append(times, dragonflyduration.Duration(200-i))
		}
		q := dragonflypropagation.Quantiles(times)
		So([]dragonflyduration.Duration{q.P50, q.P95, q.P99, q.Max}, ShouldResemble, []dragonflyduration.Duration{100, 190, 198, 200})
		So(dragonflypropagation.Quantiles(nil).Count, ShouldEqual, 0)
	})
}
