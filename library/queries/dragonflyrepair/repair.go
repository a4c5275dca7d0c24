// Package dragonflyrepair decides which groups that have lost members are repaired or
// dissolved.
package dragonflyrepair

import (
	"cmp"
	"slices"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflycandidate"
	"dragonflyrelay.example/library/values/dragonflydamagedgroup"
	"dragonflyrelay.example/library/values/dragonflyformation"
	"dragonflyrelay.example/library/values/dragonflymember"
	"dragonflyrelay.example/library/values/dragonflyrepairplan"
	"dragonflyrelay.example/library/values/dragonflyrepairview"
)

const (
	// maxWaitWithReplacement bounds the wait for a lost member while a replacement
	// is available. Failed instances outnumber paused ones, so that most waits do
	// not help.
	maxWaitWithReplacement = 5 * dragonflyduration.Second
	// maxWaitWithoutReplacement bounds the wait while no replacement is available.
	// Waiting then costs nothing at first, but the survivors may be needed by other
	// groups later.
	maxWaitWithoutReplacement = 15 * dragonflyduration.Second
	// UnreachableWait is the wait for a group without any reachable member. Dissolving
	// it would free no instance, and a domain that was only disconnected returns with
	// its groups complete.
	UnreachableWait = 2 * dragonflyduration.Minute
)

type (
	candidate = dragonflycandidate.Candidate
	damage    = dragonflydamagedgroup.DamagedGroup
	view      = dragonflyrepairview.View
)

// ReturnWait returns how long to wait for a lost member that may return, where load is
// the duration of a load. A replacement costs one load, so that waiting for a quarter
// of it adds at most a quarter to the downtime after a failure and saves the load
// after a pause.
func ReturnWait(load dragonflyduration.Duration, replacement bool) dragonflyduration.Duration {
	if replacement {
		return min(load/4, maxWaitWithReplacement)
	}
	return min(load, maxWaitWithoutReplacement)
}

// Plan returns the groups of v to dissolve and the repaired ones to form. In each
// fabric domain it repairs as many groups as the free instances and the survivors
// suffice for, choosing those that need the fewest loads. Survivors of groups that
// cannot be repaired replace lost members of the others.
func Plan(v view) (p dragonflyrepairplan.Plan) {
	damaged := slices.SortedFunc(slices.Values(v.Damaged), compareDamage)
	free := slices.SortedFunc(slices.Values(v.Free), dragonflycandidate.Compare)
	for start := 0; start < len(damaged); {
		end := start + 1
		for end < len(damaged) && samePlace(damaged[start].Members[0], damaged[end].Members[0]) {
			end++
		}
		dissolve, form := repairDomain(v, damaged[start:end], replacementsFor(free, damaged[start].Members[0]))
		p.Dissolve = append(p.Dissolve, dissolve...)
		p.Form = append(p.Form, form...)
		start = end
	}
	slices.Sort(p.Dissolve)
	return p
}

// compareDamage orders groups by place, then by descending number of survivors.
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

// samePlace reports whether b can replace a in a group: both can load the same model
// and are in the same fabric domain.
func samePlace(a, b candidate) bool { return a.Model == b.Model && a.SameDomain(b) }

// replacementsFor returns those of the sorted candidates that can replace c.
func replacementsFor(sorted []candidate, c candidate) []candidate {
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

// repairDomain plans for the damaged groups whose heads are in one domain, which are
// sorted by descending number of survivors.
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
	case d.Permanent:
		return true
	case survivors == len(d.Members):
		return false
	case survivors == 0:
		return d.DamagedFor >= UnreachableWait
	default:
		return d.DamagedFor >= ReturnWait(v.LoadTime, free >= len(d.Members)-survivors)
	}
}

// repairable reports whether d can be completed inside its domain. Other groups are
// dissolved, and the placement uses their survivors.
func repairable(v view, d damage) bool {
	for _, m := range d.Members {
		if !m.SameDomain(d.Members[0]) {
			return false
		}
	}
	return len(d.Members) == v.GroupSize && len(d.Survivors()) > 0
}

// replaceLost replaces the lost members of d, at their ranks, by the first of spares.
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
