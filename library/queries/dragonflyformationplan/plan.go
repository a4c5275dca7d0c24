// Package dragonflyformationplan chooses the next group of engines to form. It
// keeps a group inside one fabric domain, gives models instances in proportion
// to their shares of the work, and prefers hosts that hold the weights.
package dragonflyformationplan

import (
	"cmp"
	"slices"

	"dragonflyrelay.example/library/values/dragonflymodelfigures"
	"dragonflyrelay.example/library/values/dragonflyobservation"
)

// View is what the choice rests on.
type View struct {
	// Models lists the models of the service.
	Models []dragonflymodelfigures.Model
	// Groups is the number of groups of each model that serve or are forming.
	Groups map[string]int
	// DomainGroups is the same for each fabric domain.
	DomainGroups map[string]map[string]int
	// Free lists the engines that belong to no group, in any order; Grouped those
	// that belong to one.
	Free, Grouped []dragonflyobservation.Observation
	// Total is the number of engines of the service.
	Total int
	// Warm maps engines to the model of their latest group since they started. They
	// join a group of the same model at once, whatever weights their hosts hold.
	Warm map[string]string
	// Pending maps engines that are loading weights to the model.
	Pending map[string]string
	// Loads is the number of weight loads that may begin now. WaitForLoads tells
	// that a group may wait for loads; otherwise weights are staged first, so that
	// the other members stay free meanwhile.
	Loads        int
	WaitForLoads bool

	planned map[string]int // what targets returns, if it has been computed
}

// Next returns the model and the members of the next group, the head first; ok
// is false if none should be formed.
func (v View) Next() (model dragonflymodelfigures.Model, members []dragonflyobservation.Observation, ok bool) {
	domains := v.freeByDomain()
	for _, m := range v.modelsByPriority() {
		if v.Groups[m.Name] >= v.target(m) {
			continue
		}
		if members = v.bestMembers(domains, m); members != nil {
			return m, members, true
		}
	}
	return model, nil, false
}

// modelsByPriority returns the models, the one whose groups serve the largest part of the
// work first; Yield relies on it. At the start, large groups come first, since small
// ones fit into what is left of a domain.
func (v View) modelsByPriority() []dragonflymodelfigures.Model {
	models := slices.Clone(v.Models)
	slices.SortStableFunc(models, func(a, b dragonflymodelfigures.Model) int {
		if v.WaitForLoads {
			return cmp.Compare(b.Size, a.Size)
		}
		return cmp.Or(cmp.Compare(v.groupShare(b), v.groupShare(a)), cmp.Compare(b.Size, a.Size), cmp.Compare(a.Name, b.Name))
	})
	return models
}

// freeByDomain returns the free engines by domain, domains and engines in order.
func (v View) freeByDomain() [][]dragonflyobservation.Observation {
	byName := map[string][]dragonflyobservation.Observation{}
	for _, o := range v.Free {
		byName[o.Domain] = append(byName[o.Domain], o)
	}
	var names []string
	for name, free := range byName {
		names = append(names, name)
		slices.SortFunc(free, func(a, b dragonflyobservation.Observation) int { return cmp.Compare(a.ID, b.ID) })
	}
	slices.Sort(names)
	var domains [][]dragonflyobservation.Observation
	for _, name := range names {
		domains = append(domains, byName[name])
	}
	return domains
}

// bestMembers returns members from the domain in which the fewest weights must be
// loaded. Among those it spreads the groups of a model over the domains, since a
// whole domain may be lost, and prefers the one with the most free engines.
func (v View) bestMembers(domains [][]dragonflyobservation.Observation, m dragonflymodelfigures.Model) (best []dragonflyobservation.Observation) {
	var bestRank [4]int
	for _, free := range domains {
		members, loads := v.selectMembers(v.joinable(free, m), m)
		if members == nil {
			continue
		}
		if loads > v.Loads || loads > 0 && !v.WaitForLoads {
			continue
		}
		rank := [4]int{loads, v.countCold(members, m), v.DomainGroups[free[0].Domain][m.Name], -len(free)}
		if best == nil || slices.Compare(rank[:], bestRank[:]) < 0 {
			best, bestRank = members, rank
		}
	}
	return best
}

// joinable returns the engines of free that can join a group of m now: a load in
// progress delays all but those that are warm.
func (v View) joinable(free []dragonflyobservation.Observation, m dragonflymodelfigures.Model) (joinable []dragonflyobservation.Observation) {
	for _, o := range free {
		if v.Pending[o.ID] == "" || v.Warm[o.ID] == m.Name {
			joinable = append(joinable, o)
		}
	}
	return joinable
}

// countCold returns the number of members that take the time of a warm-up to join.
func (v View) countCold(members []dragonflyobservation.Observation, m dragonflymodelfigures.Model) (n int) {
	for _, o := range members {
		if v.Warm[o.ID] != m.Name {
			n++
		}
	}
	return n
}

// selectMembers returns m.Size members and the number of loads that they need, nil if
// there are too few. Warm engines come first, then hosts with the weights, and
// hosts that hold other weights last.
func (v View) selectMembers(free []dragonflyobservation.Observation, m dragonflymodelfigures.Model) (members []dragonflyobservation.Observation, loads int) {
	rank := func(o dragonflyobservation.Observation) int {
		switch {
		case v.Warm[o.ID] == m.Name:
			return 0
		case slices.Contains(o.Staged, m.Name):
			return 1
		case v.unprepared(o):
			return 2
		default:
			return 3
		}
	}
	sorted := slices.Clone(free)
	slices.SortStableFunc(sorted, func(a, b dragonflyobservation.Observation) int { return cmp.Compare(rank(a), rank(b)) })
	kept := v.transferable(free, m)
	for _, o := range sorted {
		if len(members) == m.Size {
			break
		}
		if x := v.Warm[o.ID]; x != "" && x != m.Name {
			if kept[x] <= 0 {
				continue
			}
			kept[x]--
		}
		members = append(members, o)
		if rank(o) > 1 {
			loads++
		}
	}
	if len(members) < m.Size {
		return nil, 0
	}
	return members, loads
}

// transferable returns how many of the free engines of a domain that are warm for another
// model may be given to a group of m. None are if they are most of a group of that
// model that is worth more than one of m. Otherwise the last one stays as a spare,
// unless the groups that m lacks are a larger part of m's than one group of the
// other model.
func (v View) transferable(free []dragonflyobservation.Observation, m dragonflymodelfigures.Model) (kept map[string]int) {
	kept = map[string]int{}
	for _, o := range free {
		kept[v.Warm[o.ID]]++
	}
	for _, x := range v.Models {
		switch {
		case x.Name == m.Name:
		case v.deficit(x) > 0 && v.groupShare(x) > v.groupShare(m) && 2*kept[x.Name] > x.Size:
			kept[x.Name] = 0
		case v.deficit(m) < 1/float64(v.target(x)):
			kept[x.Name]--
		}
	}
	return kept
}

// deficit returns the part of the groups of m that are missing, from 0 to 1.
func (v View) deficit(m dragonflymodelfigures.Model) float64 {
	target := v.target(m)
	return float64(max(target-v.Groups[m.Name], 0)) / float64(target)
}

// preparedFor reports whether the engine can join a group of the named model without a
// load, or once the load in progress is over.
func (v View) preparedFor(o dragonflyobservation.Observation, model string) bool {
	return v.Warm[o.ID] == model || v.Pending[o.ID] == model || slices.Contains(o.Staged, model)
}

// unprepared reports whether the engine can join no group without a load.
func (v View) unprepared(o dragonflyobservation.Observation) bool {
	return v.Warm[o.ID] == "" && v.Pending[o.ID] == "" && len(o.Staged) == 0
}
