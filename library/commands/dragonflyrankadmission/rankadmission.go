// Package dragonflyrankadmission applies the leader's admission for one model to the requests
// of one entry. It addresses an overload in which requests have to be refused: the less
// urgent ones first, and among equals those of workspaces above their even share and large
// ones, within bounds of fairness.
package dragonflyrankadmission

import (
	"math"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflymodeladmission"
	"dragonflyrelay.example/library/values/dragonflymodeldemand"
)

const (
	// ValidFor is the time for which a decision of the leader is applied. It covers three
	// requests to control.
	ValidFor = 2 * dragonflyduration.Second
	// LeastShare is the share of the mean admitted fraction that each rank gets. With less
	// than a quarter, a kind of request would be treated unfairly.
	LeastShare = 0.3
	// ownPart is the weight of the entry's own measure of the overload.
	ownPart = 0.6
	// leastServed is the part of the fraction of a rank that each request of it gets: large
	// requests must be served at least half as often as their kind.
	leastServed = 0.55
	// memory is the time constant of the sums of recent work.
	memory = dragonflyduration.Second
	// leastWeight and mostWeight bound how much less or more often than others the requests
	// of a workspace, or of a size, are refused.
	leastWeight = 0.5
	mostWeight  = 2
	// correction is the weight of a request in the mean of the weights.
	correction = 0.05
	// owedPart is the part of the missing refusals that the next request makes up for, and
	// mostOwed the largest number of them.
	owedPart = 0.2
	mostOwed = 5
	// maxWorkspaces bounds the workspaces that are counted one by one.
	maxWorkspaces = 256
	// golden is the fractional part of the golden ratio. Its multiples spread the refusals
	// evenly over the requests, whatever their order is.
	golden = 0.6180339887498949
)

// recent is the work of the last seconds.
type recent struct {
	work, requests float64
}

// rank is the state of one rank.
type rank struct {
	recent
	count uint64  // of decisions
	owed  float64 // refusals that the bounds have prevented
	mean  float64 // of the weights
}

// Admission is the state of one model at an entry. The zero Admission admits all requests.
type Admission struct {
	decision   dragonflymodeladmission.Admission
	at         dragonflyinstant.Instant
	decided    bool
	updatedAt  dragonflyinstant.Instant
	ranks      dragonflymap.Map[int, rank]
	workspaces dragonflymap.Map[string, recent]
}

// WithDecision returns the state with the leader's decision d, received at now.
func (a Admission) WithDecision(now dragonflyinstant.Instant, d dragonflymodeladmission.Admission) Admission {
	a.decision, a.at, a.decided = d, now, true
	return a
}

// Valid reports whether there is a decision to apply at now.
func (a Admission) Valid(now dragonflyinstant.Instant) bool {
	return a.decided && now.Sub(a.at) < ValidFor
}

// Decide returns the state after a request with a prompt of the given tokens, and whether
// to refuse it. Own is the part of all requests that the entry would refuse by the times to
// the first event that it sees.
func (a Admission) Decide(now dragonflyinstant.Instant, own float64, urgency int, workspace string, tokens float64) (next Admission, refuse bool) {
	work := tokens + dragonflymodeldemand.DecodeTokens
	a = a.decayed(now).withWork(urgency, workspace, work)
	if !a.Valid(now) {
		return a, false
	}
	fraction := a.fraction(own, urgency)
	if fraction >= 1 {
		return a, false
	}
	r, _ := a.ranks.Get(urgency)
	w := a.weight(r, workspace, work)
	if r.mean == 0 {
		r.mean = w
	}
	r.mean += (w - r.mean) * correction
	p := (1-fraction)*w/r.mean + r.owed*owedPart
	p = min(max(p, 0), 1-leastServed*fraction)
	r.owed = min(max(r.owed+1-fraction-p, -mostOwed), mostOwed)
	r.count++
	_, u := math.Modf(float64(r.count) * golden)
	a.ranks = a.ranks.With(urgency, r)
	return a, u < p
}

// fraction returns the fraction of the requests of a rank that is admitted. The whole is
// what the entry alone and the leader, for the ranks that the entry has, would admit. The
// entry sees a change earlier, the leader more of it.
func (a Admission) fraction(own float64, urgency int) float64 {
	total, led := 0.0, 0.0
	for rank, r := range a.ranks.All() {
		total += r.work
		switch {
		case rank < a.decision.Rank:
			led += r.work
		case rank == a.decision.Rank:
			led += r.work * a.decision.Fraction
		}
	}
	if total == 0 {
		return 1
	}
	admitted := min(ownPart*(1-own)+(1-ownPart)*led/total, 1-own)
	rest := (1 - LeastShare) * admitted * total
	least := LeastShare * admitted
	for rank, r := range a.ranks.All() {
		more := (1 - least) * r.work
		if rank == urgency {
			return least + (1-least)*min(max(rest/more, 0), 1)
		}
		rest -= more
	}
	return least
}

// weight returns how much more often than others a request is refused: by the work of its
// workspace over the even share, and by its own over the mean of its rank.
func (a Admission) weight(r rank, workspace string, work float64) float64 {
	total, n := 0.0, 0.0
	for _, w := range a.workspaces.All() {
		total += w.work
		n++
	}
	own, ok := a.workspaces.Get(workspace)
	share := 1.0
	if ok && total > 0 {
		share = own.work * n / total
	}
	size := work * r.requests / r.work
	return min(max(share, leastWeight), mostWeight) * min(max(size, leastWeight), mostWeight)
}

// withWork adds a request to the sums.
func (a Admission) withWork(urgency int, workspace string, work float64) Admission {
	r, _ := a.ranks.Get(urgency)
	r.work, r.requests = r.work+work, r.requests+1
	a.ranks = a.ranks.With(urgency, r)
	w, ok := a.workspaces.Get(workspace)
	if ok || a.workspaces.Len() < maxWorkspaces {
		a.workspaces = a.workspaces.With(workspace, recent{work: w.work + work, requests: w.requests + 1})
	}
	return a
}

// decayed returns the state with the sums as they are at now. They are corrected ten times
// in their time constant, and forgotten when nothing is left of them.
func (a Admission) decayed(now dragonflyinstant.Instant) Admission {
	passed := now.Sub(a.updatedAt)
	if passed < memory/10 {
		return a
	}
	a.updatedAt = now
	left := math.Exp(-passed.Seconds() / memory.Seconds())
	for urgency, r := range a.ranks.All() {
		r.work, r.requests = r.work*left, r.requests*left
		if a.ranks = a.ranks.With(urgency, r); r.requests < 0.01 {
			a.ranks = a.ranks.Without(urgency)
		}
	}
	for name, w := range a.workspaces.All() {
		w = recent{work: w.work * left, requests: w.requests * left}
		if a.workspaces = a.workspaces.With(name, w); w.requests < 0.01 {
			a.workspaces = a.workspaces.Without(name)
		}
	}
	return a
}
