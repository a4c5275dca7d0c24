// Package dragonflyclock reads the monotonic clock for the code that runs
// decision cores.
package dragonflyclock

import (
	"time"

	"dragonflyrelay.example/library/common/dragonflyinstant"
)

// start is the common origin of all clocks of the process, so that their instants
// can be compared.
var start = time.Now()

// Clock is a monotonic clock. The zero value reads the process's clock; tests set
// Read to control the time.
type Clock struct {
	// Read replaces the process's clock if it is not nil.
	Read func() dragonflyinstant.Instant
}

// Now returns the current instant. Without Read, the clock starts at one second,
// so that the zero Instant always lies in the past.
func (c Clock) Now() dragonflyinstant.Instant {
	if c.Read != nil {
		return c.Read()
	}
	return dragonflyinstant.Instant(time.Second + time.Since(start))
}
