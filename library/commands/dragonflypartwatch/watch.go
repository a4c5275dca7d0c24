// Package dragonflypartwatch is an entry's side of the quarantine of prompt parts: it
// records which parts are answered and which were lost with an endpoint, and refuses
// requests with quarantined parts.
package dragonflypartwatch

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
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
	// maxServed bounds each of the two generations of answered parts.
	maxServed = 2048
	// maxLosses bounds the recorded losses, and maxLossParts the parts of each.
	maxLosses    = 32
	maxLossParts = 64
)

// loss is an endpoint that was lost with requests that had no answer.
type loss struct {
	id       string
	boot     int64
	at       dragonflyinstant.Instant
	sequence uint64                        // rises when the loss or one of its parts is recorded
	parts    dragonflymap.Map[string, int] // depth by id
}

// quarantined is the state of a quarantined part.
type quarantined struct {
	since, probeAt dragonflyinstant.Instant
	interval       dragonflyduration.Duration
	grant          uint64 // latest permission received
	grantUntil     dragonflyinstant.Instant
	used           uint64 // latest permission used
	wantedAt       dragonflyinstant.Instant
}

// Watch is the state of one entry. The zero Watch admits all requests.
type Watch struct {
	// Parts move to the older generation when the younger one is full, and are dropped
	// from there, so that parts in use stay.
	served, servedBefore dragonflymap.Map[string, dragonflyinstant.Instant]
	losses               []loss
	sequence             uint64
	quarantine           dragonflymap.Map[string, quarantined]
}

// Step returns the watch after the event ev, which occurred at now. The verdict is set
// only for Admit.
func (w Watch) Step(now dragonflyinstant.Instant, ev dragonflypartevent.Event) (next Watch, v dragonflypartverdict.Verdict) {
	switch ev.Kind {
	case dragonflypartevent.Admit:
		return w.admit(now, ev.Parts)
	case dragonflypartevent.Served:
		return w.withServed(now, ev.Parts), v
	case dragonflypartevent.Lost:
		return w.withLoss(now, ev), v
	case dragonflypartevent.Received:
		return w.withQuarantine(ev), v
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
		if now.Sub(q.probeAt) > dragonflyquarantinedpart.EndDelay {
			w.quarantine, probing = w.quarantine.Without(id), probing.Without(id)
			continue
		}
		q.wantedAt = now
		w.quarantine = w.quarantine.With(id, q)
		if q.grant == q.used || !now.Before(q.grantUntil) {
			v = dragonflypartverdict.Verdict{Part: id, RetryAfter: max(q.probeAt.Sub(now), minRetryAfter)}
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

// minRetryAfter is the least time after which a refused caller may retry. Control grants
// a probe within it.
const minRetryAfter = dragonflyduration.Second

func (w Watch) withServed(now dragonflyinstant.Instant, parts []string) Watch {
	for _, id := range parts {
		w.served = w.served.With(id, now)
	}
	if w.served.Len() >= maxServed {
		w.servedBefore, w.served = w.served, dragonflymap.Map[string, dragonflyinstant.Instant]{}
	}
	return w
}

func (w Watch) servedAt(id string) (at dragonflyinstant.Instant, ok bool) {
	if at, ok = w.served.Get(id); ok {
		return at, true
	}
	return w.servedBefore.Get(id)
}

// withLoss records the parts of a request that was lost at an endpoint. The oldest loss
// makes room for a new one.
func (w Watch) withLoss(now dragonflyinstant.Instant, ev dragonflypartevent.Event) Watch {
	if len(ev.Parts) == 0 {
		return w
	}
	w.sequence++
	l := loss{id: ev.ID, boot: ev.Boot, at: now}
	var losses []loss
	for _, old := range w.losses {
		switch {
		case old.id == ev.ID && old.boot == ev.Boot:
			l = old
		case now.Sub(old.at) <= ReportTime:
			losses = append(losses, old)
		}
	}
	for depth, id := range ev.Parts {
		if l.parts.Len() < maxLossParts {
			l.parts = l.parts.With(id, depth)
		}
	}
	l.sequence = w.sequence
	losses = append(losses, l)
	w.losses = losses[max(len(losses)-maxLosses, 0):]
	return w
}

// withQuarantine replaces the quarantine. The use of a permission is kept, because a
// response may repeat it.
func (w Watch) withQuarantine(ev dragonflypartevent.Event) Watch {
	var next dragonflymap.Map[string, quarantined]
	for _, p := range ev.Quarantine {
		q, _ := w.quarantine.Get(p.ID)
		q.since, q.probeAt, q.interval = ev.AskedAt.Add(-p.Since), ev.AskedAt.Add(p.ProbeIn), p.Interval
		if p.Grant != 0 {
			q.grant, q.grantUntil = p.Grant, ev.AskedAt.Add(p.GrantLeft)
		}
		next = next.With(p.ID, q)
	}
	w.quarantine = next
	return w
}

// Quarantine returns the quarantined parts in their order, for a leader that does not
// know them yet.
func (w Watch) Quarantine(now dragonflyinstant.Instant) (all []dragonflyquarantinedpart.Part) {
	for id, q := range w.quarantine.All() {
		all = append(all, dragonflyquarantinedpart.Part{
			ID: id, Since: now.Sub(q.since), ProbeIn: q.probeAt.Sub(now), Interval: q.interval,
		})
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
	return all
}
