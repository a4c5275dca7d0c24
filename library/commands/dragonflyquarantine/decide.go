package dragonflyquarantine

import (
	"fmt"
	"slices"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyfingerprint"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflycrash"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
	"dragonflyrelay.example/library/values/dragonflyquarantinedpart"
)

// Decide returns the quarantine at now, and what has changed. Stopped reports whether a
// start of an upstream is known to have ended without leaving.
func (q Quarantine) Decide(now dragonflyinstant.Instant, stopped func(id string, boot int64) bool) (next Quarantine, occurrences []dragonflyoccurrence.Occurrence) {
	q.crashes = q.crashes.Confirmed(now, stopped)
	if !q.leads {
		q = q.withoutUnrecorded(now)
	}
	crashes, watchable := q.crashes.Settled(now), q.crashes.Watchable(now)
	if q.judged == q.judgement(len(crashes), watchable) {
		return q, occurrences
	}
	for id, e := range q.all() {
		next, probed := q.withCrashes(id, e, crashes)
		if next == e {
			continue
		}
		if probed {
			next.interval = min(2*e.interval, dragonflyquarantinedpart.MaxProbeInterval)
			next.probeAt, next.grantedAt, next.grantedTo = now.Add(next.interval), 0, ""
			next.budget = next.budget.WithFailedProbe()
			occurrences = append(occurrences, occurrence("part-quarantined", id, "the probe crashed a server, "+nextProbe(next)))
		}
		next.seenAt = now
		q = q.withPart(id, next)
	}
	hold := func(id string, ev evidence, interval dragonflyduration.Duration) (held bool) {
		if !q.hasRoom(id) {
			q = q.withRoomFor(now, id)
			crashes = q.crashes.Settled(now)
		}
		if !q.hasRoom(id) {
			return false
		}
		e := quarantined{
			moments: ev.moments, since: ev.first, heldAt: now, seenAt: now, probeAt: now.Add(interval), interval: interval, budget: newBudget(id),
		}
		e, _ = q.withCrashes(id, e, crashes)
		q = q.withPart(id, e)
		occurrences = append(occurrences, occurrence("part-quarantined", id, fmt.Sprintf("servers crashed with it at %d moments, %d with causes of their own, the first one %g s ago", ev.moments, ev.apart, now.Sub(ev.first).Seconds())))
		return true
	}
	for _, s := range q.suspectRequests(crashes) {
		hold(s.id, s.evidence, dragonflyquarantinedpart.RequestProbeInterval)
	}
	for {
		id, ev := q.suspectPart(crashes)
		if id == "" || !hold(id, ev, dragonflyquarantinedpart.ProbeInterval) {
			break
		}
	}
	q = q.withWatched(now)
	q.judged = q.judgement(len(crashes), watchable)
	return q, occurrences
}

// withCrashes returns the state e of the key id with the crashes that it has not counted yet, and
// whether one of them may be that of a probe.
func (q Quarantine) withCrashes(id string, e quarantined, crashes []dragonflycrash.Crash) (next quarantined, probed bool) {
	next = e
	for _, c := range crashes {
		if q.crashes.SpeaksAgainst(c, id) {
			next.budget = next.budget.WithCrash(c.At())
			probed = probed || e.probedBefore(c)
		}
	}
	return next, probed
}

func nextProbe(e quarantined) string {
	if e.budget.Exhausted() {
		return "no further probe"
	}
	return fmt.Sprintf("next one in %g s", e.interval.Seconds())
}

func (q Quarantine) judgement(settled, watchable int) judgement {
	return judgement{evidence: q.crashes.Changes(), revision: q.revision, settled: settled, watchable: watchable}
}

// withWatched returns the quarantine after a look at the keys of which answers are asked for.
// Entries are asked again after each crash. Keys that are answered stay listed until half of them
// are, so that not each answer is a change for all entries.
func (q Quarantine) withWatched(now dragonflyinstant.Instant) Quarantine {
	ids, latest := q.crashes.Unanswered(now)
	isNew := func(id string) bool { return !q.isWatched(id) }
	if latest <= q.watched.latest && len(ids) >= (len(q.watched.ids)+1)/2 && !slices.ContainsFunc(ids, isNew) {
		return q
	}
	q.revision++
	q.watched = watched{ids: ids, latest: max(latest, q.watched.latest), revision: q.revision}
	return q
}

func (q Quarantine) isWatched(id string) bool {
	_, ok := slices.BinarySearch(q.watched.ids, id)
	return ok
}

// probedBefore reports whether the crash c may be that of a probe. An instance that does
// not lead has permitted none, but knows when it was due.
func (e quarantined) probedBefore(c dragonflycrash.Crash) bool {
	return !e.budget.Exhausted() && (e.grantedAt != 0 && c.At().After(e.grantedAt) || c.At().After(e.probeAt))
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
