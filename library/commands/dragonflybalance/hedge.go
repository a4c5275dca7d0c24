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
	reasonNoSpare = "the other endpoints are cold or full"
)

// sheds reports whether a part of the requests of ev's model is refused at present.
func (b Balance) sheds(now dragonflyinstant.Instant, ev dragonflybalanceevent.Event) bool {
	s, _ := b.shedding.Get(modelKey(ev.Service, ev.Model))
	return s.refuseRatio > 0 && now.Sub(s.intervalStart) <= shedResetTime
}

// spare reports whether e can take a request that another endpoint may still answer, with no
// delay for others: it is not cold and has a free slot, and its passes are at most limit.
func (e endpoint) spare(now dragonflyinstant.Instant, limit dragonflyduration.Duration) bool {
	return !e.coldUntil.After(now) && !e.full(limit) && (e.Slots == 0 || e.inFlight < e.Slots)
}
