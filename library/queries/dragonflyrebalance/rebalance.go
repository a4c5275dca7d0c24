// Package dragonflyrebalance decides which standing group to give up for a better
// placement.
package dragonflyrebalance

import (
	"slices"

	"dragonflyrelay.example/library/queries/dragonflyplacement"
	"dragonflyrelay.example/library/values/dragonflycandidate"
	"dragonflyrelay.example/library/values/dragonflyplacedgroup"
	"dragonflyrelay.example/library/values/dragonflyplacementview"
	"dragonflyrelay.example/library/values/dragonflyrebalanceview"
)

// GroupToDissolve returns a group that is better dissolved, so that its members form others
// with the free instances. Groups of another size than the one in force come
// first, starting where the most instances are free, so that few are down at a
// time. Otherwise a group over several domains is given up if that leaves as many
// groups in all and more of them inside one domain, or if no class allows such
// groups any more. Groups inside one domain are never moved: another one would
// serve no better.
func GroupToDissolve(v dragonflyrebalanceview.View) (group uint64, ok bool) {
	most := -1
	for _, g := range v.Groups {
		if len(g.Members) == max(v.GroupSize, 1) {
			continue
		}
		if n := freeInDomain(v, g); n > most {
			group, most = g.ID, n
		}
	}
	if most >= 0 {
		return group, true
	}
	for _, g := range v.Groups {
		if g.CrossDomain() && (!v.CrossDomain || improves(v, g)) {
			return g.ID, true
		}
	}
	return 0, false
}

// freeInDomain returns the number of free instances in the domain of g's head.
func freeInDomain(v dragonflyrebalanceview.View, g dragonflyplacedgroup.Group) (n int) {
	for _, c := range v.Free {
		if c.Model == g.Model && c.SameDomain(g.Members[0]) {
			n++
		}
	}
	return n
}

func improves(v dragonflyrebalanceview.View, g dragonflyplacedgroup.Group) bool {
	all, narrow := countGroups(v, v.Free)
	allAfter, narrowAfter := countGroups(v, slices.Concat(v.Free, g.Members))
	return allAfter >= all+1 && narrowAfter > narrow
}

// countGroups returns how many groups free can form, in all and inside one domain.
func countGroups(v dragonflyrebalanceview.View, free []dragonflycandidate.Candidate) (all, narrow int) {
	p := dragonflyplacement.Plan(dragonflyplacementview.View{GroupSize: v.GroupSize, CrossDomain: v.CrossDomain, Free: free})
	for _, f := range p.Form {
		if !f.CrossDomain {
			narrow++
		}
	}
	return len(p.Form), narrow
}
