// Package dragonflyloadlimit decides how many groups may load at the same time.
package dragonflyloadlimit

import "dragonflyrelay.example/library/common/dragonflyduration"

const (
	// MinLoads is the limit to begin with. Two loads at a time keep the weight store
	// busy while one group starts its engines.
	MinLoads = 2
	// MaxLoads bounds the loads that a returning zone can start together: at 450
	// groups in 8 zones it is a quarter of a zone.
	MaxLoads = 16
)

// Next returns the limit after a load that took took, if the fastest load so far
// took best. Loads that share a saturated store slow down in proportion to their
// number, and finishing fewer at a time then brings the first groups back sooner.
// So the limit rises by one while loads take about as long as the fastest one, and
// falls by a quarter when they take half as long again.
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
