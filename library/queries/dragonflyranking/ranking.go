// Package dragonflyranking orders the routes for one request. It prefers the
// routes that are likely to hold the prompt's prefix in their cache, as long as
// they are not busier than the others.
package dragonflyranking

import (
	"hash/fnv"
	"sort"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyroutecandidate"
)

const (
	// AffinityBytes is the length of the prefix of a prompt that decides on
	// the preferred routes. It covers a usual system prompt's beginning.
	AffinityBytes = 256
	// boundPerMille is how much busier than the mean a route may be before
	// requests overflow to the next one: 1.25 keeps the overflow at each
	// step small (bounded-load consistent hashing).
	boundPerMille = 1250
	// choices is the number of preferred routes of which the less busy one is
	// taken: two choices already remove most of the imbalance.
	choices = 2
	// slackPerMille is the difference of use, of a route's limit, above which
	// the second choice is preferred to the first. A smaller one would give
	// up cached prefixes for differences within the age of the load samples.
	slackPerMille = 250
)

// Ranking orders candidates. The zero value has the default policies; a
// function field replaces one of them.
type Ranking struct {
	// Region and Zone are those of the entry.
	Region, Zone string
	// Affinity rates how much a route is preferred for a prefix.
	Affinity func(prefix, route string) uint64
	// Use rates how busy a route is, per mille of its limit.
	Use func(c dragonflyroutecandidate.Candidate) int
	// Distance rates how far a route is: 0 for the own zone, 1 for the own
	// region, 2 for another region. Other regions come last; within the region
	// the distance decides between the preferred routes only.
	Distance func(region, zone string, c dragonflyroutecandidate.Candidate) int
	// Estimate predicts the time until the first token on a route.
	Estimate func(c dragonflyroutecandidate.Candidate) dragonflyduration.Duration
}

// ranked is a candidate with its ratings, which are computed once.
type ranked struct {
	c        dragonflyroutecandidate.Candidate
	affinity uint64
	use      int
	distance int
	tier     int
}

// Order returns the candidates, best first: those within the class's remaining
// time and the load bound in order of region and affinity, then the busy
// ones by use, then those that would be late, then those already tried. A
// remaining time of 0 means none. It does not write to its arguments.
func (r Ranking) Order(prefix string, remaining dragonflyduration.Duration, cs []dragonflyroutecandidate.Candidate) []dragonflyroutecandidate.Candidate {
	rs := r.rate(prefix, remaining, cs)
	sort.SliceStable(rs, func(i, j int) bool { return less(rs[i], rs[j]) })
	preferBetter(rs)
	out := make([]dragonflyroutecandidate.Candidate, len(rs))
	for i, x := range rs {
		out[i] = x.c
	}
	return out
}

func (r Ranking) rate(prefix string, remaining dragonflyduration.Duration, cs []dragonflyroutecandidate.Candidate) []ranked {
	r = r.withDefaults()
	prefix = prefix[:min(len(prefix), AffinityBytes)]
	rs := make([]ranked, len(cs))
	busy, limit := 0, 0
	for i, c := range cs {
		rs[i] = ranked{c: c, affinity: r.Affinity(prefix, c.Route.Key), use: r.Use(c), distance: r.Distance(r.Region, r.Zone, c)}
		busy += c.Busy
		limit += max(c.Limit, 1)
	}
	for i := range rs {
		rs[i].tier = r.tier(rs[i].c, remaining, busy+1, limit)
	}
	return rs
}

// Tiers of candidates, best first.
const (
	tierFree = iota
	tierBusy
	tierLate
	tierTried
)

// tier compares the use of c, with one more request, to the bound over all
// candidates. A whole request is always allowed, so that small limits do not
// round to none.
func (r Ranking) tier(c dragonflyroutecandidate.Candidate, remaining dragonflyduration.Duration, busy, limit int) int {
	capacity := (boundPerMille*busy*max(c.Limit, 1) + 1000*limit - 1) / (1000 * limit)
	switch {
	case c.Tried:
		return tierTried
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
	case a.tier != b.tier:
		return a.tier < b.tier
	case a.tier == tierBusy && a.use != b.use:
		return a.use < b.use
	case a.remote() != b.remote():
		return b.remote()
	case a.affinity != b.affinity:
		return a.affinity > b.affinity
	default:
		return a.c.Route.Key < b.c.Route.Key
	}
}

// remote tells whether the route is in another region, whose distance outweighs
// a cached prefix.
func (x ranked) remote() bool { return x.distance > 1 }

// preferBetter swaps the first two candidates if the second is much less busy,
// or about as busy and nearer. Both are the preferred routes of the prefix for
// every entry, so a swap costs no cached prefix in the long run.
func preferBetter(rs []ranked) {
	if len(rs) < choices || rs[0].tier != rs[1].tier || rs[0].remote() != rs[1].remote() {
		return
	}
	a, b := rs[0], rs[1]
	if a.use > b.use+slackPerMille || (b.distance < a.distance && b.use <= a.use+slackPerMille) {
		rs[0], rs[1] = b, a
	}
}

func (r Ranking) withDefaults() Ranking {
	if r.Affinity == nil {
		r.Affinity = affinity
	}
	if r.Use == nil {
		r.Use = use
	}
	if r.Distance == nil {
		r.Distance = distance
	}
	if r.Estimate == nil {
		r.Estimate = estimate
	}
	return r
}

// affinity is rendezvous hashing: every entry agrees on the order of the routes
// for a prefix, and a lost route moves only its own prefixes.
func affinity(prefix, route string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(route))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(prefix))
	// FNV barely mixes the last bytes into the high bits that decide the
	// order; this finalizer (from MurmurHash3) does.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func use(c dragonflyroutecandidate.Candidate) int { return 1000 * c.Busy / max(c.Limit, 1) }

func distance(region, zone string, c dragonflyroutecandidate.Candidate) int {
	switch {
	case region != "" && c.Route.Region != "" && c.Route.Region != region:
		return 2
	case c.Route.Zone != zone:
		return 1
	default:
		return 0
	}
}

// estimate takes the requests ahead of the new one to be served in turns of the
// route's limit, each as long as a first token takes.
func estimate(c dragonflyroutecandidate.Candidate) dragonflyduration.Duration {
	turns := 1 + max(c.Busy-c.Limit, 0)/max(c.Limit, 1)
	return c.FirstToken * dragonflyduration.Duration(turns)
}
