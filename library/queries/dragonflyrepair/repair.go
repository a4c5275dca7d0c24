// Package dragonflyrepair decides what becomes of groups that have lost members.
package dragonflyrepair

import (
	"cmp"
	"slices"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflycandidate"
	"dragonflyrelay.example/library/values/dragonflydamage"
	"dragonflyrelay.example/library/values/dragonflyformation"
	"dragonflyrelay.example/library/values/dragonflymember"
	"dragonflyrelay.example/library/values/dragonflyrepairplan"
	"dragonflyrelay.example/library/values/dragonflyrepairview"
)

const (
	// maxWaitWithReplacement bounds the wait for a lost member while a replacement is at
	// hand. Failed instances outnumber paused ones, so most waits are in vain.
	maxWaitWithReplacement = 5 * dragonflyduration.Second
	// maxWaitWithoutReplacement bounds the wait when no replacement is at hand. Waiting
	// costs nothing then, but survivors are of use to other groups later.
	maxWaitWithoutReplacement = 15 * dragonflyduration.Second
	// UnreachableWait is the wait for a group of which no member is heard of. Ending
	// it frees no instance, and a domain that was only cut off comes back with
	// its groups whole.
	UnreachableWait = 2 * dragonflyduration.Minute
)

type (
	candidate = dragonflycandidate.Candidate
	damage    = dragonflydamage.Damage
	view      = dragonflyrepairview.View
)

// ReturnWait returns how long to wait for a lost member that may come back. A
// replacement costs a load, so waiting for a quarter of a load adds at most a
// quarter to the downtime after a real failure and saves a load after a pause.
func ReturnWait(load dragonflyduration.Duration, replacement bool) dragonflyduration.Duration {
	if replacement {
		return min(load/4, maxWaitWithReplacement)
	}
	return min(load, maxWaitWithoutReplacement)
}

// Plan decides on the damaged groups of v. In each fabric domain it repairs as
// many groups as the free instances and the survivors suffice for, and among
// those the ones that need the fewest loads. Survivors of the groups that cannot
// be repaired replace lost members of the others.
func Plan(v view) (p dragonflyrepairplan.Plan) {
	damaged := slices.SortedFunc(slices.Values(v.Damaged), compareDamage)
	free := slices.SortedFunc(slices.Values(v.Free), dragonflycandidate.Compare)
	for start := 0; start < len(damaged); {
		end := start + 1
		for end < len(damaged) && samePlace(damaged[start].Members[0], damaged[end].Members[0]) {
			end++
		}
		dissolve, form := repairDomain(v, damaged[start:end], inPlace(free, damaged[start].Members[0]))
		p.Dissolve = append(p.Dissolve, dissolve...)
		p.Form = append(p.Form, form...)
		start = end
	}
	slices.Sort(p.Dissolve)
	return p
}

// compareDamage orders by place, then the groups with the most survivors first.
func compareDamage(a, b damage) int {
	place := func(c candidate) candidate {
		return candidate{Model: c.Model, Region: c.Region, Zone: c.Zone, Domain: c.Domain}
	}
	return cmp.Or(
		dragonflycandidate.Compare(place(a.Members[0]), place(b.Members[0])),
		cmp.Compare(len(b.Survivors()), len(a.Survivors())),
		cmp.Compare(a.Group, b.Group),
	)
}

func samePlace(a, b candidate) bool { return a.Model == b.Model && a.SameDomain(b) }

// inPlace returns the sorted candidates that are in the place of c.
func inPlace(sorted []candidate, c candidate) []candidate {
	from := slices.IndexFunc(sorted, func(o candidate) bool { return samePlace(o, c) })
	if from < 0 {
		return nil
	}
	to := from
	for to < len(sorted) && samePlace(sorted[to], c) {
		to++
	}
	return sorted[from:to]
}

// repairDomain decides on the damaged groups whose heads are in one domain, given
// the most survivors first.
func repairDomain(v view, damaged []damage, free []candidate) (dissolve []uint64, form []dragonflyformation.Formation) {
	var broken []damage
	supply := len(free)
	for _, d := range damaged {
		if !waitIsOver(v, d, len(free)) {
			continue
		}
		dissolve = append(dissolve, d.Group)
		if repairable(v, d) {
			broken = append(broken, d)
			supply += len(d.Survivors())
		}
	}
	n := min(len(broken), supply/max(v.GroupSize, 1))
	spares := slices.Clone(free)
	for _, d := range broken[n:] {
		spares = append(spares, d.Survivors()...)
	}
	for _, d := range broken[:n] {
		var f dragonflyformation.Formation
		f, spares = replaceLost(d, spares)
		form = append(form, f)
	}
	return dissolve, form
}

// waitIsOver reports whether the wait for the lost members of d is over.
func waitIsOver(v view, d damage, free int) bool {
	survivors := len(d.Survivors())
	switch {
	case d.Certain:
		return true
	case survivors == len(d.Members):
		return false
	case survivors == 0:
		return d.Waited >= UnreachableWait
	default:
		return d.Waited >= ReturnWait(v.LoadTime, free >= len(d.Members)-survivors)
	}
}

// repairable reports whether d can be made whole inside its domain. Others are
// dissolved, and the placement uses their survivors.
func repairable(v view, d damage) bool {
	for _, m := range d.Members {
		if !m.SameDomain(d.Members[0]) {
			return false
		}
	}
	return len(d.Members) == v.GroupSize && len(d.Survivors()) > 0
}

// replaceLost fills the lost ranks of d from the front of spares.
func replaceLost(d damage, spares []candidate) (f dragonflyformation.Formation, rest []candidate) {
	first := d.Members[0]
	f = dragonflyformation.Formation{
		Model: first.Model, Region: first.Region, Zone: first.Zone,
		Members: make([]dragonflymember.Member, len(d.Members)),
	}
	for i, m := range d.Members {
		if d.Lost[i] {
			m, spares = spares[0], spares[1:]
			f.Loads++
		}
		f.Members[i] = m.Member
	}
	return f, spares
}
