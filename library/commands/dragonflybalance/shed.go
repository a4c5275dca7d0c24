package dragonflybalance

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
)

// When the groups of a model are overloaded, requests wait for a slot, and soon all of
// them are late. Load shedding refuses a fraction of the requests instead, large enough
// to keep the others on time.
const (
	// shedInterval is the time between two corrections of the refused fraction. An
	// entry receives several first events of a model in it.
	shedInterval = 200 * dragonflyduration.Millisecond
	// shedTarget is the target for the mean time to the first event, as a fraction of
	// the objective.
	shedTarget = 0.65
	// shedGain and shedDamping weight the deviation from the target and its change.
	shedGain    = 0.1
	shedDamping = 0.3
	// shedRecovery is the least decrease of the refused fraction in a second at which first
	// events are earlier than the target by shedMargin or more, less in proportion before.
	// Where an idle engine needs nearly the target, the deviation is too small to end the
	// refusals soon after an overload has ended.
	shedRecovery = 0.3
	shedMargin   = 0.05
	// maxShed bounds the refused fraction, so that enough requests are served to detect
	// the end of the overload.
	maxShed = 0.8
	// shedResetTime is the time without a correction after which nothing is refused any
	// more, because so few requests can't be an overload.
	shedResetTime = dragonflyduration.Second
	// shedMinSamples is the minimum number of first events for a correction.
	shedMinSamples = 3
)

// shedding is the state of the load shedding for one model.
type shedding struct {
	intervalStart dragonflyinstant.Instant
	sum           float64 // of the times to first events, each as a fraction of its objective
	count         int
	deviation     float64                  // the latest deviation from shedTarget
	refuseRatio   float64                  // the fraction of the requests that is refused
	due           float64                  // refusals due, below 1 after each decision
	refusedAt     dragonflyinstant.Instant // latest correction to a refuseRatio above 0, 0 if there was none
}

// withSample adds a first event, which took the given fraction of its objective, and
// corrects the refused fraction at the end of an interval.
func (s shedding) withSample(now dragonflyinstant.Instant, ratio float64) shedding {
	if s.intervalStart == 0 {
		s.intervalStart = now
	}
	s.sum, s.count = s.sum+min(ratio, 2), s.count+1
	if now.Sub(s.intervalStart) < shedInterval || s.count < shedMinSamples {
		return s
	}
	deviation := s.sum/float64(s.count) - shedTarget
	change := shedGain * deviation
	if deviation < 0 {
		change = min(change, -shedRecovery*now.Sub(s.intervalStart).Seconds()*min(-deviation/shedMargin, 1))
	}
	s.refuseRatio = min(max(s.refuseRatio+change+shedDamping*(deviation-s.deviation), 0), maxShed)
	s.intervalStart, s.sum, s.count, s.deviation = now, 0, 0, deviation
	if s.refuseRatio > 0 {
		s.refusedAt = now
	}
	return s
}

// decide reports whether to refuse the next request.
func (s shedding) decide() (next shedding, refuse bool) {
	s.due += s.refuseRatio
	if s.due < 1 {
		return s, false
	}
	s.due--
	return s, true
}

// recordFirstEvent records that an attempt has received its first event.
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

// shed reports whether to refuse the request of ev to keep others on time. Retries,
// repeated prefills and requests that already wait for capacity aren't refused.
func (b Balance) shed(now dragonflyinstant.Instant, ev dragonflybalanceevent.Event) (next Balance, refuse bool) {
	key := modelKey(ev.Service, ev.Model)
	s, ok := b.shedding.Get(key)
	if ev.Retry || ev.RepeatedPrefill || ev.Waiting {
		return b, false
	}
	if now.Sub(s.intervalStart) > shedResetTime {
		s = shedding{}
	}
	if a, decided := b.admissions.Get(key); decided {
		a, refuse = a.Decide(now, s.refuseRatio, ev.Rank, ev.Workspace, ev.Tokens)
		if b.admissions = b.admissions.With(key, a); a.Valid(now) {
			return b, refuse
		}
		b.admissions = b.admissions.Without(key)
	}
	if !ok {
		return b, false
	}
	s, refuse = s.decide()
	b.shedding = b.shedding.With(key, s)
	return b, refuse
}

// modelKey returns the map key of a service's model.
func modelKey(service, model string) string { return service + " " + model }
