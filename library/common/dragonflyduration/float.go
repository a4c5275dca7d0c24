package dragonflyduration

import "math"

// longest bounds the durations made from numbers of other processes, so that adding one to
// an instant does not overflow.
const longest = 365 * 24 * Hour

// FromUnits returns the duration of n units, at most a year in either direction. NaN is 0.
func FromUnits(n float64, unit Duration) Duration {
	if math.IsNaN(n) {
		return 0
	}
	d := n * float64(unit)
	return Duration(max(min(d, float64(longest)), -float64(longest)))
}
