// Package dragonflyinstant represents points in time without the time package, so
// that decision cores can't read a clock and the same events always cause the same
// actions.
package dragonflyinstant

import "dragonflyrelay.example/library/common/dragonflyduration"

// Instant is a point on one process's monotonic clock, in nanoseconds since an
// arbitrary start. Instants of different processes can't be compared.
type Instant int64

// Add returns the instant d after t.
func (t Instant) Add(d dragonflyduration.Duration) Instant { return t + Instant(d) }

// Sub returns the duration from u to t, which is negative if t precedes u.
func (t Instant) Sub(u Instant) dragonflyduration.Duration {
	return dragonflyduration.Duration(t - u)
}

// Before reports whether t precedes u.
func (t Instant) Before(u Instant) bool { return t < u }

// After reports whether t follows u.
func (t Instant) After(u Instant) bool { return t > u }
