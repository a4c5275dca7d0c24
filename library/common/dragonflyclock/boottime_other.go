//go:build !linux

package dragonflyclock

import "time"

// processStart is the origin of the clock.
var processStart = time.Now()

// sinceBoot returns the time since the process started.
func sinceBoot() time.Duration { return time.Since(processStart) }
