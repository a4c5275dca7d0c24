package dragonflyduty_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyduty"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflyring"
	. "github.com/smartystreets/goconvey/convey"
)

// sumDuty returns a duty that sums up its events and appends each sum to acted.
func sumDuty(acted *[]int) *dragonflyduty.Duty[int, int, int] {
	return &dragonflyduty.Duty[int, int, int]{
		In: dragonflyring.New[int]("test-duty", 8),
		Step: func(s int, _ dragonflyinstant.Instant, ev int) (int, []int) {
			return s + ev, []int{s + ev}
		},
		Act: func(_ context.Context, a int) { *acted = append(*acted, a) },
	}
}

func TestDuty(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	Convey("Pump handles the queued events and returns", t, func() {
		var acted []int
		d := sumDuty(&acted)
		for i := range 3 {
			So(d.In.Put(ctx, i+1), ShouldBeNil)
		}
		d.Pump(ctx)
		So(acted, ShouldResemble, []int{1, 3, 6})
		So(d.State, ShouldEqual, 6)
	})
	Convey("Run handles the events that were queued before the ring was closed", t, func() {
		var acted []int
		d := sumDuty(&acted)
		So(d.In.Put(ctx, 5), ShouldBeNil)
		d.In.Close()
		So(d.Run(ctx), ShouldBeNil)
		So(acted, ShouldResemble, []int{5})
	})
	Convey("Ticks cause events, and Step gets the time of the duty's clock", t, func() {
		var at dragonflyinstant.Instant
		d := sumDuty(new([]int))
		d.Clock = dragonflyclock.Clock{Read: func() dragonflyinstant.Instant { return 42 }}
		d.Tick = func() int { return 1 }
		d.Period = dragonflyduration.Millisecond
		d.Step = func(s int, now dragonflyinstant.Instant, ev int) (int, []int) {
			at = now
			if s == 2 {
				d.In.Close()
			}
			return s + ev, nil
		}
		So(d.Run(ctx), ShouldBeNil)
		So(at, ShouldEqual, 42)
		So(d.State, ShouldBeGreaterThanOrEqualTo, 3)
	})
}

func ExampleDuty() {
	d := dragonflyduty.Duty[int, int, string]{
		In: dragonflyring.New[int]("example-duty", 4),
		Step: func(sum int, _ dragonflyinstant.Instant, ev int) (int, []string) {
			return sum + ev, []string{fmt.Sprint("sum is ", sum+ev)}
		},
		Act: func(_ context.Context, a string) { fmt.Println(a) },
	}
	_ = d.In.TryPut(2)
	_ = d.In.TryPut(3)
	d.Pump(context.Background())
	// Output:
	// sum is 2
	// sum is 5
}
