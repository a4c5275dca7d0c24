// Package dragonflyquarantine finds the requests that crash servers and the parts of prompts
// that crash engines, on control, from the losses that all entries report.
//
// A request or a part is suspected if servers crashed at several moments while they had
// it and had not answered it yet, and it was not answered since. Quarantined requests, and
// requests with a quarantined part, are refused, but for a few single probes: an answer ends
// the quarantine, another crash doubles the time to the next probe.
package dragonflyquarantine

import (
	"iter"

	"dragonflyrelay.example/library/commands/dragonflycrashes"
	"dragonflyrelay.example/library/commands/dragonflyprobebudget"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyfingerprint"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyloss"
	"dragonflyrelay.example/library/values/dragonflyquarantinedpart"
	"dragonflyrelay.example/library/values/dragonflysurvivors"
)

const (
	// suspectMoments is the number of moments of crashes that make a key suspect, and
	// answeredMoments that for a key that was answered before them. While no group of a
	// model serves, the parts of waiting requests are lost with each one that opens.
	suspectMoments  = 3
	answeredMoments = 5
	// apartCrashes and apartRequestCrashes are the numbers of crashes, of a moment too, of
	// servers that stopped for reasons of their own, which make a part or a request suspect. A
	// burst of requests ends several servers at once.
	apartCrashes        = 5
	apartRequestCrashes = 3
	// spreadMoments is the number of moments that suffice for a key that was answered before if
	// they are more than outageTime apart: a model is not without groups for so long.
	spreadMoments = 4
	outageTime    = 30 * dragonflyduration.Second
	// grantTime is how long a permission to probe holds, and probeTime the time until
	// another one is given if the outcome of the probe is not known.
	grantTime = 8 * dragonflyduration.Second
	probeTime = 10 * dragonflyduration.Second
	// maxParts and maxRequests bound the keys in quarantine. One that was not asked for within
	// idleTime makes room for another.
	idleTime    = 10 * dragonflyduration.Minute
	maxParts    = 64
	maxRequests = 256
)

// quarantined is the state of a quarantined key.
type quarantined struct {
	since, probeAt dragonflyinstant.Instant
	heldAt         dragonflyinstant.Instant // since when this instance holds it
	seenAt         dragonflyinstant.Instant // latest crash with it, or report of an entry that has refused it
	recorded       bool                     // in the replicated log, or by this instance as the leader
	interval       dragonflyduration.Duration
	moments        int // of crashes that spoke against it
	budget         dragonflyprobebudget.ProbeBudget
	grant          uint64
	grantedTo      string                   // process that may probe, "" for none
	grantedAt      dragonflyinstant.Instant // latest grant, 0 for none
}

// Quarantine is the state of suspected keys: ids of parts and fingerprints of requests. The
// zero Quarantine is empty and that of an instance without the lead.
type Quarantine struct {
	leads     bool
	crashes   dragonflycrashes.Crashes
	parts     dragonflymap.Map[string, quarantined] // by part
	requests  dragonflymap.Map[string, quarantined] // by fingerprint
	watched   watched
	lastGrant uint64
	revision  uint64
	judged    judgement
}

// watched are the keys of which entries are asked for answers.
type watched struct {
	ids      []string                 // sorted
	latest   dragonflyinstant.Instant // report of the latest crash with one of them
	revision uint64                   // of the quarantine in which they were listed
}

// judgement identifies the state for which the suspects were last searched. The search
// costs more than all else and most decisions find the same state.
type judgement struct {
	evidence, revision uint64
	settled, watchable int // numbers of crashes
}

// Revision returns a number that rises with each change of the quarantined keys and of the keys
// of which answers are asked for.
func (q Quarantine) Revision() uint64 { return q.revision }

// Empty reports whether there is nothing to decide.
func (q Quarantine) Empty() bool { return q.crashes.Len()+q.parts.Len()+q.requests.Len() == 0 }

// WithLead returns the quarantine of an instance that begins or ceases to lead. Only the leader
// receives the answers that speak for keys.
func (q Quarantine) WithLead(leads bool) Quarantine {
	if q.leads && !leads {
		for id, e := range q.all() {
			e.recorded = true
			q = q.withPart(id, e)
		}
	}
	q.leads, q.crashes = leads, q.crashes.WithLead(leads)
	return q
}

// Quarantines reports whether the key id is quarantined.
func (q Quarantine) Quarantines(id string) bool {
	_, ok := q.get(id)
	return ok
}

// Watched returns the keys in crashes of which entries are to report answers, sorted, and the
// revision in which they were listed.
func (q Quarantine) Watched() (ids []string, revision uint64) {
	return q.watched.ids, q.watched.revision
}

func (q Quarantine) get(id string) (e quarantined, ok bool) {
	if dragonflyfingerprint.Is(id) {
		return q.requests.Get(id)
	}
	return q.parts.Get(id)
}

// all returns the quarantined keys, the parts first.
func (q Quarantine) all() iter.Seq2[string, quarantined] {
	return func(yield func(string, quarantined) bool) {
		for id, e := range q.parts.All() {
			if !yield(id, e) {
				return
			}
		}
		for id, e := range q.requests.All() {
			if !yield(id, e) {
				return
			}
		}
	}
}

// hasRoom reports whether the key id may be quarantined within the bounds.
func (q Quarantine) hasRoom(id string) bool {
	if dragonflyfingerprint.Is(id) {
		return q.requests.Len() < maxRequests
	}
	return q.parts.Len() < maxParts
}

// withRoomFor returns the quarantine with room for the key id, if there is one of its kind that has
// not been asked for within idleTime. The one for which that is longest is dropped with its crashes.
func (q Quarantine) withRoomFor(now dragonflyinstant.Instant, id string) Quarantine {
	oldest, seenAt := "", now.Add(-idleTime)
	for other, e := range q.all() {
		if dragonflyfingerprint.Is(other) == dragonflyfingerprint.Is(id) && e.seenAt.Before(seenAt) {
			oldest, seenAt = other, e.seenAt
		}
	}
	if oldest == "" {
		return q
	}
	q.crashes = q.crashes.WithoutCrashesOf(oldest)
	return q.released(oldest)
}

// Parts returns the quarantined keys as the process is to see them.
func (q Quarantine) Parts(now dragonflyinstant.Instant, process string) (all []dragonflyquarantinedpart.Part) {
	for id, e := range q.all() {
		p := dragonflyquarantinedpart.Part{ID: id, Since: now.Sub(e.since), ProbeIn: e.probeAt.Sub(now), Interval: e.interval}
		p = e.budget.Describe(now, p)
		if left := e.grantedAt.Add(grantTime).Sub(now); e.grantedTo == process && process != "" && left > 0 {
			p.Grant, p.GrantLeft = e.grant, left
		}
		all = append(all, p)
	}
	return all
}

// WithKnown returns the quarantine with the keys that an entry knows from an earlier
// leader. The later of two times to the next probe holds, because it follows a crash of
// which only one of them knows.
func (q Quarantine) WithKnown(now dragonflyinstant.Instant, known []dragonflyquarantinedpart.Part) Quarantine {
	for _, p := range known {
		interval := min(max(p.Interval, dragonflyquarantinedpart.ProbeInterval), dragonflyquarantinedpart.MaxProbeInterval)
		before, ok := q.get(p.ID)
		if !ok && !q.hasRoom(p.ID) {
			continue
		}
		e := before
		if !ok {
			// The earlier leader has weighed the answers before the crashes.
			e = quarantined{moments: answeredMoments, since: now.Add(-p.Since), heldAt: now, seenAt: now, budget: newBudget(p.ID)}
		}
		if e.interval < interval {
			e.probeAt, e.interval = max(e.probeAt, now.Add(p.ProbeIn)), interval
		}
		if e.budget = e.budget.WithPart(now, p); e != before {
			q = q.withPart(p.ID, e)
		}
	}
	return q
}

// newBudget returns the budget for probes of the key id before its crashes are counted.
func newBudget(id string) dragonflyprobebudget.ProbeBudget {
	if dragonflyfingerprint.Is(id) {
		return dragonflyprobebudget.OfRequest()
	}
	return dragonflyprobebudget.ProbeBudget{}
}

// WithSurvivors returns the quarantine after a look at the servers that lived on beside crashes.
func (q Quarantine) WithSurvivors(now dragonflyinstant.Instant, v dragonflysurvivors.Survivors) Quarantine {
	q.crashes = q.crashes.WithSurvivors(now, v)
	return q
}

// WithLosses returns the quarantine with the losses that an entry has reported.
func (q Quarantine) WithLosses(now dragonflyinstant.Instant, losses []dragonflyloss.Loss) Quarantine {
	q.crashes = q.crashes.WithLosses(now, losses)
	return q
}
