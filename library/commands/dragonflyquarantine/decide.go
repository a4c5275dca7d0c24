package dragonflyquarantine

import (
	"cmp"
	"fmt"
	"slices"

	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
	"dragonflyrelay.example/library/values/dragonflyquarantinedpart"
)

// Decide returns the quarantine at now, and what has changed. Stopped reports whether a
// start of an upstream is known to have ended without leaving.
func (q Quarantine) Decide(now dragonflyinstant.Instant, stopped func(id string, boot int64) bool) (next Quarantine, occurrences []dragonflyoccurrence.Occurrence) {
	q = q.confirmed(now, stopped)
	for id, e := range q.parts.All() {
		if now.Sub(e.probeAt) > dragonflyquarantinedpart.EndDelay {
			q = q.released(id)
			occurrences = append(occurrences, occurrence("part-released", id, "nothing has decided the suspicion"))
		}
	}
	crashes := q.settledCrashes(now)
	for id, e := range q.parts.All() {
		if !slices.ContainsFunc(crashes, func(c crash) bool { return e.grantedAt != 0 && c.at.After(e.grantedAt) && q.suspects(c, id) }) {
			continue
		}
		e.interval = min(2*e.interval, maxProbeInterval)
		e.probeAt, e.grantedAt, e.grantedTo = now.Add(e.interval), 0, ""
		q = q.withPart(id, e)
		occurrences = append(occurrences, occurrence("part-quarantined", id, fmt.Sprintf("the probe crashed an engine, next one in %g s", e.interval.Seconds())))
	}
	for q.parts.Len() < maxParts {
		id, ev := q.suspect(crashes)
		if id == "" {
			break
		}
		q = q.withPart(id, quarantined{moments: ev.moments, since: ev.first, probeAt: now.Add(probeInterval), interval: probeInterval})
		occurrences = append(occurrences, occurrence("part-quarantined", id, fmt.Sprintf("engines crashed with it at %d moments, the first one %g s ago", ev.moments, now.Sub(ev.first).Seconds())))
	}
	return q, occurrences
}

func occurrence(event, id, detail string) dragonflyoccurrence.Occurrence {
	return dragonflyoccurrence.Occurrence{Event: event, Detail: "part " + id + ": " + detail}
}

func (q Quarantine) withPart(id string, e quarantined) Quarantine {
	q.parts = q.parts.With(id, e)
	q.revision++
	return q
}

// released returns the quarantine without the part id.
func (q Quarantine) released(id string) Quarantine {
	q.parts = q.parts.Without(id)
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
			dropped = true
		case !c.confirmed && stopped(c.id, c.boot):
			c.confirmed = true
			q.crashes = q.crashes.With(key, c)
		}
	}
	if !dropped {
		return q
	}
	var kept dragonflymap.Map[string, dragonflyinstant.Instant]
	for _, c := range q.crashes.All() {
		for id := range c.parts.All() {
			if at, ok := q.servedAt.Get(id); ok {
				kept = kept.With(id, at)
			}
		}
	}
	q.servedAt = kept
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

// suspects reports whether the crash c speaks against the part id: it was in a request
// without an answer and was not answered since.
func (q Quarantine) suspects(c crash, id string) bool {
	if _, ok := c.parts.Get(id); !ok {
		return false
	}
	at, ok := q.servedAt.Get(id)
	return !ok || !at.After(c.at)
}

// evidence is what the crashes say against one part.
type evidence struct {
	moments       int
	first, latest dragonflyinstant.Instant // starts of moments
	depth         int
	answered      bool // before the crashes
}

// suspect returns the part that most likely causes the crashes that no quarantined part
// explains, "" if there is none: a part that was never answered rather than one that was,
// and the one in most crashes. Of parts that occur together the deepest one is suspected,
// since the others have more requests without it.
func (q Quarantine) suspect(crashes []crash) (id string, ev evidence) {
	unexplained := slices.DeleteFunc(slices.Clone(crashes), q.explained)
	if moments(unexplained) < suspectMoments {
		return "", ev
	}
	all := map[string]evidence{}
	for _, c := range unexplained {
		for part, depth := range c.parts.All() {
			if q.suspects(c, part) {
				all[part] = all[part].withCrash(c, depth)
			}
		}
	}
	for part, e := range all {
		_, e.answered = q.servedAt.Get(part)
		if !e.sufficient() {
			continue
		}
		if c := e.compare(ev); id == "" || c > 0 || c == 0 && part < id {
			id, ev = part, e
		}
	}
	return id, ev
}

// moments returns the number of moments of the crashes, which are in the order of their
// times.
func moments(crashes []crash) int {
	var e evidence
	for _, c := range crashes {
		e = e.withCrash(c, 0)
	}
	return e.moments
}

// withCrash returns e with another crash, which is not earlier than those before.
func (e evidence) withCrash(c crash, depth int) evidence {
	if e.moments == 0 {
		e.first = c.at
	}
	if e.moments == 0 || c.at.Sub(e.latest) >= momentLength {
		e.moments, e.latest = e.moments+1, c.at
	}
	e.depth = max(e.depth, depth)
	return e
}

// explained reports whether a quarantined part explains the crash c.
func (q Quarantine) explained(c crash) bool {
	for id := range q.parts.All() {
		if q.suspects(c, id) {
			return true
		}
	}
	return false
}

func (e evidence) sufficient() bool {
	if e.answered {
		return e.moments >= answeredMoments
	}
	return e.moments >= suspectMoments
}

// compare returns a positive number if e speaks more strongly than other.
func (e evidence) compare(other evidence) int {
	if e.answered != other.answered {
		if other.answered {
			return 1
		}
		return -1
	}
	if c := cmp.Compare(e.moments, other.moments); c != 0 {
		return c
	}
	return cmp.Compare(e.depth, other.depth)
}
