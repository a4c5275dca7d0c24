package dragonflybalance

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflydocumentservice"
)

// repeatedPrefillShare is the part of an engine's reading rate for prompts that are read
// again; new ones need most of the rest. When a group breaks, the other groups read
// the prompts of all its streams again. If they came at once, one pass would take
// longer than the pauses that all the other streams bear.
const repeatedPrefillShare = 0.4

// prefillBudget is an entry's allowance of prompt tokens that the groups of one model may
// be given again.
type prefillBudget struct {
	allowance float64
	updatedAt dragonflyinstant.Instant
}

// refilledPrefillBudget returns the allowance for ev at now. It grows with the groups that
// could take the request and never exceeds 1, so that one request may go at once.
func (b Balance) refilledPrefillBudget(now dragonflyinstant.Instant, svc dragonflydocumentservice.Service, ev dragonflybalanceevent.Event) prefillBudget {
	r, ok := b.prefillBudgets.Get(modelKey(ev.Service, ev.Model))
	if !ok {
		return prefillBudget{allowance: 1, updatedAt: now}
	}
	groups := 0
	for _, e := range b.endpoints.All() {
		if e.Service == ev.Service && e.Model == ev.Model && !e.Leaving {
			groups++
		}
	}
	m, _ := svc.Engine.Model(ev.Model)
	rate := repeatedPrefillShare * float64(groups) * svc.Engine.ReadRate / m.Slowness() / float64(b.entries)
	r.allowance = min(1, r.allowance+rate*now.Sub(r.updatedAt).Seconds())
	r.updatedAt = now
	return r
}
