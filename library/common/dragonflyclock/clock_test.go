package dragonflyclock_test

import (
	"testing"
	"time"

	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"
)

// uptime returns the time since boot, with the time for which the machine was suspended.
func uptime() time.Duration {
	var t unix.Timespec
	So(unix.ClockGettime(unix.CLOCK_BOOTTIME, &t), ShouldBeNil)
	return time.Duration(t.Nano())
}

// TestClock guards against leases that look valid after their time because the clock
// stood still while the machine was suspended. A test cannot suspend the machine; it
// checks that the clock is the one that goes on.
func TestClock(t *testing.T) {
	Convey("The clock keeps its distance to the time since boot", t, func() {
		var c dragonflyclock.Clock
		offset := uptime() - time.Duration(c.Now())
		time.Sleep(20 * time.Millisecond)
		drift := uptime() - time.Duration(c.Now()) - offset
		So(drift.Abs(), ShouldBeLessThan, 5*time.Millisecond)
		So(c.Now(), ShouldBeGreaterThan, dragonflyinstant.Instant(time.Second))
	})
	Convey("The clock never goes back", t, func() {
		var c dragonflyclock.Clock
		last := c.Now()
		for range 10000 {
			now := c.Now()
			So(now, ShouldBeGreaterThanOrEqualTo, last)
			last = now
		}
	})
}

func BenchmarkNow(b *testing.B) {
	var c dragonflyclock.Clock
	for b.Loop() {
		c.Now()
	}
}
