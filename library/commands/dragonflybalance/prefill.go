package dragonflybalance

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflydocumentservice"
)

// repeatedPrefillShare is the share of an engine's prefill rate that is used for
// repeated prefills; new prompts need most of the rest. When a group fails, the other
// groups have to prefill the prompts of all its streams again. If these were sent at
// once, a single pass would take longer than the gap that is allowed between the
// tokens of all other streams.
const repeatedPrefillShare = 0.4

// prefillBudget is an entry's allowance for repeated prefills at the groups of one
// model, in prompt tokens.
type prefillBudget struct {
	allowance float64
	updatedAt dragonflyinstant.Instant
}

// refilledPrefillBudget returns the budget for ev's model at now. Its rate is
// proportional to the number of groups that can take the request. The allowance never
// exceeds 1 token, and a request is sent while it is positive and may make it negative,
// so that a prompt of any length can be sent.
func (b Balance) refilledPrefillBudget(now dragonflyinstant.Instant, svc dragonflydocumentservice.Service, ev dragonflybalanceevent.Event) prefillBudget {
	p, ok := b.prefillBudgets.Get(modelKey(ev.Service, ev.Model))
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
	rate := repeatedPrefillShare * float64(groups) * svc.Engine.PrefillRate / m.TimeFactor() / b.entries.divisor()
	p.allowance = min(1, p.allowance+rate*now.Sub(p.updatedAt).Seconds())
	p.updatedAt = now
	return p
}
