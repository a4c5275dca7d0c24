package dragonflyclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart is the origin of the fallback.
var processStart = time.Now()

// sinceBoot returns the time since the machine started. The clock of the time package
// stands still while the machine is suspended, this one does not.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart) // Only kernels before 2.6.39 lack the clock.
	}
	return time.Duration(t.Nano())
}
