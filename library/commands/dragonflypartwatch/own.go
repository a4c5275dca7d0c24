package dragonflypartwatch

import (
	"cmp"
	"slices"

	"dragonflyrelay.example/library/commands/dragonflyprobebudget"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflypartevent"
	"dragonflyrelay.example/library/values/dragonflyquarantinedpart"
)

const (
	// ownMoments is the number of moments of crashes after which the entry refuses a
	// request that was never answered without waiting for control.
	ownMoments = 3
	// unlistedTime is how long the entry refuses a key that a leader does not list. The
	// leader receives the same losses and decides within half a second.
	unlistedTime = 2 * dragonflyduration.Second
)

// withOwnSuspects quarantines requests that were lost at several crashes which the entry
// has seen itself. Control may be lost, or its leader unknown.
func (w Watch) withOwnSuspects(now dragonflyinstant.Instant) Watch {
	var crashes []loss
	for _, l := range w.losses {
		if l.refused {
			crashes = append(crashes, l)
		}
	}
	if len(crashes) < ownMoments {
		return w
	}
	slices.SortStableFunc(crashes, func(a, b loss) int { return cmp.Compare(a.at, b.at) })
	type evidence struct {
		moments       int
		first, latest dragonflyinstant.Instant
	}
	all := map[string]evidence{}
	for _, c := range crashes {
		for id, sentAt := range c.requests.All() {
			if at, ok := w.cleared.Get(id); ok && !c.at.After(at) {
				continue
			}
			e := all[id]
			if e.moments == 0 {
				e.first = c.at
			}
			if e.moments == 0 || !sentAt.Before(e.latest) || c.at.Sub(e.latest) >= dragonflyquarantinedpart.MomentLength {
				e.moments, e.latest = e.moments+1, c.at
			}
			all[id] = e
		}
	}
	for id, e := range all {
		if _, ok := w.servedAt(id); ok || e.moments < ownMoments {
			continue
		}
		w = w.withUnlisted(now, "", dragonflyquarantinedpart.Part{
			ID: id, Since: now.Sub(e.first), ProbeIn: dragonflyquarantinedpart.RequestProbeInterval, Interval: dragonflyquarantinedpart.RequestProbeInterval,
		})
	}
	return w
}

// withUnlisted quarantines the key of p, which no leader has listed yet. Source is the instance
// that holds it, "" for the entry's own evidence.
func (w Watch) withUnlisted(now dragonflyinstant.Instant, source string, p dragonflyquarantinedpart.Part) Watch {
	if _, ok := w.quarantine.Get(p.ID); ok || w.quarantine.Len() >= maxQuarantined {
		return w
	}
	w.quarantine = w.quarantine.With(p.ID, quarantined{
		since: now.Add(-p.Since), probeAt: now.Add(p.ProbeIn), interval: p.Interval, source: source,
		budget: dragonflyprobebudget.ProbeBudget{}.WithPart(now, p),
	})
	return w
}

// HasUnlisted reports whether the entry refuses a key that no leader has listed.
func (w Watch) HasUnlisted() bool {
	for _, q := range w.quarantine.All() {
		if !q.listed {
			return true
		}
	}
	return false
}

// withoutUnlisted drops the keys that no leader has listed within unlistedTime of its first
// response.
func (w Watch) withoutUnlisted(now dragonflyinstant.Instant) Watch {
	for id, q := range w.quarantine.All() {
		switch {
		case q.listed:
		case q.unlistedAt == 0:
			q.unlistedAt = now
			w.quarantine = w.quarantine.With(id, q)
		case now.Sub(q.unlistedAt) > unlistedTime:
			w.quarantine = w.quarantine.Without(id)
			w = w.withCleared(now, id)
		}
	}
	return w
}

// withCleared records that the crashes up to now no longer speak against the key id here: it was
// answered, or the leader does not hold it, which knows the answers at all entries.
func (w Watch) withCleared(now dragonflyinstant.Instant, id string) Watch {
	for old := range w.cleared.All() {
		if !w.inLoss(old) {
			w.cleared = w.cleared.Without(old)
		}
	}
	if w.cleared.Len() < maxQuarantined {
		w.cleared = w.cleared.With(id, now)
	}
	return w
}

// inLoss reports whether the request id is in a recorded loss.
func (w Watch) inLoss(id string) bool {
	return slices.ContainsFunc(w.losses, func(l loss) bool {
		_, ok := l.requests.Get(id)
		return ok
	})
}

// withUnlistedParts adds what a control instance holds that does not lead, and drops what it
// no longer holds. No leader is known then, and the keys stay until one has had time to
// list them. An answer that the entry has seen is reported, and its key is not added.
func (w Watch) withUnlistedParts(ev dragonflypartevent.Event) Watch {
	held := map[string]bool{}
	w.objections = nil
	for _, p := range ev.Quarantine {
		held[p.ID] = true
		since := ev.AskedAt.Add(-p.Since)
		if at, ok := w.servedAt(p.ID); ok && at.After(since) {
			w.objections = append(w.objections, p.ID)
			continue
		}
		w = w.withUnlisted(ev.AskedAt, ev.Source, p)
	}
	if len(w.objections) > 0 {
		w.sequence++
	}
	for id, q := range w.quarantine.All() {
		switch {
		case !q.listed && q.source == ev.Source && q.source != "" && !held[id]:
			w.quarantine = w.quarantine.Without(id)
		case q.unlistedAt != 0:
			q.unlistedAt = 0
			w.quarantine = w.quarantine.With(id, q)
		}
	}
	return w
}
