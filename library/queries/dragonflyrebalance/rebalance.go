// Package dragonflyrebalance decides which existing group to dissolve for a better
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

// GroupToDissolve returns the id of a group to dissolve, so that its members can form
// others with the free instances. ok is false if there is none. Groups whose size
// differs from the configured one come first, starting where the most instances are
// free, so that few groups are out of service at a time. Otherwise a group across
// domains is dissolved if that leaves as many groups in total and more of them inside
// one domain, or if no class allows such groups any more. Groups of the configured
// size inside one domain are never dissolved, since others would serve no better.
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

// freeInDomain returns the number of free instances of g's model in the domain of its
// head.
func freeInDomain(v dragonflyrebalanceview.View, g dragonflyplacedgroup.Group) (n int) {
	for _, c := range v.Free {
		if c.Model == g.Model && c.SameDomain(g.Members[0]) {
			n++
		}
	}
	return n
}

func improves(v dragonflyrebalanceview.View, g dragonflyplacedgroup.Group) bool {
	total, inDomain := countGroups(v, v.Free)
	totalAfter, inDomainAfter := countGroups(v, slices.Concat(v.Free, g.Members))
	return totalAfter >= total+1 && inDomainAfter > inDomain
}

// countGroups returns how many groups free can form, in total and inside one domain.
func countGroups(v dragonflyrebalanceview.View, free []dragonflycandidate.Candidate) (total, inDomain int) {
	p := dragonflyplacement.Plan(dragonflyplacementview.View{GroupSize: v.GroupSize, CrossDomain: v.CrossDomain, Free: free})
	for _, f := range p.Form {
		if !f.CrossDomain {
			inDomain++
		}
	}
	return len(p.Form), inDomain
}
