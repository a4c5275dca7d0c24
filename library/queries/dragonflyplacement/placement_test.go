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

func candidates(t *rapid.T) []dragonflycandidate.Candidate {
	out := make([]dragonflycandidate.Candidate, rapid.IntRange(0, 40).Draw(t, "candidates"))
	for i := range out {
		out[i] = dragonflycandidate.Candidate{
			Member:       dragonflymember.Member{Instance: fmt.Sprint("i", i)},
			Zone:         rapid.SampledFrom([]string{"za", "zb"}).Draw(t, "zone"),
			Domain:       rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "domain"),
			Model:        rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model"),
			Accelerators: rapid.IntRange(1, 2).Draw(t, "accelerators"),
		}
	}
	return out
}

func TestPlan(t *testing.T) {
	Convey("Groups are whole, disjoint and inside one domain, and no further one is possible", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			v := dragonflyplacementview.View{GroupSize: rapid.IntRange(1, 5).Draw(t, "size"), Free: candidates(t)}
			at := map[string]dragonflycandidate.Candidate{}
			left := map[string]int{}
			pool := func(c dragonflycandidate.Candidate) string { return c.Model + c.Zone + c.Domain }
			for _, c := range v.Free {
				at[c.Member.Instance] = c
				left[pool(c)]++
			}
			for _, g := range dragonflyplacement.Plan(v).Form {
				if len(g.Members) != v.GroupSize {
					t.Fatalf("group of %d", len(g.Members))
				}
				first := at[g.Members[0].Instance]
				for _, m := range g.Members {
					c, ok := at[m.Instance]
					if !ok || pool(c) != pool(first) {
						t.Fatalf("%s is used twice or in the wrong place", m.Instance)
					}
					delete(at, m.Instance)
					left[pool(c)]--
				}
			}
			for p, n := range left {
				if n >= v.GroupSize {
					t.Fatalf("%d of %s are left", n, p)
				}
			}
		})
	})
}
