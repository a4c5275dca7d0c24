// Package dragonflypartwatch is an entry's side of the quarantine of requests and of prompt
// parts: it records which of them are answered and which were lost with an endpoint, and
// refuses those that are quarantined. The keys of a request are the ids of its shared parts
// and its fingerprint.
package dragonflypartwatch

import (
	"dragonflyrelay.example/library/commands/dragonflyprobebudget"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyfingerprint"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflypartevent"
	"dragonflyrelay.example/library/values/dragonflypartverdict"
	"dragonflyrelay.example/library/values/dragonflypromptpart"
	"dragonflyrelay.example/library/values/dragonflyquarantinedpart"
)

const (
	// ReportTime is how long losses are reported to a new leader.
	ReportTime = 20 * dragonflyduration.Second
	// wantedTime is how long a refused part counts as wanted.
	wantedTime = 2 * dragonflyduration.Second
	// maxLosses bounds the recorded losses, and maxLossParts and maxLossRequests the
	// parts and the requests of each.
	maxLosses       = 32
	maxLossParts    = 64
	maxLossRequests = 256
	// maxQuarantined bounds the keys in quarantine.
	maxQuarantined = 512
)

// quarantined is the state of a quarantined part.
type quarantined struct {
	since, probeAt dragonflyinstant.Instant
	interval       dragonflyduration.Duration
	budget         dragonflyprobebudget.ProbeBudget // as the leader has reported it
	grant          uint64                           // latest permission received
	grantUntil     dragonflyinstant.Instant
	used           uint64 // latest permission used
	wantedAt       dragonflyinstant.Instant
	listed         bool                     // by a leader
	source         string                   // instance without the lead that holds it, if it is not listed
	unlistedAt     dragonflyinstant.Instant // first response of a leader without it, 0 if there was none
}

// Watch is the state of one entry. The zero Watch admits all requests.
type Watch struct {
	parts, requests answers // of prompt parts and of requests, which are many and must not displace the parts
	losses          []loss
	sequence        uint64
	quarantine      dragonflymap.Map[string, quarantined]
	watched         dragonflymap.Map[string, watchedKey] // keys of which the leader asks for answers
	answerSequence  uint64
	cleared         dragonflymap.Map[string, dragonflyinstant.Instant] // when the leader did not hold the key any more
	objections      []string                                           // keys that an instance without the lead holds though they were answered
}

// Step returns the watch after the event ev, which occurred at now. The verdict is set
// only for Admit and Lost.
func (w Watch) Step(now dragonflyinstant.Instant, ev dragonflypartevent.Event) (next Watch, v dragonflypartverdict.Verdict) {
	switch ev.Kind {
	case dragonflypartevent.Admit:
		return w.admit(now, ev.Parts)
	case dragonflypartevent.Served:
		return w.withServed(now, ev.Parts), v
	case dragonflypartevent.Lost:
		next, v.Check = w.withLoss(now, ev)
		return next.withOwnSuspects(now), v
	case dragonflypartevent.Refused:
		return w.withRefused(now, ev).withOwnSuspects(now), v
	case dragonflypartevent.Received:
		return w.withQuarantine(now, ev), v
	case dragonflypartevent.Unlisted:
		return w.withUnlistedParts(ev), v
	case dragonflypartevent.Confirmed:
		return w.withoutUnlisted(now), v
	}
	return w, v
}

// Quarantines reports whether one of the parts is quarantined.
func (w Watch) Quarantines(parts []string) bool {
	for _, id := range parts {
		if _, ok := w.quarantine.Get(id); ok {
			return true
		}
	}
	return false
}

// admit decides on a request with the given parts. A request that probes uses up the
// permissions of its parts.
func (w Watch) admit(now dragonflyinstant.Instant, parts []string) (next Watch, v dragonflypartverdict.Verdict) {
	probing := w.quarantine
	for _, id := range parts {
		q, ok := w.quarantine.Get(id)
		if !ok {
			continue
		}
		q.wantedAt = now
		w.quarantine = w.quarantine.With(id, q)
		if q.grant == q.used || !now.Before(q.grantUntil) {
			v = dragonflypartverdict.Verdict{Part: id, RetryAfter: q.retryAfter(now)}
			continue
		}
		q.used = q.grant
		probing = probing.With(id, q)
		v.Probe = true
	}
	if v.Part != "" {
		v.Probe = false
		return w, v
	}
	w.quarantine = probing
	return w, v
}

// retryAfter returns the time after which a refused caller may retry.
func (q quarantined) retryAfter(now dragonflyinstant.Instant) dragonflyduration.Duration {
	if q.budget.Exhausted() {
		return dragonflyquarantinedpart.MaxProbeInterval
	}
	return max(q.probeAt.Sub(now), minRetryAfter)
}

// minRetryAfter is the least time after which a refused caller may retry. Control grants
// a probe within it.
const minRetryAfter = dragonflyduration.Second

// withServed records an answer. One to a request with a quarantined key is reported, and
// releases a key that no leader has listed.
func (w Watch) withServed(now dragonflyinstant.Instant, keys []string) Watch {
	for _, id := range keys {
		if dragonflyfingerprint.Is(id) {
			w.requests = w.requests.with(id, now)
			if w.inLoss(id) {
				w = w.withCleared(now, id)
			}
		} else {
			w.parts = w.parts.with(id, now)
		}
		w = w.withWatchedAnswer(id)
		q, ok := w.quarantine.Get(id)
		if !ok {
			continue
		}
		w.sequence++
		if !q.listed {
			w.quarantine = w.quarantine.Without(id)
		}
	}
	return w
}

func (w Watch) servedAt(id string) (at dragonflyinstant.Instant, ok bool) {
	if dragonflyfingerprint.Is(id) {
		return w.requests.at(id)
	}
	return w.parts.at(id)
}

// withQuarantine replaces what a leader has listed before. The use of a permission is
// kept, because a response may repeat it. A key of which the entry has seen an answer is
// reported at once.
func (w Watch) withQuarantine(now dragonflyinstant.Instant, ev dragonflypartevent.Event) Watch {
	w = w.withoutUnlisted(now)
	if ev.HasWatched {
		w = w.withWatched(ev.Watched)
	}
	w.objections = nil
	var next dragonflymap.Map[string, quarantined]
	for id, q := range w.quarantine.All() {
		if !q.listed {
			next = next.With(id, q)
		}
	}
	for _, p := range ev.Quarantine {
		q, known := w.quarantine.Get(p.ID)
		if _, answered := w.servedAt(p.ID); answered && !known {
			w.sequence++
		}
		q.since, q.probeAt, q.interval, q.listed = ev.AskedAt.Add(-p.Since), ev.AskedAt.Add(p.ProbeIn), p.Interval, true
		q.budget = dragonflyprobebudget.ProbeBudget{}.WithPart(ev.AskedAt, p)
		if p.Grant != 0 {
			q.grant, q.grantUntil = p.Grant, ev.AskedAt.Add(p.GrantLeft)
		}
		next = next.With(p.ID, q)
	}
	for id := range w.quarantine.All() {
		if _, held := next.Get(id); !held {
			w = w.withCleared(now, id)
		}
	}
	w.quarantine = next
	return w
}

// Quarantine returns the quarantined parts in their order, for a leader that does not
// know them yet.
func (w Watch) Quarantine(now dragonflyinstant.Instant) (all []dragonflyquarantinedpart.Part) {
	for id, q := range w.quarantine.All() {
		all = append(all, q.budget.Describe(now, dragonflyquarantinedpart.Part{
			ID: id, Since: now.Sub(q.since), ProbeIn: q.probeAt.Sub(now), Interval: q.interval,
		}))
	}
	return all
}

// Parts returns those quarantined parts that were answered, and those that are wanted.
func (w Watch) Parts(now dragonflyinstant.Instant) (all []dragonflypromptpart.Part) {
	for id, q := range w.quarantine.All() {
		p := dragonflypromptpart.Part{ID: id, Wanted: q.wantedAt != 0 && now.Sub(q.wantedAt) < wantedTime}
		if at, ok := w.servedAt(id); ok {
			p.Served, p.ServedAge = true, now.Sub(at)
		}
		if p.Served || p.Wanted {
			all = append(all, p)
		}
	}
	for _, id := range w.objections {
		if at, ok := w.servedAt(id); ok {
			all = append(all, dragonflypromptpart.Part{ID: id, Served: true, ServedAge: now.Sub(at)})
		}
	}
	return all
}
