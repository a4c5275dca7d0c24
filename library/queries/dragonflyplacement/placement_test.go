package dragonflyplacement_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/queries/dragonflyplacement"
	"dragonflyrelay.example/library/values/dragonflycandidate"
	"dragonflyrelay.example/library/values/dragonflymember"
	"dragonflyrelay.example/library/values/dragonflyplacementview"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

type candidate = dragonflycandidate.Candidate

// score rates a plan by its groups inside a domain, inside a zone and in total, and by
// the accelerators in use. A later number matters only if the earlier ones are equal.
type score [4]int

func (s score) less(o score) bool {
	for i := range s {
		if s[i] != o[i] {
			return s[i] < o[i]
		}
	}
	return false
}

// with adds a group to the score; ok is false if the group is not allowed.
func (s score) with(v dragonflyplacementview.View, g []candidate) (next score, ok bool) {
	domain, zone, region := true, true, true
	for _, c := range g {
		domain = domain && c.SameDomain(g[0])
		zone = zone && c.SameZone(g[0])
		region = region && c.Region == g[0].Region && c.Model == g[0].Model
		s[3] += c.Accelerators
	}
	for i, in := range []bool{domain && region, zone && region, true} {
		if in {
			s[i]++
		}
	}
	return s, region && (domain || v.CrossDomain)
}

// bestScore returns the best score of all ways to divide the candidates into groups of
// v.GroupSize. The first candidate either remains free or joins later ones.
func bestScore(v dragonflyplacementview.View, left, chosen []candidate, s score) score {
	if len(left) == 0 && len(chosen) == 0 {
		return s
	}
	if len(chosen) == v.GroupSize {
		next, ok := s.with(v, chosen)
		if !ok {
			return score{-1}
		}
		return bestScore(v, left, nil, next)
	}
	if len(chosen) == 0 {
		top := bestScore(v, left[1:], nil, s)
		if other := bestScore(v, left[1:], left[:1:1], s); top.less(other) {
			top = other
		}
		return top
	}
	top := score{-1}
	for i := range left {
		rest := append(append([]candidate{}, left[:i]...), left[i+1:]...)
		// Members are chosen in order, so that each group is tried once.
		if left[i].Member.Instance < chosen[len(chosen)-1].Member.Instance {
			continue
		}
		if other := bestScore(v, rest, append(chosen[:len(chosen):len(chosen)], left[i]), s); top.less(other) {
			top = other
		}
	}
	return top
}

func drawFree(t *rapid.T, most int) []candidate {
	out := make([]candidate, rapid.IntRange(0, most).Draw(t, "candidates"))
	for i := range out {
		out[i] = candidate{
			Member:       dragonflymember.Member{Instance: fmt.Sprintf("i%02d", i)},
			Region:       rapid.SampledFrom([]string{"r", "r", "s"}).Draw(t, "region"),
			Zone:         rapid.SampledFrom([]string{"za", "zb"}).Draw(t, "zone"),
			Domain:       rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "domain"),
			Model:        rapid.SampledFrom([]string{"m", "m", "n"}).Draw(t, "model"),
			Accelerators: rapid.IntRange(1, 4).Draw(t, "accelerators"),
			Suspect:      rapid.Bool().Draw(t, "suspect"),
		}
	}
	return out
}

// scoreOf returns the score of the plan for v. It fails the test if a group is not
// allowed, is described wrongly or uses an instance that is not free.
func scoreOf(t *rapid.T, v dragonflyplacementview.View) (s score) {
	at := map[string]candidate{}
	for _, c := range v.Free {
		at[c.Member.Instance] = c
	}
	for _, f := range dragonflyplacement.Plan(v).Form {
		var g []candidate
		for _, m := range f.Members {
			c, ok := at[m.Instance]
			if !ok {
				t.Fatalf("%s is used twice or unknown", m.Instance)
			}
			delete(at, m.Instance)
			g = append(g, c)
		}
		next, ok := s.with(v, g)
		if !ok || len(g) != v.GroupSize {
			t.Fatalf("group %v is not allowed", g)
		}
		if f.CrossDomain != (next[0] == s[0]) || (f.Zone == "") != (next[1] == s[1]) {
			t.Fatalf("%+v describes %v wrongly", f, g)
		}
		s = next
	}
	return s
}

func TestPlan(t *testing.T) {
	Convey("The plan has the best score of all ways to divide the instances into groups", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			v := dragonflyplacementview.View{
				GroupSize:   rapid.IntRange(1, 3).Draw(t, "size"),
				CrossDomain: rapid.Bool().Draw(t, "cross"),
				Free:        drawFree(t, 8),
			}
			if got, want := scoreOf(t, v), bestScore(v, v.Free, nil, score{}); got != want {
				t.Fatalf("plan has %v, best is %v", got, want)
			}
		})
	})
	Convey("The plan does not depend on the order of the instances", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			v := dragonflyplacementview.View{GroupSize: 3, CrossDomain: true, Free: drawFree(t, 30)}
			want := fmt.Sprint(dragonflyplacement.Plan(v))
			v.Free = rapid.Permutation(v.Free).Draw(t, "permutation")
			if got := fmt.Sprint(dragonflyplacement.Plan(v)); got != want {
				t.Fatalf("got %s, want %s", got, want)
			}
		})
	})
	Convey("The spares of a domain join groups inside the domain, but none across domains", t, func() {
		at := func(id, domain string) candidate {
			return candidate{Member: dragonflymember.Member{Instance: id}, Zone: "za", Domain: domain, Accelerators: 1}
		}
		v := dragonflyplacementview.View{
			GroupSize: 2, CrossDomain: true,
			Free:   []candidate{at("1", "d1"), at("2", "d1"), at("3", "d1"), at("4", "d2")},
			Spares: func(c candidate) int { return map[string]int{"d1": 1}[c.Domain] },
		}
		So(len(dragonflyplacement.Plan(v).Form), ShouldEqual, 1)
		v.Spares = nil
		So(len(dragonflyplacement.Plan(v).Form), ShouldEqual, 2)
	})
}

// BenchmarkPlan plans from 3,600 free instances in 8 zones.
func BenchmarkPlan(b *testing.B) {
	v := dragonflyplacementview.View{GroupSize: 8, CrossDomain: true}
	for i := range 3600 {
		v.Free = append(v.Free, candidate{
			Member: dragonflymember.Member{Instance: fmt.Sprintf("i%04d", i)},
			Region: fmt.Sprint("r", i%2), Zone: fmt.Sprint("z", i%8), Domain: fmt.Sprint("d", i%104), Model: "m", Accelerators: 1,
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		dragonflyplacement.Plan(v)
	}
}
