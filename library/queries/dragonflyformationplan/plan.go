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

// minGroups is the number of groups of a model below which spares are used up:
// with a single group, its loss would end the service of the model.
const minGroups = 2

// View is what the choice rests on.
type View struct {
	// Models lists the models of the service.
	Models []dragonflymodelfigures.Model
	// Groups is the number of groups of each model that serve or are forming.
	Groups map[string]int
	// Free lists the engines that belong to no group, in any order.
	Free []dragonflyobservation.Observation
	// Spares is the number of free engines to keep for repairs.
	Spares int
	// Loads is the number of weight loads that may begin now.
	Loads int
}

// Next returns the model and the members of the next group, the head first; ok
// is false if none should be formed.
func (v View) Next() (model dragonflymodelfigures.Model, members []dragonflyobservation.Observation, ok bool) {
	domains := v.domains()
	for _, m := range v.byNeed() {
		if v.Groups[m.Name] >= minGroups && len(v.Free)-m.Size < v.Spares {
			continue
		}
		if members = v.bestOf(domains, m); members != nil {
			return m, members, true
		}
	}
	return model, nil, false
}

// byNeed returns the models, the one with the fewest instances for its share first.
func (v View) byNeed() []dragonflymodelfigures.Model {
	models := slices.Clone(v.Models)
	fill := func(m dragonflymodelfigures.Model) float64 {
		if m.Share <= 0 {
			return float64(v.Groups[m.Name]*m.Size) * 1e6
		}
		return float64(v.Groups[m.Name]*m.Size) / m.Share
	}
	slices.SortStableFunc(models, func(a, b dragonflymodelfigures.Model) int {
		return cmp.Or(cmp.Compare(fill(a), fill(b)), cmp.Compare(b.Share, a.Share), cmp.Compare(a.Name, b.Name))
	})
	return models
}

// domains returns the free engines by domain, domains and engines in order.
func (v View) domains() [][]dragonflyobservation.Observation {
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

// bestOf returns members from the domain in which the fewest weights must be
// loaded, and among those from the one with the most free engines.
func (v View) bestOf(domains [][]dragonflyobservation.Observation, m dragonflymodelfigures.Model) (best []dragonflyobservation.Observation) {
	bestLoads, bestFree := 0, 0
	for _, free := range domains {
		if len(free) < m.Size {
			continue
		}
		members, loads := choose(free, m)
		if loads > v.Loads {
			continue
		}
		if best == nil || loads < bestLoads || loads == bestLoads && len(free) > bestFree {
			best, bestLoads, bestFree = members, loads, len(free)
		}
	}
	return best
}

// choose returns m.Size members, hosts with the weights first and hosts that
// hold other weights last, and the number of loads that they need.
func choose(free []dragonflyobservation.Observation, m dragonflymodelfigures.Model) (members []dragonflyobservation.Observation, loads int) {
	rank := func(o dragonflyobservation.Observation) int {
		switch {
		case slices.Contains(o.Staged, m.Name):
			return 0
		case len(o.Staged) == 0:
			return 1
		default:
			return 2
		}
	}
	sorted := slices.Clone(free)
	slices.SortStableFunc(sorted, func(a, b dragonflyobservation.Observation) int { return cmp.Compare(rank(a), rank(b)) })
	members = sorted[:m.Size]
	for _, o := range members {
		if rank(o) > 0 {
			loads++
		}
	}
	return members, loads
}
