package dragonflyduty_test

import (
	"context"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduty"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflyring"
	. "github.com/smartystreets/goconvey/convey"
)

// newFragile returns a duty that sums its events and emits each sum. It panics in the
// step of event 13, and in the action of the sum 5.
func newFragile(sums *[]int) *dragonflyduty.Duty[int, int, int] {
	return &dragonflyduty.Duty[int, int, int]{
		In: dragonflyring.New[int]("fragile", 8),
		Step: func(s int, _ dragonflyinstant.Instant, ev int) (int, []int) {
			if ev == 13 {
				panic("unlucky")
			}
			return s + ev, []int{s + ev}
		},
		Act: func(_ context.Context, sum int) {
			if sum == 5 {
				panic("odd")
			}
			*sums = append(*sums, sum)
		},
	}
}

// TestPanic guards against one message that ends a duty, so that its process runs on and
// does nothing.
func TestPanic(t *testing.T) {
	Convey("An event whose step panics is dropped, and the state stays as before it", t, func() {
		var sums []int
		d := newFragile(&sums)
		for _, ev := range []int{1, 13, 2} {
			d.Handle(context.Background(), ev)
		}
		So(sums, ShouldResemble, []int{1, 3})
		So(d.State, ShouldEqual, 3)
	})
	Convey("An action that panics is dropped, and the next ones are carried out", t, func() {
		var sums []int
		d := newFragile(&sums)
		for _, ev := range []int{5, 1} {
			d.Handle(context.Background(), ev)
		}
		So(sums, ShouldResemble, []int{6})
		So(d.State, ShouldEqual, 6)
	})
}
