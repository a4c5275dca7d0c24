package dragonflyadmission

import (
	"dragonflyrelay.example/library/commands/dragonflylimit"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyadmissionaction"
	"dragonflyrelay.example/library/values/dragonflyadmissionevent"
)

// dispatch sends queued requests while fewer than the limit run. Any class may
// use capacity that the others leave unused.
func (a Admission) dispatch(now dragonflyinstant.Instant) (Admission, []dragonflyadmissionaction.Action) {
	var acts []dragonflyadmissionaction.Action
	for a.running.Len() < a.limit.Value() {
		next, it, ok := a.queue.Pop()
		if !ok {
			break
		}
		a.queue = next
		if reason := a.refusalReason(now, it); reason != "" {
			acts = append(acts, a.refusal(it.ID, reason))
			continue
		}
		a.running = a.running.With(it.ID, running{item: it, started: now, lastProgress: now})
		a.limit = a.limit.WithInFlight(a.running.Len())
		acts = append(acts, dragonflyadmissionaction.Action{Kind: dragonflyadmissionaction.Start, ID: it.ID})
	}
	return a, acts
}

// recordLatency adds a latency that a worker has measured to the samples.
func (a Admission) recordLatency(now dragonflyinstant.Instant, ev dragonflyadmissionevent.Event) Admission {
	r, ok := a.running.Get(ev.ID)
	if !ok {
		return a
	}
	r.lastProgress, r.hasFirstToken = now, true
	a.running = a.running.With(ev.ID, r)
	if ev.Kind == dragonflyadmissionevent.FirstToken {
		a.limit = a.limit.WithFirst(ev.Latency, r.item.FirstToken)
	} else {
		a.limit = a.limit.WithGaps(ev.Tokens, ev.Latency, r.item.Gap)
	}
	return a
}

func (a Admission) finish(now dragonflyinstant.Instant, id uint64) Admission {
	r, ok := a.running.Get(id)
	if !ok {
		return a
	}
	a.running = a.running.Without(id)
	took := now.Sub(r.started)
	if a.serviceTime == 0 {
		a.serviceTime = took
	}
	a.serviceTime += (took - a.serviceTime) / serviceTimeDivisor
	return a
}

// adjustLimit adapts the limit at the end of an interval and refuses the queued
// requests that may no longer be sent.
func (a Admission) adjustLimit(now dragonflyinstant.Instant) (Admission, []dragonflyadmissionaction.Action) {
	if !a.limit.Due(now) {
		return a, nil
	}
	a.limit = a.withStallSamples(now)
	var reason string
	a.limit, reason = a.limit.WithTime(now, a.running.Len())
	acts := a.limitActions(reason)
	next, more := a.refuseWaiting(now)
	return next, append(acts, more...)
}

// withStallSamples adds a slow sample for each running request that has made no
// progress for longer than a cold upstream explains, because an upstream that has
// collapsed produces no tokens to measure.
func (a Admission) withStallSamples(now dragonflyinstant.Instant) dragonflylimit.Limit {
	l := a.limit
	for _, r := range a.running.All() {
		idle := now.Sub(r.lastProgress)
		normal := l.NormalGap()
		if !r.hasFirstToken {
			normal = l.NormalFirst()
		}
		switch {
		case normal == 0 || idle < dragonflylimit.ColdFactor*normal+stallMargin:
		case r.hasFirstToken:
			l = l.WithGaps(1, idle, r.item.Gap)
		default:
			l = l.WithFirst(idle, r.item.FirstToken)
		}
	}
	return l
}

func (a Admission) limitActions(reason string) []dragonflyadmissionaction.Action {
	if reason == "" {
		return nil
	}
	return []dragonflyadmissionaction.Action{{
		Kind: dragonflyadmissionaction.LimitChanged, Reason: reason, Limit: a.limit.Value(),
	}}
}
