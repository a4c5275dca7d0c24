package dragonflyquarantine

import (
	"fmt"

	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
	"dragonflyrelay.example/library/values/dragonflypromptpart"
)

// WithParts returns the quarantine after the report of a process on quarantined keys. A key
// is released if it was answered since the crashes, or before them and there were too few.
// A key that is wanted once its probe is due may be probed by the process.
func (q Quarantine) WithParts(now dragonflyinstant.Instant, term uint64, process string, parts []dragonflypromptpart.Part) (next Quarantine, occurrences []dragonflyoccurrence.Occurrence) {
	for _, p := range parts {
		e, ok := q.get(p.ID)
		if !ok {
			// Another instance may have quarantined it first.
			if q.isWatched(p.ID) || q.crashes.Has(p.ID) {
				q.crashes = q.crashes.WithServed(now, []dragonflypromptpart.Part{p})
			}
			continue
		}
		if p.Wanted {
			e.seenAt = now
			q = q.withSeen(p.ID, e)
		}
		switch {
		case p.Served && (e.moments < answeredMoments || now.Add(-p.ServedAge).After(e.since)):
			q.crashes = q.crashes.WithServed(now, []dragonflypromptpart.Part{p})
			q = q.released(p.ID)
			occurrences = append(occurrences, occurrence("part-released", p.ID, fmt.Sprintf("a request with it was answered at %s %g s ago", process, p.ServedAge.Seconds())))
		case p.Wanted && !e.budget.Exhausted() && !now.Before(e.probeAt) && (e.grantedAt == 0 || now.Sub(e.grantedAt) > probeTime):
			q.lastGrant = max(q.lastGrant, term<<grantBits) + 1
			e.grant, e.grantedTo, e.grantedAt = q.lastGrant, process, now
			q = q.withPart(p.ID, e)
			occurrences = append(occurrences, occurrence("part-probed", p.ID, "permitted to "+process))
		}
	}
	return q, occurrences
}

// withSeen returns the quarantine with the state e of a key in which entries see no change.
func (q Quarantine) withSeen(id string, e quarantined) Quarantine {
	revision := q.revision
	q = q.withPart(id, e)
	q.revision = revision
	return q
}

// grantBits is the number of low bits of a permission that count within a term.
const grantBits = 32
