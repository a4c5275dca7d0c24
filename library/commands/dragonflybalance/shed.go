package dragonflybalance

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
)

// When the groups of a model get more than they can do, requests wait for a slot,
// and soon all of them are late. A part of them is refused instead, as much as
// keeps the others on time.
const (
	// shedInterval is the time between two corrections of that part. An entry sees
	// several first events of a model in it.
	shedInterval = 200 * dragonflyduration.Millisecond
	// shedTarget is the mean time to the first event that is aimed at, as a part of
	// the objective.
	shedTarget = 0.65
	// shedGain and shedDamping weigh the distance from the target and its change.
	shedGain    = 0.1
	shedDamping = 0.3
	// maxShed bounds the part that is refused, so that the end of the overload is
	// noticed.
	maxShed = 0.8
	// shedResetTime is the time without a correction after which nothing is refused any
	// more: so few requests are no overload.
	shedResetTime = dragonflyduration.Second
	// shedMinSamples is the number of first events that a correction needs.
	shedMinSamples = 3
)

// shedding is the state of one model.
type shedding struct {
	intervalStart dragonflyinstant.Instant
	sum           float64 // of the times to first events, each as a part of its objective
	count         int
	deviation     float64 // the latest distance from the target
	refuseRatio   float64 // the part of the requests that is refused
	due           float64 // refusals that are due, below 1 after each decision
}

// withSample takes a first event that came after the given part of its objective.
func (s shedding) withSample(now dragonflyinstant.Instant, part float64) shedding {
	if s.intervalStart == 0 {
		s.intervalStart = now
	}
	s.sum, s.count = s.sum+min(part, 2), s.count+1
	if now.Sub(s.intervalStart) < shedInterval || s.count < shedMinSamples {
		return s
	}
	off := s.sum/float64(s.count) - shedTarget
	s.refuseRatio = min(max(s.refuseRatio+shedGain*off+shedDamping*(off-s.deviation), 0), maxShed)
	s.intervalStart, s.sum, s.count, s.deviation = now, 0, 0, off
	return s
}

// decide reports whether the next request is to be refused.
func (s shedding) decide() (next shedding, refuse bool) {
	s.due += s.refuseRatio
	if s.due < 1 {
		return s, false
	}
	s.due--
	return s, true
}

// recordFirstEvent takes the first event of an attempt.
func (b Balance) recordFirstEvent(now dragonflyinstant.Instant, ev dragonflybalanceevent.Event) Balance {
	e, ok := b.endpoints.Get(ev.ID)
	if !ok {
		return b
	}
	e.prefillTokens = max(e.prefillTokens-ev.Tokens, 0)
	b.endpoints = b.endpoints.With(ev.ID, e)
	if ev.Limit > 0 && e.Model != "" {
		key := modelKey(e.Service, e.Model)
		s, _ := b.shedding.Get(key)
		b.shedding = b.shedding.With(key, s.withSample(now, float64(ev.Waited)/float64(ev.Limit)))
	}
	return b
}

// shed decides whether the request of ev is refused to keep others on time.
func (b Balance) shed(now dragonflyinstant.Instant, ev dragonflybalanceevent.Event) (next Balance, refuse bool) {
	key := modelKey(ev.Service, ev.Model)
	s, ok := b.shedding.Get(key)
	if !ok || ev.Repeat || ev.Reread || ev.Waiting {
		return b, false
	}
	if now.Sub(s.intervalStart) > shedResetTime {
		s = shedding{}
	}
	s, refuse = s.decide()
	b.shedding = b.shedding.With(key, s)
	return b, refuse
}

// modelKey names a model of a service.
func modelKey(service, model string) string { return service + " " + model }
