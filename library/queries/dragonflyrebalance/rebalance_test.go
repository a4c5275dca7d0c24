package dragonflyrebalance_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/queries/dragonflyplacement"
	"dragonflyrelay.example/library/queries/dragonflyrebalance"
	"dragonflyrelay.example/library/values/dragonflycandidate"
	"dragonflyrelay.example/library/values/dragonflymember"
	"dragonflyrelay.example/library/values/dragonflyplacedgroup"
	"dragonflyrelay.example/library/values/dragonflyplacementview"
	"dragonflyrelay.example/library/values/dragonflyrebalanceview"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

type candidate = dragonflycandidate.Candidate

func drawFree(t *rapid.T) (out []candidate) {
	for i := range rapid.IntRange(0, 24).Draw(t, "instances") {
		out = append(out, candidate{
			Member: dragonflymember.Member{Instance: fmt.Sprintf("i%02d", i)}, Model: "m", Region: "r",
			Zone:   rapid.SampledFrom([]string{"za", "zb"}).Draw(t, "zone"),
			Domain: rapid.SampledFrom([]string{"d1", "d2", "d3"}).Draw(t, "domain"), Accelerators: 1,
		})
	}
	return out
}

// rebalanceAll forms and dissolves groups until none is to be dissolved, and returns
// the number of dissolved groups. It fails the test if they exceed their bound: each
// group of another size is dissolved at most once, as new groups have the configured
// size, and each other dissolution adds a group inside one domain, of which there are
// at most as many as the instances suffice for.
func rebalanceAll(t *rapid.T, v dragonflyrebalanceview.View) (dissolved int) {
	instances := len(v.Free)
	for _, g := range v.Groups {
		instances += len(g.Members)
	}
	most := len(v.Groups) + instances/v.GroupSize
	for ; ; dissolved++ {
		v = form(v)
		id, ok := dragonflyrebalance.GroupToDissolve(v)
		if !ok {
			return dissolved
		}
		if dissolved > most {
			t.Fatalf("groups are dissolved again and again: %+v", v)
		}
		v = dissolve(v, id)
	}
}

func form(v dragonflyrebalanceview.View) dragonflyrebalanceview.View {
	at := map[string]candidate{}
	for _, c := range v.Free {
		at[c.Member.Instance] = c
	}
	for _, f := range dragonflyplacement.Plan(dragonflyplacementview.View{GroupSize: v.GroupSize, CrossDomain: v.CrossDomain, Free: v.Free}).Form {
		g := dragonflyplacedgroup.Group{ID: 1, Model: f.Model}
		if n := len(v.Groups); n > 0 {
			g.ID = v.Groups[n-1].ID + 1
		}
		for _, m := range f.Members {
			g.Members = append(g.Members, at[m.Instance])
			delete(at, m.Instance)
		}
		v.Groups = append(v.Groups[:len(v.Groups):len(v.Groups)], g)
	}
	v.Free = nil
	for _, c := range at {
		v.Free = append(v.Free, c)
	}
	return v
}

func dissolve(v dragonflyrebalanceview.View, id uint64) dragonflyrebalanceview.View {
	var kept []dragonflyplacedgroup.Group
	for _, g := range v.Groups {
		if g.ID == id {
			v.Free = append(v.Free[:len(v.Free):len(v.Free)], g.Members...)
			continue
		}
		kept = append(kept, g)
	}
	v.Groups = kept
	return v
}

// shouldDissolve is a reference that counts the groups of each domain and region
// before and after g is dissolved.
func shouldDissolve(v dragonflyrebalanceview.View, g dragonflyplacedgroup.Group) bool {
	count := func(free []candidate) (total, inDomain int) {
		domains, regions := map[string]int{}, map[string]int{}
		for _, c := range free {
			domains[c.Model+c.Region+c.Zone+c.Domain]++
			regions[c.Model+c.Region]++
		}
		for _, n := range domains {
			inDomain += n / v.GroupSize
		}
		for _, n := range regions {
			total += n / v.GroupSize
		}
		return total, inDomain
	}
	total, inDomain := count(v.Free)
	totalAfter, inDomainAfter := count(append(v.Free[:len(v.Free):len(v.Free)], g.Members...))
	return g.CrossDomain() && (!v.CrossDomain || totalAfter > total && inDomainAfter > inDomain)
}

func drawGroups(t *rapid.T, v dragonflyrebalanceview.View) dragonflyrebalanceview.View {
	var free []candidate
	for i, c := range drawFree(t) {
		c.Member.Instance = fmt.Sprint("g", i)
		if free = append(free, c); len(free) == v.GroupSize {
			v.Groups = append(v.Groups, dragonflyplacedgroup.Group{ID: uint64(i + 1), Model: "m", Members: free})
			free = nil
		}
	}
	return v
}

func TestGroupToDissolve(t *testing.T) {
	Convey("The first group across domains is found that no class allows or whose dissolution improves the placement", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			v := drawGroups(t, dragonflyrebalanceview.View{GroupSize: rapid.IntRange(1, 4).Draw(t, "size"), CrossDomain: rapid.Bool().Draw(t, "cross"), Free: drawFree(t)})
			var want uint64
			for _, g := range v.Groups {
				if want == 0 && shouldDissolve(v, g) {
					want = g.ID
				}
			}
			if got, ok := dragonflyrebalance.GroupToDissolve(v); got != want || ok != (want != 0) {
				t.Fatalf("dissolves %d, want %d", got, want)
			}
		})
	})
	Convey("No group that the placement has just formed is dissolved", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			v := dragonflyrebalanceview.View{GroupSize: rapid.IntRange(1, 4).Draw(t, "size"), CrossDomain: rapid.Bool().Draw(t, "cross"), Free: drawFree(t)}
			if dissolved := rebalanceAll(t, v); dissolved != 0 {
				t.Fatalf("%d groups dissolved", dissolved)
			}
		})
	})
	Convey("Rebalancing ends after a change of the group size or the free instances", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			v := dragonflyrebalanceview.View{GroupSize: rapid.IntRange(1, 4).Draw(t, "size"), CrossDomain: true, Free: drawFree(t)}
			v = form(v)
			v.GroupSize = rapid.IntRange(1, 4).Draw(t, "next size")
			v.CrossDomain = rapid.Bool().Draw(t, "next cross")
			for i, c := range drawFree(t) {
				c.Member.Instance = fmt.Sprint("new", i)
				v.Free = append(v.Free, c)
			}
			rebalanceAll(t, v)
		})
	})
	Convey("A group across two domains is dissolved once one inside a domain can replace it", t, func() {
		at := func(id, domain string) candidate {
			return candidate{Member: dragonflymember.Member{Instance: id}, Model: "m", Domain: domain, Accelerators: 1}
		}
		wide := dragonflyplacedgroup.Group{ID: 3, Model: "m", Members: []candidate{at("1", "d1"), at("2", "d2")}}
		v := dragonflyrebalanceview.View{GroupSize: 2, CrossDomain: true, Groups: []dragonflyplacedgroup.Group{wide}}
		_, ok := dragonflyrebalance.GroupToDissolve(v)
		So(ok, ShouldBeFalse)
		v.Free = []candidate{at("3", "d1")}
		id, ok := dragonflyrebalance.GroupToDissolve(v)
		So(ok, ShouldBeTrue)
		So(id, ShouldEqual, 3)
	})
}
