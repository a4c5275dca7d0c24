// Package dragonflyduration represents time spans without the time package, so
// that decision cores that use it can't read a clock.
package dragonflyduration

// Duration is a time span in nanoseconds. It has the unit of time.Duration, so a
// plain conversion turns one into the other.
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
