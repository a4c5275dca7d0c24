package dragonflybalance

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
)

// Reasons for which a request is not sent to a second endpoint while the first one may
// still answer it.
const (
	reasonSheds   = "the engines shed load"
	reasonNoSpare = "the other endpoints are cold, limited or full"
)

// sheds reports whether a part of the requests of ev's model is refused, or was shortly before,
// by this entry or by the leader, which decides only on models that are overloaded. In an
// overload, the part that the entry refuses falls to 0 from time to time.
func (b Balance) sheds(now dragonflyinstant.Instant, ev dragonflybalanceevent.Event) bool {
	key := modelKey(ev.Service, ev.Model)
	if a, ok := b.admissions.Get(key); ok && a.Valid(now) {
		return true
	}
	s, _ := b.shedding.Get(key)
	return s.refusedAt != 0 && now.Sub(s.refusedAt) <= shedResetTime
}

// isLimited reports whether e has stated a limit of its requests.
func (b Balance) isLimited(e endpoint) bool {
	l, _ := b.rateLimits.Get(e.ID)
	return l.limited && l.boot == e.Boot
}

// spare reports whether e can take a request that another endpoint may still answer, with no
// delay for others: it is not cold and has a free slot, and its passes are at most limit.
func (e endpoint) spare(now dragonflyinstant.Instant, limit dragonflyduration.Duration) bool {
	return !e.coldUntil.After(now) && !e.full(limit) && (e.Slots == 0 || e.inFlight < e.Slots)
}
