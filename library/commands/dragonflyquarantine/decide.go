package dragonflyquarantine

import (
	"cmp"
	"fmt"
	"slices"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyfingerprint"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
	"dragonflyrelay.example/library/values/dragonflyquarantinedpart"
)

// Decide returns the quarantine at now, and what has changed. Stopped reports whether a
// start of an upstream is known to have ended without leaving.
func (q Quarantine) Decide(now dragonflyinstant.Instant, stopped func(id string, boot int64) bool) (next Quarantine, occurrences []dragonflyoccurrence.Occurrence) {
	q = q.confirmed(now, stopped)
	for id, e := range q.all() {
		if now.Sub(e.probeAt) > dragonflyquarantinedpart.EndDelay {
			q = q.released(id)
			occurrences = append(occurrences, occurrence("part-released", id, "nothing has decided the suspicion"))
		}
	}
	crashes := q.settledCrashes(now)
	if q.judged == (judgement{evidence: q.evidence, revision: q.revision, settled: len(crashes)}) {
		return q, occurrences
	}
	for id, e := range q.all() {
		if !slices.ContainsFunc(crashes, func(c crash) bool { return e.probedBefore(c) && q.suspects(c, id) }) {
			continue
		}
		e.interval = min(2*e.interval, maxProbeInterval)
		e.probeAt, e.grantedAt, e.grantedTo = now.Add(e.interval), 0, ""
		q = q.withPart(id, e)
		occurrences = append(occurrences, occurrence("part-quarantined", id, fmt.Sprintf("the probe crashed a server, next one in %g s", e.interval.Seconds())))
	}
	hold := func(id string, ev evidence, interval dragonflyduration.Duration) {
		q = q.withPart(id, quarantined{moments: ev.moments, since: ev.first, probeAt: now.Add(interval), interval: interval})
		occurrences = append(occurrences, occurrence("part-quarantined", id, fmt.Sprintf("servers crashed with it at %d moments, the first one %g s ago", ev.moments, now.Sub(ev.first).Seconds())))
	}
	for _, s := range q.suspectRequests(crashes) {
		hold(s.id, s.evidence, dragonflyquarantinedpart.RequestProbeInterval)
	}
	for q.parts.Len() < maxParts {
		id, ev := q.suspectPart(crashes)
		if id == "" {
			break
		}
		hold(id, ev, dragonflyquarantinedpart.ProbeInterval)
	}
	q.judged = judgement{evidence: q.evidence, revision: q.revision, settled: len(crashes)}
	return q, occurrences
}

// probedBefore reports whether the crash c may be that of a probe. An instance that does
// not lead has permitted none, but knows when it was due.
func (e quarantined) probedBefore(c crash) bool {
	return e.grantedAt != 0 && c.at.After(e.grantedAt) || c.at.After(e.probeAt)
}

func occurrence(event, id, detail string) dragonflyoccurrence.Occurrence {
	kind := "part "
	if dragonflyfingerprint.Is(id) {
		kind = "request "
	}
	return dragonflyoccurrence.Occurrence{Event: event, Detail: kind + id + ": " + detail}
}

func (q Quarantine) withPart(id string, e quarantined) Quarantine {
	if dragonflyfingerprint.Is(id) {
		q.requests = q.requests.With(id, e)
	} else {
		q.parts = q.parts.With(id, e)
	}
	q.revision++
	return q
}

// released returns the quarantine without the key id.
func (q Quarantine) released(id string) Quarantine {
	if dragonflyfingerprint.Is(id) {
		q.requests = q.requests.Without(id)
	} else {
		q.parts = q.parts.Without(id)
	}
	q.revision++
	return q
}

// confirmed returns the quarantine after a look at the upstreams: losses of upstreams
// that have stopped are crashes, and losses that are too old are dropped.
func (q Quarantine) confirmed(now dragonflyinstant.Instant, stopped func(id string, boot int64) bool) Quarantine {
	dropped := false
	for key, c := range q.crashes.All() {
		switch {
		case now.Sub(c.at) > evidenceTime, !c.confirmed && now.Sub(c.reportedAt) > confirmTime:
			q.crashes = q.crashes.Without(key)
			q.evidence++
			dropped = true
		case !c.confirmed && stopped(c.id, c.boot):
			c.confirmed = true
			q.crashes = q.crashes.With(key, c)
			q.evidence++
		}
	}
	if !dropped {
		return q
	}
	inCrash := map[string]bool{}
	for _, c := range q.crashes.All() {
		for id := range c.parts.All() {
			inCrash[id] = true
		}
		for id := range c.requests.All() {
			inCrash[id] = true
		}
	}
	for id := range q.servedAt.All() {
		if !inCrash[id] {
			q.servedAt = q.servedAt.Without(id)
		}
	}
	return q
}

// settledCrashes returns the confirmed crashes that all entries have reported, in the order
// of their times.
func (q Quarantine) settledCrashes(now dragonflyinstant.Instant) (all []crash) {
	for _, c := range q.crashes.All() {
		if c.confirmed && now.Sub(c.reportedAt) >= settleTime {
			all = append(all, c)
		}
	}
	slices.SortStableFunc(all, func(a, b crash) int { return cmp.Compare(a.at, b.at) })
	return all
}

// suspects reports whether the crash c speaks against the key id: it was in a request
// without an answer and was not answered since.
func (q Quarantine) suspects(c crash, id string) bool {
	if !c.has(id) {
		return false
	}
	at, ok := q.servedAt.Get(id)
	return !ok || !at.After(c.at)
}
