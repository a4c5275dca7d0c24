package dragonflyprobebudget_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyprobebudget"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyquarantinedpart"
	. "github.com/smartystreets/goconvey/convey"
)

const second = dragonflyduration.Second

// after returns the budget b after n crashes at the given interval, the first one at begin.
func after(b dragonflyprobebudget.ProbeBudget, begin dragonflyinstant.Instant, n int, interval dragonflyduration.Duration) dragonflyprobebudget.ProbeBudget {
	for i := range n {
		b = b.WithCrash(begin.Add(interval * dragonflyduration.Duration(i)))
	}
	return b
}

func assertExhausted(b dragonflyprobebudget.ProbeBudget, want bool) {
	So(b.Exhausted(), ShouldEqual, want)
}

// TestProbes guards against probes that go on for good, each of which ends a server.
func TestProbes(t *testing.T) {
	part, request := dragonflyprobebudget.ProbeBudget{}, dragonflyprobebudget.OfRequest()
	Convey("Two probes may end a server", t, func() {
		for _, b := range []dragonflyprobebudget.ProbeBudget{part, request} {
			b = after(b, 0, 3, second)
			assertExhausted(b, false)
			b = b.WithFailedProbe()
			assertExhausted(b, false)
			assertExhausted(b.WithFailedProbe(), true)
		}
	})
	Convey("Two crashes later than three seconds after the fifth of a part, or the third of a request, leave none", t, func() {
		assertExhausted(after(part, 0, 6, 4*second), false)
		assertExhausted(after(part, 0, 7, 4*second), true)
		assertExhausted(after(request, 0, 4, 4*second), false)
		assertExhausted(after(request, 0, 5, 4*second), true)
	})
	Convey("Many crashes within three seconds are not late", t, func() {
		assertExhausted(after(part, 0, 30, second/20), false)
		assertExhausted(after(request, 0, 30, second/20), false)
	})
	Convey("A crash that is reported again is counted once", t, func() {
		b := after(part, 0, 5, 4*second)
		for range 10 {
			b = b.WithCrash(dragonflyinstant.Instant(0).Add(30 * second))
		}
		assertExhausted(b, false)
	})
	Convey("Another process goes on with the counts, on its own clock", t, func() {
		now := dragonflyinstant.Instant(100 * second)
		b := after(part, 0, 6, 4*second).WithFailedProbe()
		p := b.Describe(now, dragonflyquarantinedpart.Part{ID: "dead"})
		So(p.Exhausted, ShouldBeFalse)
		there := dragonflyinstant.Instant(7 * second)
		next := dragonflyprobebudget.ProbeBudget{}.WithPart(there, p)
		assertExhausted(next, false)
		assertExhausted(next.WithFailedProbe(), true)
		assertExhausted(next.WithCrash(there), true)
	})
	Convey("The higher counts of two processes hold", t, func() {
		p := after(part, 0, 7, 4*second).Describe(0, dragonflyquarantinedpart.Part{})
		assertExhausted(after(part, 0, 3, second).WithPart(0, p), true)
		assertExhausted(after(part, 0, 7, 4*second).WithPart(0, dragonflyquarantinedpart.Part{}), true)
	})
}
