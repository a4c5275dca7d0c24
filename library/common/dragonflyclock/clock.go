// Package dragonflyclock reads the clock for the code that runs decision cores. The clock
// never goes back, and it counts the time for which the machine is suspended: a lease or
// a confirmation that runs out meanwhile must not look valid afterwards.
package dragonflyclock

import (
	"time"

	"dragonflyrelay.example/library/common/dragonflyinstant"
)

// start is the common origin of all clocks of the process, so that their instants
// can be compared.
var start = sinceBoot()

// Clock is a clock that never goes back. The zero value reads the process's clock; tests
// set Read to control the time.
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
	return dragonflyinstant.Instant(time.Second + sinceBoot() - start)
}
