package dragonflyrouting

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
)

// The retry budget of a class, in thousandths of a retry.
const (
	retryCost = 1000
	// creditPerRequest lets retries be 10% of the class's requests.
	creditPerRequest = 100
	// creditPerSecond is the floor, so that a class with little traffic can retry.
	creditPerSecond = 1000
	// budgetMax bounds the burst of retries. It covers the streams that one
	// entry has on a failing group of usual size.
	budgetMax = 20 * retryCost
)

// budget is the retry budget of one class. The zero value is full.
type budget struct {
	spent     int64
	updatedAt dragonflyinstant.Instant
}

// refill gives back what the time since the last change has earned.
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

// spend takes one retry; ok is false if there is none left and force is not set.
func (b budget) spend(now dragonflyinstant.Instant, force bool) (next budget, ok bool) {
	b = b.refill(now)
	if b.spent+retryCost > budgetMax && !force {
		return b, false
	}
	b.spent = min(b.spent+retryCost, budgetMax)
	return b, true
}
