// Package dragonflyplacement plans the groups that free instances can form.
package dragonflyplacement

import (
	"slices"

	"dragonflyrelay.example/library/values/dragonflycandidate"
	"dragonflyrelay.example/library/values/dragonflyformation"
	"dragonflyrelay.example/library/values/dragonflymember"
	"dragonflyrelay.example/library/values/dragonflyplacementview"
	"dragonflyrelay.example/library/values/dragonflyplan"
)

type candidate = dragonflycandidate.Candidate

// Plan returns the groups that the free instances of v can form. All members can
// load the group's model. It maximizes, in this order, the groups inside one fabric
// domain; if v allows groups across domains, those inside one zone, then those
// inside one region; and the accelerators in use. No group spans regions. The plan
// does not depend on the order of the instances.
func Plan(v dragonflyplacementview.View) (p dragonflyplan.Plan) {
	size := max(v.GroupSize, 1)
	free := slices.SortedFunc(slices.Values(v.Free), dragonflycandidate.Compare)
	rest := free
	for _, scope := range scopes {
		var left []candidate
		for _, pool := range splitByPlace(rest, scope.same) {
			groups, remainder := formGroups(pool, size)
			p.Form = append(p.Form, groups...)
			if scope.domain {
				remainder = withoutSpares(v, remainder)
			}
			left = append(left, remainder...)
		}
		if !v.CrossDomain {
			return p
		}
		rest = left
	}
	return p
}

// scopes are the areas that a group may span, the preferred one first.
var scopes = []struct {
	same   func(a, b candidate) bool
	domain bool
}{
	{same: func(a, b candidate) bool { return a.Model == b.Model && a.SameDomain(b) }, domain: true},
	{same: func(a, b candidate) bool { return a.Model == b.Model && a.SameZone(b) }},
	{same: func(a, b candidate) bool { return a.Model == b.Model && a.Region == b.Region }},
}

// splitByPlace splits the sorted candidates into runs that same accepts as members of
// one group.
func splitByPlace(sorted []candidate, same func(a, b candidate) bool) [][]candidate {
	var pools [][]candidate
	start := 0
	for i := 1; i <= len(sorted); i++ {
		if i == len(sorted) || !same(sorted[start], sorted[i]) {
			pools = append(pools, sorted[start:i])
			start = i
		}
	}
	return pools
}

// formGroups returns as many groups as the pool has members for, and the remaining
// candidates, sorted by place.
func formGroups(pool []candidate, size int) (groups []dragonflyformation.Formation, rest []candidate) {
	n := len(pool) / size * size
	if n == 0 {
		return nil, pool
	}
	// The candidates of one domain are already sorted by preference.
	byPreference := pool
	if !pool[0].SameDomain(pool[len(pool)-1]) {
		byPreference = slices.SortedFunc(slices.Values(pool), dragonflycandidate.ComparePreference)
	}
	taken := slices.SortedFunc(slices.Values(byPreference[:n]), dragonflycandidate.Compare)
	for chunk := range slices.Chunk(taken, size) {
		groups = append(groups, formation(chunk))
	}
	return groups, slices.SortedFunc(slices.Values(byPreference[n:]), dragonflycandidate.Compare)
}

// withoutSpares removes the least preferred candidates of a domain's remainder, which
// stay free to replace lost members of groups in the domain.
func withoutSpares(v dragonflyplacementview.View, rest []candidate) []candidate {
	if v.Spares == nil || len(rest) == 0 {
		return rest
	}
	return rest[:len(rest)-min(len(rest), max(v.Spares(rest[0]), 0))]
}

func formation(cs []candidate) dragonflyformation.Formation {
	f := dragonflyformation.Formation{
		Model:   cs[0].Model,
		Members: make([]dragonflymember.Member, len(cs)),
		Region:  cs[0].Region,
		Zone:    cs[0].Zone,
		Loads:   len(cs),
	}
	for i, c := range cs {
		f.Members[i] = c.Member
		f.CrossDomain = f.CrossDomain || !c.SameDomain(cs[0])
		if !c.SameZone(cs[0]) {
			f.Zone = ""
		}
	}
	return f
}
