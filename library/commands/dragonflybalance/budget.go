package dragonflybalance

import "dragonflyrelay.example/library/common/dragonflyinstant"

// budget is the allowance for retries of one service, in requests.
type budget struct {
	allowance float64
	updatedAt dragonflyinstant.Instant
}

// maxAllowance bounds the retries that may be accumulated. It is half of the entry's
// share, because a window can use a full allowance and the refill during the window.
func (b Balance) maxAllowance() float64 {
	return b.limits.Extra * budgetShare / 2 / b.entries.divisor()
}

// refill adds the allowance for the time since the last refill.
func (b Balance) refill(now dragonflyinstant.Instant, service string) Balance {
	bud, ok := b.budgets.Get(service)
	if !ok {
		bud.allowance = b.maxAllowance()
	} else if b.limits.Window > 0 {
		bud.allowance = min(b.maxAllowance(), bud.allowance+b.maxAllowance()*now.Sub(bud.updatedAt).Seconds()/b.limits.Window.Seconds())
	}
	bud.updatedAt = now
	b.budgets = b.budgets.With(service, bud)
	return b
}
