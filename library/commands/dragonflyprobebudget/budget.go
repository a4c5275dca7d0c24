// Package dragonflyprobebudget decides how often a quarantined key may be probed. Each probe of
// a key that crashes servers ends one more, so that their number is fixed and not their rate.
package dragonflyprobebudget

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyquarantinedpart"
)

const (
	// partLimit and requestLimit are the crashes with which a part or a request has to be
	// known, and spreadTime is the time after that in which all entries refuse it.
	partLimit    = 5
	requestLimit = 3
	spreadTime   = 3 * dragonflyduration.Second
	// maxFailedProbes is the number of probes that may end a server, and maxLateCrashes the
	// number of crashes after spreadTime with which none is permitted any more. Callers are
	// promised at most three requests that reach servers by then, and a second one may
	// reach the server of a crash.
	maxFailedProbes = 2
	maxLateCrashes  = 2
)

// ProbeBudget counts the crashes with one key. The zero ProbeBudget is that of a part without
// crashes.
type ProbeBudget struct {
	isRequest             bool
	crashes, late, failed int
	limitAt, latest       dragonflyinstant.Instant // of the crash with which it has to be known, and of the latest one
}

// OfRequest returns the budget of a request without crashes.
func OfRequest() ProbeBudget { return ProbeBudget{isRequest: true} }

// WithCrash returns the budget after a crash at the given instant. Crashes that are not later
// than one before have been counted.
func (b ProbeBudget) WithCrash(at dragonflyinstant.Instant) ProbeBudget {
	if b.crashes > 0 && !at.After(b.latest) {
		return b
	}
	limit := partLimit
	if b.isRequest {
		limit = requestLimit
	}
	b.crashes, b.latest = b.crashes+1, at
	switch {
	case b.crashes == limit:
		b.limitAt = at
	case b.crashes > limit && at.Sub(b.limitAt) > spreadTime:
		b.late++
	}
	return b
}

// WithFailedProbe returns the budget after a probe that has ended a server.
func (b ProbeBudget) WithFailedProbe() ProbeBudget {
	b.failed++
	return b
}

// Exhausted reports whether no further probe may be permitted.
func (b ProbeBudget) Exhausted() bool {
	return b.failed >= maxFailedProbes || b.late >= maxLateCrashes
}

// WithPart returns the budget with the counts of p, as another process knows them, where they are
// higher.
func (b ProbeBudget) WithPart(now dragonflyinstant.Instant, p dragonflyquarantinedpart.Part) ProbeBudget {
	b.late, b.failed = max(b.late, p.LateCrashes), max(b.failed, p.FailedProbes)
	if p.Crashes > b.crashes {
		b.crashes, b.limitAt, b.latest = p.Crashes, now.Add(-p.LimitAge), max(b.latest, now.Add(-p.LatestAge))
	}
	return b
}

// Describe returns p with the counts of the budget.
func (b ProbeBudget) Describe(now dragonflyinstant.Instant, p dragonflyquarantinedpart.Part) dragonflyquarantinedpart.Part {
	p.Crashes, p.LateCrashes, p.FailedProbes = b.crashes, b.late, b.failed
	p.LimitAge, p.LatestAge, p.Exhausted = now.Sub(b.limitAt), now.Sub(b.latest), b.Exhausted()
	return p
}
