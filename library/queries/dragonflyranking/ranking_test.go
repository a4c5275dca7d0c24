package dragonflyranking_test

import (
	"fmt"
	"strconv"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/queries/dragonflyranking"
	"dragonflyrelay.example/library/values/dragonflycandidate"
	"dragonflyrelay.example/library/values/dragonflyroute"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func candidate(i, busy, limit int) dragonflycandidate.Candidate {
	return dragonflycandidate.Candidate{Route: dragonflyroute.Route{Key: "g" + strconv.Itoa(i), Zone: "zona-a"}, Busy: busy, Limit: limit}
}

func candidates(n int) []dragonflycandidate.Candidate {
	cs := make([]dragonflycandidate.Candidate, n)
	for i := range cs {
		cs[i] = candidate(i, 0, 8)
	}
	return cs
}

func first(r dragonflyranking.Ranking, prefix string, cs []dragonflycandidate.Candidate) string {
	return r.Order(prefix, 0, cs)[0].Route.Key
}

// roundRobin is the naive reference: it takes the routes in turn and looks at
// nothing.
type roundRobin struct{ next int }

func (r *roundRobin) pick(cs []dragonflycandidate.Candidate) int {
	r.next++
	return r.next % len(cs)
}

// drawCandidates draws routes with any load, in either of two regions.
func drawCandidates(t *rapid.T) []dragonflycandidate.Candidate {
	cs := make([]dragonflycandidate.Candidate, rapid.IntRange(1, 20).Draw(t, "routes"))
	for i := range cs {
		cs[i] = candidate(i, rapid.IntRange(0, 30).Draw(t, "busy"), rapid.IntRange(0, 16).Draw(t, "limit"))
		cs[i].Tried = rapid.IntRange(0, 4).Draw(t, "tried") == 0
		cs[i].Route.Region = rapid.SampledFrom([]string{"centro-mx", "sicilia"}).Draw(t, "region")
		cs[i].FirstToken = dragonflyduration.Duration(rapid.IntRange(0, 500).Draw(t, "first")) * dragonflyduration.Millisecond
	}
	return cs
}

// withinBound is the definition of the load bound, written in real numbers.
func withinBound(c dragonflycandidate.Candidate, all []dragonflycandidate.Candidate) bool {
	busy, limit := 1.0, 0.0
	for _, x := range all {
		busy += float64(x.Busy)
		limit += float64(max(x.Limit, 1))
	}
	return c.Busy == 0 || float64(c.Busy+1) < 1.25*busy/limit*float64(max(c.Limit, 1))+1
}

func TestOrder(t *testing.T) {
	r := dragonflyranking.Ranking{Region: "centro-mx", Zone: "zona-a"}

	Convey("A prefix keeps its route, also when another route is lost", t, func() {
		cs := candidates(20)
		for i := range 50 {
			prefix := fmt.Sprint("tela ", i)
			order := r.Order(prefix, 0, cs)
			So(first(r, prefix, append([]dragonflycandidate.Candidate{}, order[1:]...)), ShouldEqual, order[1].Route.Key)
			So(first(r, prefix, order[:19]), ShouldEqual, order[0].Route.Key)
		}
	})
	Convey("A route beyond the bound loses its prefix to another one", t, func() {
		cs := candidates(10)
		hot := r.Order("seda", 0, cs)[0].Route.Key
		for i := range cs {
			if cs[i].Route.Key == hot {
				cs[i].Busy = 8
			}
		}
		So(first(r, "seda", cs), ShouldNotEqual, hot)
	})
	Convey("Of two preferred routes the nearer one is taken unless it is much busier", t, func() {
		cs := candidates(2)
		order := r.Order("seda", 0, cs)
		order[0].Route.Zone = "zona-b"
		So(first(r, "seda", order), ShouldEqual, order[1].Route.Key)
		order[0].Busy, order[1].Busy = 1, 4
		So(first(r, "seda", order), ShouldEqual, order[0].Route.Key)
	})
	Convey("A route that would answer late comes after one that is in time", t, func() {
		cs := candidates(2)
		late := r.Order("seda", 0, cs)[0].Route.Key
		for i := range cs {
			if cs[i].Route.Key == late {
				cs[i].FirstToken = dragonflyduration.Second
			}
		}
		So(r.Order("seda", 200*dragonflyduration.Millisecond, cs)[0].Route.Key, ShouldNotEqual, late)
	})
	Convey("A policy can be replaced by a function", t, func() {
		r := dragonflyranking.Ranking{Affinity: func(_, route string) uint64 {
			if route == "g3" {
				return 1
			}
			return 0
		}}
		So(first(r, "seda", candidates(5)), ShouldEqual, "g3")
	})
}

func TestOrderAgainstDefinition(t *testing.T) {
	r := dragonflyranking.Ranking{Region: "centro-mx", Zone: "zona-a"}

	Convey("The first route agrees with the definition, for any order of the routes", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			cs := drawCandidates(t)
			order := r.Order("seda", 0, cs)
			if len(order) != len(cs) {
				t.Fatalf("%d of %d routes", len(order), len(cs))
			}
			best := order[0]
			for _, c := range cs {
				switch {
				case best.Tried && !c.Tried:
					t.Fatalf("%v was tried, %v was not", best, c)
				case best.Tried != c.Tried:
				case !withinBound(best, cs) && withinBound(c, cs):
					t.Fatalf("%v is beyond the bound, %v is not", best, c)
				case withinBound(best, cs) && withinBound(c, cs) && best.Route.Region != "centro-mx" && c.Route.Region == "centro-mx":
					t.Fatalf("%v is in another region, %v is not", best, c)
				}
			}
			shuffled := rapid.Permutation(cs).Draw(t, "order")
			if again := r.Order("seda", 0, shuffled); again[0].Route.Key != best.Route.Key {
				t.Fatalf("first is %s or %s by the order of the routes", again[0].Route.Key, best.Route.Key)
			}
		})
	})
	Convey("Against round robin, prefixes meet their caches and no route is busier than the bound", t, func() {
		ours, peak := play(func(prefix string, cs []dragonflycandidate.Candidate) int {
			key := first(r, prefix, cs)
			i, _ := strconv.Atoi(key[1:])
			return i
		})
		naive := &roundRobin{}
		theirs, _ := play(func(_ string, cs []dragonflycandidate.Candidate) int { return naive.pick(cs) })
		t.Logf("of 4000 requests with 200 prefixes on 64 routes that cache 8 prefixes each: hits %d, round robin %d, peak %d", ours, theirs, peak)
		So(ours, ShouldBeGreaterThan, 2*theirs)
		So(peak, ShouldBeLessThanOrEqualTo, 8)
	})
}

// play sends 4000 requests, 128 at a time, to 64 routes of limit 8 that cache
// the last 8 prefixes each, and returns the cache hits and the peak load.
func play(pick func(prefix string, cs []dragonflycandidate.Candidate) int) (hits, peak int) {
	cs := candidates(64)
	caches := make([][]string, len(cs))
	var running []int
	for i := range 4000 {
		prefix := fmt.Sprint("prefix ", (i*i+7*i)%200)
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

func BenchmarkOrder(b *testing.B) {
	cs := candidates(450) // 3,600 servers in groups of 8
	r := dragonflyranking.Ranking{Zone: "zona-a"}
	for b.Loop() {
		r.Order("una consulta de largo normal sobre telas", 0, cs)
	}
}
