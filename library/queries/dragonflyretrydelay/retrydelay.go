// Package dragonflyretrydelay chooses when a refused caller is to come back. The answer
// to overload and to the loss of all groups of a model is to spread the returns over the
// time in which there is likely to be room again, so that a caller that comes back is
// not refused a second time.
package dragonflyretrydelay

import "dragonflyrelay.example/library/common/dragonflyduration"

type cause uint8

// Causes of a refusal.
const (
	// Transient is a state that ends within a few hundred milliseconds: a new leader
	// or a new table is on its way.
	Transient cause = iota
	// Overloaded engines cannot serve another request in time.
	Overloaded
	// Missing means that no group serves the model: one has to form or to warm up.
	Missing
)

const (
	// transientDelay covers the time until a new table is known.
	transientDelay = 300 * dragonflyduration.Millisecond
	// maxShare is the largest share of the remaining time that callers wait.
	maxShare = 1.0 / 3
	// minOverloadShare and minMissingShare are the least shares of the remaining time.
	// A burst or the loss of all groups lasts for seconds.
	minOverloadShare = 0.15
	minMissingShare  = 0.25
)

// After returns the delay after which a caller with the given time left until its
// deadline is to come back. The spread, from 0 to 1, distributes the returns of callers
// that were refused together.
func After(c cause, left dragonflyduration.Duration, spread float64) dragonflyduration.Duration {
	least := minMissingShare
	switch c {
	case Transient:
		return transientDelay
	case Overloaded:
		least = minOverloadShare
	}
	share := least + (maxShare-least)*spread
	return max(dragonflyduration.Duration(share*float64(left)), dragonflyduration.Millisecond)
}
