// Package dragonflyformationplan selects the next group of engines to form. It
// keeps a group inside one fabric domain, assigns instances to models in proportion
// to their shares of the work, and prefers hosts that hold the weights.
package dragonflyformationplan

import (
	"cmp"
	"slices"

	"dragonflyrelay.example/library/values/dragonflymodelprofile"
	"dragonflyrelay.example/library/values/dragonflyobservation"
)

// View is the state of a service from which groups and loads are planned.
type View struct {
	// Models lists the models of the service.
	Models []dragonflymodelprofile.ModelProfile
	// Groups is the number of groups of each model that serve or are forming.
	Groups map[string]int
	// DomainGroups is the same number for each fabric domain and model.
	DomainGroups map[string]map[string]int
	// Free lists the engines that belong to no group, in any order; Grouped those
	// that belong to one.
	Free, Grouped []dragonflyobservation.Observation
	// Total is the number of engines of the service.
	Total int
	// Warm maps engines to the model of their latest group since they started. A
	// warm engine joins a group of the same model without a load, whatever weights
	// its host holds.
	Warm map[string]string
	// Pending maps engines that are loading weights to the model of the weights.
	Pending map[string]string
	// Reserved maps engines to the model that they are kept for, until the groups that were
	// drained for a group of it have ended.
	Reserved map[string]string
	// Loads is the number of weight loads that may begin now. WaitForLoads allows
	// a group to be formed before its loads are done; otherwise weights are staged
	// first, so that the other members stay free meanwhile.
	Loads        int
	WaitForLoads bool
	// ByDemand is set if the shares of Models follow the observed demand. The models of
	// Short lack capacity: Transfer gives them groups of other models.
	ByDemand bool
	Short    map[string]bool
	// KeepSurplus keeps Preempt from ending groups because their model has more than its
	// target. It is set while planning by demand has no evidence: the groups may follow
	// the plan of an earlier leader.
	KeepSurplus bool

	planned map[string]int // the result of targets, if it has been computed
}

// Next returns the model and the members of the next group, head first. ok is false
// if no group should be formed.
func (v View) Next() (model dragonflymodelprofile.ModelProfile, members []dragonflyobservation.Observation, ok bool) {
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

// modelsByPriority returns the models in descending order of the share of the work
// that one group serves; Preempt relies on this order. Models with fewer than minGroups
// groups come first: another group of a model that is served would take the engines that a
// model without groups needs. While groups may wait for loads, the models with the largest
// groups come first, since small groups fit into the remainder of a domain.
func (v View) modelsByPriority() []dragonflymodelprofile.ModelProfile {
	models := slices.Clone(v.Models)
	slices.SortStableFunc(models, func(a, b dragonflymodelprofile.ModelProfile) int {
		if v.WaitForLoads {
			return cmp.Compare(b.Size, a.Size)
		}
		return cmp.Or(cmp.Compare(v.leastGroups(a), v.leastGroups(b)), cmp.Compare(v.groupShare(b), v.groupShare(a)), cmp.Compare(b.Size, a.Size), cmp.Compare(a.Name, b.Name))
	})
	return models
}

// leastGroups returns the number of groups of m, up to minGroups.
func (v View) leastGroups(m dragonflymodelprofile.ModelProfile) int {
	return min(v.Groups[m.Name], minGroups)
}

// freeByDomain returns the free engines of each domain, ordered by domain and id.
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

// bestMembers returns the members of a group of m from the domain that needs the
// fewest loads, nil if there is none. Among equal domains it takes the one with the
// fewest cold members, then the one with the fewest groups of m, since a whole domain
// may be lost, then the one with the most free engines.
func (v View) bestMembers(domains [][]dragonflyobservation.Observation, m dragonflymodelprofile.ModelProfile) (best []dragonflyobservation.Observation) {
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

// joinable returns the engines of free that can join a group of m now. An engine
// with a load in progress can join only if it is warm for m, and a reserved one only a group
// of its model.
func (v View) joinable(free []dragonflyobservation.Observation, m dragonflymodelprofile.ModelProfile) (joinable []dragonflyobservation.Observation) {
	for _, o := range free {
		reserved := v.Reserved[o.ID]
		if (v.Pending[o.ID] == "" || v.Warm[o.ID] == m.Name) && (reserved == "" || reserved == m.Name) {
			joinable = append(joinable, o)
		}
	}
	return joinable
}

// countCold returns the number of members that must warm up for m.
func (v View) countCold(members []dragonflyobservation.Observation, m dragonflymodelprofile.ModelProfile) (n int) {
	for _, o := range members {
		if v.Warm[o.ID] != m.Name {
			n++
		}
	}
	return n
}

// selectMembers returns m.Size members and the number of loads that they need, nil
// if there are too few. Warm engines come first, then hosts that hold the weights,
// then empty hosts, and hosts that hold other weights last.
func (v View) selectMembers(free []dragonflyobservation.Observation, m dragonflymodelprofile.ModelProfile) (members []dragonflyobservation.Observation, loads int) {
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
	available := v.transferable(free, m)
	for _, o := range sorted {
		if len(members) == m.Size {
			break
		}
		if x := v.Warm[o.ID]; x != "" && x != m.Name {
			if available[x] <= 0 {
				continue
			}
			available[x]--
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

// transferable returns for each model how many of the free engines of a domain that
// are warm for it may join a group of m. For another model that lacks groups, none
// may if they are more than half of a group that serves a larger share of the work
// than a group of m. Otherwise one stays as a spare, unless m lacks at least as large a
// share of its target as one group is of the other model's target.
func (v View) transferable(free []dragonflyobservation.Observation, m dragonflymodelprofile.ModelProfile) (available map[string]int) {
	available = map[string]int{}
	for _, o := range free {
		available[v.Warm[o.ID]]++
	}
	for _, x := range v.Models {
		switch {
		case x.Name == m.Name:
		case v.deficit(x) > 0 && v.groupShare(x) > v.groupShare(m) && 2*available[x.Name] > x.Size:
			available[x.Name] = 0
		case v.deficit(m) < 1/float64(v.target(x)):
			available[x.Name]--
		}
	}
	return available
}

// deficit returns the share of the target of m that is missing, from 0 to 1.
func (v View) deficit(m dragonflymodelprofile.ModelProfile) float64 {
	target := v.target(m)
	return float64(max(target-v.Groups[m.Name], 0)) / float64(target)
}

// preparedFor reports whether the engine can join a group of the named model without
// another load.
func (v View) preparedFor(o dragonflyobservation.Observation, model string) bool {
	return v.Warm[o.ID] == model || v.Pending[o.ID] == model || slices.Contains(o.Staged, model)
}

// unprepared reports whether the engine needs a load to join a group of any model.
func (v View) unprepared(o dragonflyobservation.Observation) bool {
	return v.Warm[o.ID] == "" && v.Pending[o.ID] == "" && len(o.Staged) == 0
}
