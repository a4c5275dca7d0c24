package dragonflyrouting

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
)

// Parameters of the retry budget of a class, in thousandths of a retry.
const (
	retryCost = 1000
	// creditPerRequest limits retries to 10% of the class's requests.
	creditPerRequest = 100
	// creditPerSecond adds one retry a second, so that a class with little traffic
	// can retry too.
	creditPerSecond = 1000
	// budgetMax bounds a burst of retries. It covers the streams that one entry
	// has on a group of usual size when the group fails.
	budgetMax = 20 * retryCost
)

// budget is the retry budget of one class. The zero value is full.
type budget struct {
	spent     int64
	updatedAt dragonflyinstant.Instant
}

// refill adds the credit for the time since the last refill.
func (b budget) refill(now dragonflyinstant.Instant) budget {
	earned := int64(now.Sub(b.updatedAt)) * creditPerSecond / int64(dragonflyduration.Second)
	if b.spent == 0 || earned > 0 {
		b.spent, b.updatedAt = max(b.spent-earned, 0), now
	}
	return b
}

func (b budget) addRequest(now dragonflyinstant.Instant) budget {
	b = b.refill(now)
	b.spent = max(b.spent-creditPerRequest, 0)
	return b
}

// spend takes one retry from the budget; ok is false if none is left and force isn't set.
func (b budget) spend(now dragonflyinstant.Instant, force bool) (next budget, ok bool) {
	b = b.refill(now)
	if b.spent+retryCost > budgetMax && !force {
		return b, false
	}
	b.spent = min(b.spent+retryCost, budgetMax)
	return b, true
}
