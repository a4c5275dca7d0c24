// Package dragonflyduration gives decision cores a span of time without the
// time package, so that no core can read a clock.
package dragonflyduration

// Duration is a span of time in nanoseconds. It has the unit of time.Duration,
// so shells convert between the two by a plain conversion.
type Duration int64

// Units of Duration, in nanoseconds.
const (
	Microsecond Duration = 1_000
	Millisecond          = 1_000 * Microsecond
	Second               = 1_000 * Millisecond
	Minute               = 60 * Second
	Hour                 = 60 * Minute
)

// Milliseconds returns d in whole milliseconds, rounded towards zero.
func (d Duration) Milliseconds() int64 { return int64(d / Millisecond) }

// Seconds returns d in seconds.
func (d Duration) Seconds() float64 { return float64(d) / float64(Second) }
