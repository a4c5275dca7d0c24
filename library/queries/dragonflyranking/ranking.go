// Package dragonflyranking selects the route for a request. It prefers the routes
// that are likely to hold the prompt's prefix in their cache, unless they are busier
// than the others.
package dragonflyranking

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyroutecandidate"
)

const (
	// AffinityBytes is the length of the prompt prefix that determines the
	// preferred routes. It covers the beginning of a usual system prompt.
	AffinityBytes = 256
	// loadBoundPerMille is the ratio of a route's load to the mean above which
	// requests overflow to the next route, as in consistent hashing with bounded
	// loads. 1.25 keeps the overflow at each step small.
	loadBoundPerMille = 1250
	// choices is the number of preferred routes from which the less busy one is
	// taken: two choices already remove most of the imbalance.
	choices = 2
	// utilizationSlackPerMille is the difference in utilization above which the
	// second choice is preferred to the first. With a smaller one, cached prefixes
	// would be lost to differences that only reflect the age of the load samples.
	utilizationSlackPerMille = 250
)

// Ranking selects a route among candidates. The zero value uses the default policies,
// each of which can be replaced by a function field.
type Ranking struct {
	// Region and Zone are the location of the entry.
	Region, Zone string
	// Affinity rates a route for the prefix with the given hash; the highest rate is
	// preferred.
	Affinity func(prefix uint64, route string) uint64
	// Utilization returns the load of a route in per mille of its limit.
	Utilization func(c dragonflyroutecandidate.Candidate) int
	// Distance returns 0 for a route in the same zone, 1 for one in the same region
	// and 2 for one in another region. Other regions come last; within the region
	// the distance decides only between the preferred routes.
	Distance func(region, zone string, c dragonflyroutecandidate.Candidate) int
	// Estimate predicts the time until the first token on a route.
	Estimate func(c dragonflyroutecandidate.Candidate) dragonflyduration.Duration
}

// ranked is a candidate with its ratings, each computed once.
type ranked struct {
	c           *dragonflyroutecandidate.Candidate
	affinity    uint64
	utilization int
	distance    int
	tier        int
}

// Best returns the candidate for a request with the given prompt prefix and remaining
// time (0 means no deadline); ok is false if cs is empty. Candidates within the time
// and the load bound come first, in order of region and affinity, then busy ones by
// utilization, then those that would exceed the time. Tried candidates follow in the
// same order. Of the first two, the much less busy or the nearer one is taken. Best
// needs a single pass, since an entry of the target size has 450 candidates for every
// request, and does not write to cs.
func (r Ranking) Best(prefix string, remaining dragonflyduration.Duration, cs []dragonflyroutecandidate.Candidate) (c dragonflyroutecandidate.Candidate, ok bool) {
	if len(cs) == 0 {
		return c, false
	}
	r = r.withDefaults()
	busy, limit := 1, 0 // The new request counts as busy.
	for i := range cs {
		busy += cs[i].Busy
		limit += max(cs[i].Limit, 1)
	}
	hash := hashOf(prefix[:min(len(prefix), AffinityBytes)])
	var top [choices]ranked
	for i := range cs {
		x := r.rate(&cs[i], hash)
		x.tier = r.tier(cs[i], remaining, busy, limit)
		switch {
		case top[0].c == nil || less(x, top[0]):
			top[0], top[1] = x, top[0]
		case top[1].c == nil || less(x, top[1]):
			top[1] = x
		}
	}
	if preferSecond(top[1], top[0]) {
		return *top[1].c, true
	}
	return *top[0].c, true
}

func (r Ranking) rate(c *dragonflyroutecandidate.Candidate, hash uint64) ranked {
	return ranked{c: c, affinity: r.Affinity(hash, c.Route), utilization: r.Utilization(*c), distance: r.Distance(r.Region, r.Zone, *c)}
}

// Tiers of candidates, best first.
const (
	tierFree = iota
	tierBusy
	tierLate
)

// tier compares the load of c, with one more request, to the bound over all
// candidates. One request is always allowed, so that the bound of a small limit does
// not round to 0.
func (r Ranking) tier(c dragonflyroutecandidate.Candidate, remaining dragonflyduration.Duration, busy, limit int) int {
	capacity := (loadBoundPerMille*busy*max(c.Limit, 1) + 1000*limit - 1) / (1000 * limit)
	switch {
	case remaining > 0 && r.Estimate(c) > remaining:
		return tierLate
	case c.Busy+1 > max(capacity, 1):
		return tierBusy
	default:
		return tierFree
	}
}

func less(a, b ranked) bool {
	switch {
	case a.c.Tried != b.c.Tried:
		return b.c.Tried
	case a.tier != b.tier:
		return a.tier < b.tier
	case a.tier == tierBusy && a.utilization != b.utilization:
		return a.utilization < b.utilization
	case a.remote() != b.remote():
		return b.remote()
	case a.affinity != b.affinity:
		return a.affinity > b.affinity
	default:
		return a.c.Route < b.c.Route
	}
}

// remote reports whether the route is in another region, whose latency outweighs a
// cached prefix.
func (x ranked) remote() bool { return x.distance > 1 }

// preferSecond reports whether the second candidate b is preferred to the first one,
// a, because it is much less busy, or about as busy and nearer. Every entry prefers the
// same two routes for a prefix, so that the prefix is cached on these two.
func preferSecond(b, a ranked) bool {
	if b.c == nil || a.c.Tried != b.c.Tried || a.tier != b.tier || a.remote() != b.remote() {
		return false
	}
	return a.utilization > b.utilization+utilizationSlackPerMille || (b.distance < a.distance && b.utilization <= a.utilization+utilizationSlackPerMille)
}

func (r Ranking) withDefaults() Ranking {
	if r.Affinity == nil {
		r.Affinity = affinity
	}
	if r.Utilization == nil {
		r.Utilization = utilization
	}
	if r.Distance == nil {
		r.Distance = distance
	}
	if r.Estimate == nil {
		r.Estimate = estimate
	}
	return r
}

// affinity implements rendezvous hashing: all entries agree on the order of the routes
// for a prefix, and the loss of a route moves only its own prefixes.
func affinity(prefix uint64, route string) uint64 {
	// FNV barely mixes the last bytes into the high bits that decide the
	// order; this finalizer (from MurmurHash3) does.
	x := hashOf(route) ^ prefix
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// hashOf returns the 64-bit FNV-1a hash of s.
func hashOf(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

func utilization(c dragonflyroutecandidate.Candidate) int { return 1000 * c.Busy / max(c.Limit, 1) }

func distance(region, zone string, c dragonflyroutecandidate.Candidate) int {
	switch {
	case region != "" && c.Region != "" && c.Region != region:
		return 2
	case c.Zone != zone:
		return 1
	default:
		return 0
	}
}

// estimate assumes that the requests ahead of the new one are served in batches of the
// route's limit, each of which takes the time to first token.
func estimate(c dragonflyroutecandidate.Candidate) dragonflyduration.Duration {
	batches := 1 + max(c.Busy-c.Limit, 0)/max(c.Limit, 1)
	return c.FirstToken * dragonflyduration.Duration(batches)
}
