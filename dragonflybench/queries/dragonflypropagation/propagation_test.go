package dragonflypropagation_test

import (
	"testing"

	"dragonflyrelay.example/dragonflybench/queries/dragonflypropagation"
	"dragonflyrelay.example/dragonflybench/values/dragonflyadoption"
	"dragonflyrelay.example/library/common/dragonflyduration"
	. "github.com/smartystreets/goconvey/convey"
)

// assertTimes checks the times of the versions 1 and 2, accepted at 100 and 200 ns, and
// the number of versions that processes a and b do not both follow.
func assertTimes(adoptions []dragonflyadoption.Adoption, missing int, want ...dragonflyduration.Duration) {
	times, notFollowed := dragonflypropagation.Times(map[uint64]int64{1: 100, 2: 200}, []string{"a", "b"}, adoptions)
	So(times, ShouldResemble, want)
	So(notFollowed, ShouldEqual, missing)
}

func TestTimes(t *testing.T) {
	Convey("The slowest process determines the time", t, func() {
		assertTimes([]dragonflyadoption.Adoption{
			{Process: "a", Version: 1, At: 110}, {Process: "b", Version: 1, At: 150},
			{Process: "a", Version: 2, At: 290}, {Process: "b", Version: 2, At: 210},
		}, 0, 50, 90)
	})
	Convey("A process that skips a version counts as following it from the next one on", t, func() {
		assertTimes([]dragonflyadoption.Adoption{
			{Process: "a", Version: 1, At: 110}, {Process: "a", Version: 2, At: 210}, {Process: "b", Version: 2, At: 240},
		}, 0, 140, 40)
	})
	Convey("A version that one process never follows counts as missing", t, func() {
		assertTimes([]dragonflyadoption.Adoption{
			{Process: "a", Version: 2, At: 210}, {Process: "b", Version: 1, At: 120},
		}, 1, 110)
	})
	Convey("Quantiles use the nearest rank", t, func() {
		var times []dragonflyduration.Duration
		for i := range 200 {
			times = append(times, dragonflyduration.Duration(200-i))
		}
		q := dragonflypropagation.Quantiles(times)
		So([]dragonflyduration.Duration{q.P50, q.P95, q.P99, q.Max}, ShouldResemble, []dragonflyduration.Duration{100, 190, 198, 200})
		So(dragonflypropagation.Quantiles(nil).Count, ShouldEqual, 0)
	})
}
