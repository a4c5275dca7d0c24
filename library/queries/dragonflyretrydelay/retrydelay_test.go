package dragonflyretrydelay_test

import (
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/queries/dragonflyretrydelay"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	millisecond = dragonflyduration.Millisecond
	second      = dragonflyduration.Second
)

// returns plays the refusals of a burst: n callers with the given time left are refused
// evenly over its length. It returns how many come back while it lasts, and the largest
// number that come back in any 100 ms.
func returns(n int, left, length dragonflyduration.Duration) (during, peak int) {
	counts := map[int64]int{}
	for i := range n {
		spread := float64(i*7919%n) / float64(n)
		at := length*dragonflyduration.Duration(i)/dragonflyduration.Duration(n) +
			dragonflyretrydelay.After(dragonflyretrydelay.Overloaded, left, spread)
		if at < length {
			during++
		}
		counts[at.Milliseconds()/100]++
	}
	for _, c := range counts {
		peak = max(peak, c)
	}
	return during, peak
}

// assertSpread checks that of the callers refused in a burst of 3 s most come back
// after it, and that no instant gets a larger share of the returns than the burst had of
// the refusals.
func assertSpread(left dragonflyduration.Duration) {
	const callers = 600
	during, peak := returns(callers, left, 3*second)
	So(during, ShouldBeLessThan, callers*2/3)
	So(peak, ShouldBeLessThanOrEqualTo, callers/30+callers/100)
}

// TestAfter guards against refused callers that come back into the load that they were
// refused for, or all at once.
func TestAfter(t *testing.T) {
	Convey("Callers refused in a burst come back spread, many of them after it", t, func() {
		assertSpread(5 * second)
		assertSpread(8 * second)
	})
	Convey("No delay exceeds the third of the remaining time that callers honour", t, func() {
		for _, left := range []dragonflyduration.Duration{100 * millisecond, second, 8 * second} {
			for _, c := range []float64{0, 0.5, 1} {
				So(dragonflyretrydelay.After(dragonflyretrydelay.Overloaded, left, c), ShouldBeLessThanOrEqualTo, left/3+1)
				So(dragonflyretrydelay.After(dragonflyretrydelay.Missing, left, c), ShouldBeLessThanOrEqualTo, left/3+1)
			}
		}
	})
	Convey("A caller of a model without groups waits longer than one of overloaded engines", t, func() {
		missing := dragonflyretrydelay.After(dragonflyretrydelay.Missing, 6*second, 0)
		So(missing, ShouldBeGreaterThan, dragonflyretrydelay.After(dragonflyretrydelay.Overloaded, 6*second, 0))
		So(missing, ShouldBeGreaterThanOrEqualTo, 1500*millisecond)
	})
	Convey("The delay is never zero, which would send no delay", t, func() {
		So(dragonflyretrydelay.After(dragonflyretrydelay.Overloaded, 0, 0), ShouldBeGreaterThan, 0)
	})
}
