// Package dragonflyloadlimit adapts the number of groups that may load concurrently.
package dragonflyloadlimit

import "dragonflyrelay.example/library/common/dragonflyduration"

const (
	// MinLoads is the initial limit and the lower bound. Two concurrent loads keep
	// the weight store busy while one group starts its engines.
	MinLoads = 2
	// MaxLoads bounds the loads that a returning zone starts at the same time. With
	// 450 groups in 8 zones it is about a quarter of the groups of a zone.
	MaxLoads = 16
)

// Next returns the limit after a load of duration took, where best is the duration of
// the fastest load so far. Loads that share a saturated store slow down in proportion
// to their number, and with fewer loads at a time the first groups are ready earlier.
// The limit therefore rises by one if a load takes at most 1.25 times best, and falls
// by a quarter if it takes at least 1.5 times best.
func Next(limit int, best, took dragonflyduration.Duration) int {
	limit = max(limit, MinLoads)
	switch {
	case 4*took <= 5*best:
		return min(limit+1, MaxLoads)
	case 2*took >= 3*best:
		return max(limit*3/4, MinLoads)
	default:
		return limit
	}
}
