// Package dragonflyclock reads the monotonic clock on behalf of shells.
package dragonflyclock

import (
	"time"

	"dragonflyrelay.example/library/common/dragonflyinstant"
)

// start anchors all clocks of the process, so that their instants compare.
var start = time.Now()

// Clock is a monotonic clock. The zero value reads the process's clock; a test
// sets Read to drive time itself.
type Clock struct {
	// Read replaces the process's clock if it is not nil.
	Read func() dragonflyinstant.Instant
}

// Now returns the current instant. It starts at one second, so that the zero
// Instant always lies in the past.
func (c Clock) Now() dragonflyinstant.Instant {
	if c.Read != nil {
		return c.Read()
	}
	return dragonflyinstant.Instant(time.Second + time.Since(start))
}
