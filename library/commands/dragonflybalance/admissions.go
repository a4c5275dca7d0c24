package dragonflybalance

import (
	"dragonflyrelay.example/library/commands/dragonflyrankadmission"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflychoice"
)

// rankRetryAfter is the time after which a request that was refused for its rank may be
// tried again. An overload lasts for some seconds, and an earlier retry meets the same
// decision.
const rankRetryAfter = 500 * dragonflyduration.Millisecond

// withAdmissions applies the leader's decisions, which hold until they are too old or the
// leader sends others.
func (b Balance) withAdmissions(now dragonflyinstant.Instant, ev dragonflybalanceevent.Event) Balance {
	before := b.admissions
	b.admissions = dragonflymap.Map[string, dragonflyrankadmission.Admission]{}
	for _, d := range ev.Admissions {
		key := modelKey(d.Service, d.Model)
		a, _ := before.Get(key)
		b.admissions = b.admissions.With(key, a.WithDecision(now, d))
	}
	return b
}

// HasAdmissions reports whether the balance holds decisions of the leader.
func (b Balance) HasAdmissions() bool { return b.admissions.Len() > 0 }

// overloaded returns the refusal of the request of ev while its model is overloaded.
func (b Balance) overloaded(now dragonflyinstant.Instant, ev dragonflybalanceevent.Event) dragonflychoice.Choice {
	c := dragonflychoice.Choice{Reason: "the engines are overloaded", Overload: true}
	if a, ok := b.admissions.Get(modelKey(ev.Service, ev.Model)); ok && a.Valid(now) {
		c.RetryAfter = rankRetryAfter
	}
	return c
}
