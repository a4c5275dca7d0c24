package dragonflyloadlimit_test

import (
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/queries/dragonflyloadlimit"
	. "github.com/smartystreets/goconvey/convey"
)

// settledLimit returns the limit after many loads from a store that serves rate loads
// at full speed and slows down in proportion beyond.
func settledLimit(rate int) int {
	limit, best := dragonflyloadlimit.MinLoads, dragonflyduration.Minute
	for range 100 {
		took := dragonflyduration.Minute * dragonflyduration.Duration(max(limit, rate)) / dragonflyduration.Duration(rate)
		limit = dragonflyloadlimit.Next(limit, best, took)
	}
	return limit
}

// assertWithin guards against a limit that starves the store or overloads it.
func assertWithin(n, low, high int) {
	So(n, ShouldBeGreaterThanOrEqualTo, low)
	So(n, ShouldBeLessThanOrEqualTo, high)
}

func TestNext(t *testing.T) {
	Convey("The limit settles near what the store can serve", t, func() {
		assertWithin(settledLimit(1), dragonflyloadlimit.MinLoads, dragonflyloadlimit.MinLoads)
		assertWithin(settledLimit(6), 5, 9)
		assertWithin(settledLimit(100), dragonflyloadlimit.MaxLoads, dragonflyloadlimit.MaxLoads)
	})
	Convey("The zero limit is the least one", t, func() {
		So(dragonflyloadlimit.Next(0, 1, 100), ShouldEqual, dragonflyloadlimit.MinLoads)
	})
}
