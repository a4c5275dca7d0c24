// Package dragonflyplacement decides which instances form groups.
package dragonflyplacement

import (
	"cmp"
	"slices"

	"dragonflyrelay.example/library/values/dragonflycandidate"
	"dragonflyrelay.example/library/values/dragonflygroup"
	"dragonflyrelay.example/library/values/dragonflymember"
	"dragonflyrelay.example/library/values/dragonflyplacementview"
	"dragonflyrelay.example/library/values/dragonflyplan"
)

// Plan returns the groups to form from the free instances of v. All members of a
// group can load its model and share a fabric domain. Equal views give equal
// plans, whatever the order of their instances.
func Plan(v dragonflyplacementview.View) (p dragonflyplan.Plan) {
	size := max(v.GroupSize, 1)
	for _, pool := range pools(v.Free) {
		for len(pool) >= size {
			p.Form = append(p.Form, formation(pool[:size]))
			pool = pool[size:]
		}
	}
	return p
}

// pools returns the candidates by model and fabric domain. Within a pool those
// with the most accelerators come first, so that the fewest are left over.
func pools(free []dragonflycandidate.Candidate) [][]dragonflycandidate.Candidate {
	sorted := slices.SortedFunc(slices.Values(free), compare)
	var out [][]dragonflycandidate.Candidate
	for i, c := range sorted {
		if i == 0 || !samePool(sorted[i-1], c) {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], c)
	}
	return out
}

func compare(a, b dragonflycandidate.Candidate) int {
	return cmp.Or(
		cmp.Compare(a.Model, b.Model),
		cmp.Compare(a.Region, b.Region),
		cmp.Compare(a.Zone, b.Zone),
		cmp.Compare(a.Domain, b.Domain),
		cmp.Compare(b.Accelerators, a.Accelerators),
		cmp.Compare(a.Member.Instance, b.Member.Instance),
	)
}

func samePool(a, b dragonflycandidate.Candidate) bool {
	return a.Model == b.Model && a.Region == b.Region && a.Zone == b.Zone && a.Domain == b.Domain
}

func formation(cs []dragonflycandidate.Candidate) dragonflygroup.Group {
	members := make([]dragonflymember.Member, len(cs))
	for i, c := range cs {
		members[i] = c.Member
	}
	return dragonflygroup.Group{Model: cs[0].Model, Members: members}
}
