package dragonflyloadlimit_test

import (
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/queries/dragonflyloadlimit"
	. "github.com/smartystreets/goconvey/convey"
)

// settledLimit returns the limit after 100 loads from a store that serves rate loads
// at full speed and slows down in proportion to any further loads.
func settledLimit(rate int) int {
	limit, best := dragonflyloadlimit.MinLoads, dragonflyduration.Minute
	for range 100 {
		took := dragonflyduration.Minute * dragonflyduration.Duration(max(limit, rate)) / dragonflyduration.Duration(rate)
		limit = dragonflyloadlimit.Next(limit, best, took)
	}
	return limit
}

// assertWithin checks that the limit neither underuses nor overloads the store.
func assertWithin(n, low, high int) {
	So(n, ShouldBeGreaterThanOrEqualTo, low)
	So(n, ShouldBeLessThanOrEqualTo, high)
}

func TestNext(t *testing.T) {
	Convey("The limit settles near the capacity of the store", t, func() {
		assertWithin(settledLimit(1), dragonflyloadlimit.MinLoads, dragonflyloadlimit.MinLoads)
		assertWithin(settledLimit(6), 5, 9)
		assertWithin(settledLimit(100), dragonflyloadlimit.MaxLoads, dragonflyloadlimit.MaxLoads)
	})
	Convey("A limit of 0 counts as MinLoads", t, func() {
		So(dragonflyloadlimit.Next(0, 1, 100), ShouldEqual, dragonflyloadlimit.MinLoads)
	})
}
