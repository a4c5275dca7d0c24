package dragonflyranking_test

import (
	"fmt"
	"strconv"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/queries/dragonflyranking"
	"dragonflyrelay.example/library/values/dragonflyroutecandidate"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func candidate(i, busy, limit int) dragonflyroutecandidate.Candidate {
	return dragonflyroutecandidate.Candidate{Route: "g" + strconv.Itoa(i), Zone: "zona-a", Busy: busy, Limit: limit}
}

func candidates(n int) []dragonflyroutecandidate.Candidate {
	cs := make([]dragonflyroutecandidate.Candidate, n)
	for i := range cs {
		cs[i] = candidate(i, 0, 8)
	}
	return cs
}

func first(r dragonflyranking.Ranking, prefix string, cs []dragonflyroutecandidate.Candidate) string {
	c, _ := r.Best(prefix, 0, cs)
	return c.Route
}

// without returns cs without the route named key.
func without(key string, cs []dragonflyroutecandidate.Candidate) (out []dragonflyroutecandidate.Candidate) {
	for _, c := range cs {
		if c.Route != key {
			out = append(out, c)
		}
	}
	return out
}

// change returns cs with the route named key changed by set.
func change(key string, cs []dragonflyroutecandidate.Candidate, set func(c *dragonflyroutecandidate.Candidate)) []dragonflyroutecandidate.Candidate {
	out := append([]dragonflyroutecandidate.Candidate(nil), cs...)
	for i := range out {
		if out[i].Route == key {
			set(&out[i])
		}
	}
	return out
}

// roundRobin is a reference that takes the routes in turn.
type roundRobin struct{ next int }

func (r *roundRobin) pick(cs []dragonflyroutecandidate.Candidate) int {
	r.next++
	return r.next % len(cs)
}

// drawCandidates draws routes with random loads in two regions.
func drawCandidates(t *rapid.T) []dragonflyroutecandidate.Candidate {
	cs := make([]dragonflyroutecandidate.Candidate, rapid.IntRange(1, 20).Draw(t, "routes"))
	for i := range cs {
		cs[i] = candidate(i, rapid.IntRange(0, 30).Draw(t, "busy"), rapid.IntRange(0, 16).Draw(t, "limit"))
		cs[i].Tried = rapid.IntRange(0, 4).Draw(t, "tried") == 0
		cs[i].Region = rapid.SampledFrom([]string{"centro-mx", "sicilia"}).Draw(t, "region")
		cs[i].FirstToken = dragonflyduration.Duration(rapid.IntRange(0, 500).Draw(t, "first")) * dragonflyduration.Millisecond
	}
	return cs
}

// withinBound is the definition of the load bound in floating-point numbers.
func withinBound(c dragonflyroutecandidate.Candidate, all []dragonflyroutecandidate.Candidate) bool {
	busy, limit := 1.0, 0.0
	for _, x := range all {
		busy += float64(x.Busy)
		limit += float64(max(x.Limit, 1))
	}
	return c.Busy == 0 || float64(c.Busy+1) < 1.25*busy/limit*float64(max(c.Limit, 1))+1
}

func TestBest(t *testing.T) {
	r := dragonflyranking.Ranking{Region: "centro-mx", Zone: "zona-a"}
	cs := candidates(20)

	Convey("A prefix keeps its route when another route is lost", t, func() {
		for i := range 50 {
			prefix := fmt.Sprint("tela ", i)
			key := first(r, prefix, cs)
			for j := range cs {
				if lost := cs[j].Route; lost != key {
					So(first(r, prefix, without(lost, cs)), ShouldEqual, key)
				}
			}
		}
	})
	Convey("A prefix moves to another route when its route exceeds the load bound", t, func() {
		hot := first(r, "seda", cs)
		So(first(r, "seda", change(hot, cs, func(c *dragonflyroutecandidate.Candidate) { c.Busy = 8 })), ShouldNotEqual, hot)
	})
	Convey("The nearer of the two preferred routes is taken unless it is much busier", t, func() {
		a := first(r, "seda", cs)
		far := change(a, cs, func(c *dragonflyroutecandidate.Candidate) { c.Zone = "zona-b" })
		b := first(r, "seda", far)
		So(b, ShouldNotEqual, a)
		So(b, ShouldEqual, first(r, "seda", without(a, cs)))
		pair := without("", []dragonflyroutecandidate.Candidate{candidate(1, 0, 8), candidate(2, 0, 8)})
		near := first(r, "seda", change("g1", pair, func(c *dragonflyroutecandidate.Candidate) { c.Zone = "zona-b" }))
		So(near, ShouldEqual, "g2")
		So(first(r, "seda", change("g1", change("g2", pair, func(c *dragonflyroutecandidate.Candidate) { c.Busy = 4 }),
			func(c *dragonflyroutecandidate.Candidate) { c.Zone = "zona-b" })), ShouldEqual, "g1")
	})
	Convey("A route that would exceed the remaining time comes after one that would not", t, func() {
		late := first(r, "seda", cs)
		slow := change(late, cs, func(c *dragonflyroutecandidate.Candidate) { c.FirstToken = dragonflyduration.Second })
		c, _ := r.Best("seda", 200*dragonflyduration.Millisecond, slow)
		So(c.Route, ShouldNotEqual, late)
		c, _ = r.Best("seda", 2*dragonflyduration.Second, slow)
		So(c.Route, ShouldEqual, late)
	})
	Convey("There is no best route without candidates", t, func() {
		_, ok := r.Best("seda", 0, nil)
		So(ok, ShouldBeFalse)
	})
	Convey("A policy can be replaced by a function", t, func() {
		r := dragonflyranking.Ranking{Affinity: func(_ uint64, route string) uint64 {
			if route == "g3" {
				return 1
			}
			return 0
		}}
		So(first(r, "seda", candidates(5)), ShouldEqual, "g3")
	})
}

func TestBestAgainstDefinition(t *testing.T) {
	r := dragonflyranking.Ranking{Region: "centro-mx", Zone: "zona-a"}

	Convey("The best route agrees with the definition and does not depend on the order of the routes", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			cs := drawCandidates(t)
			best, _ := r.Best("seda", 0, cs)
			for _, c := range cs {
				switch {
				case best.Tried && !c.Tried:
					t.Fatalf("%v was tried, %v was not", best, c)
				case best.Tried != c.Tried:
				case !withinBound(best, cs) && withinBound(c, cs):
					t.Fatalf("%v is beyond the bound, %v is not", best, c)
				case withinBound(best, cs) && withinBound(c, cs) && best.Region != "centro-mx" && c.Region == "centro-mx":
					t.Fatalf("%v is in another region, %v is not", best, c)
				}
			}
			shuffled := rapid.Permutation(cs).Draw(t, "order")
			if again := first(r, "seda", shuffled); again != best.Route {
				t.Fatalf("best is %s or %s by the order of the routes", again, best.Route)
			}
		})
	})
	Convey("Prefixes hit caches more than twice as often as with round robin, and no route exceeds its limit", t, func() {
		ours, peak := simulate(func(prefix string, cs []dragonflyroutecandidate.Candidate) int {
			i, _ := strconv.Atoi(first(r, prefix, cs)[1:])
			return i
		})
		naive := &roundRobin{}
		theirs, _ := simulate(func(_ string, cs []dragonflyroutecandidate.Candidate) int { return naive.pick(cs) })
		t.Logf("of 4000 requests with 200 prefixes on 64 routes that cache 8 prefixes each: hits %d, round robin %d, peak %d", ours, theirs, peak)
		So(ours, ShouldBeGreaterThan, 2*theirs)
		So(peak, ShouldBeLessThanOrEqualTo, 8)
	})
}

// simulate sends 4000 requests, 128 at a time, to 64 routes with a limit of 8, each of
// which caches the last 8 prefixes, and returns the cache hits and the peak load.
func simulate(pick func(prefix string, cs []dragonflyroutecandidate.Candidate) int) (hits, peak int) {
	cs := candidates(64)
	caches := make([][]string, len(cs))
	var running []int
	random := uint32(1)
	for range 4000 {
		random = random*1664525 + 1013904223
		prefix := fmt.Sprint("prefix ", random>>16%200)
		at := pick(prefix, cs)
		cs[at].Busy++
		peak = max(peak, cs[at].Busy)
		running = append(running, at)
		if len(running) > 128 {
			cs[running[0]].Busy--
			running = running[1:]
		}
		for _, p := range caches[at] {
			if p == prefix {
				hits++
				break
			}
		}
		caches[at] = append(caches[at], prefix)
		caches[at] = caches[at][max(len(caches[at])-8, 0):]
	}
	return hits, peak
}

func BenchmarkBest(b *testing.B) {
	cs := candidates(450) // 3,600 servers in groups of 8
	r := dragonflyranking.Ranking{Zone: "zona-a"}
	for b.Loop() {
		r.Best("una consulta de largo normal sobre telas", 0, cs)
	}
}
