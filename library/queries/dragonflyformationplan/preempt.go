package dragonflyformationplan

import (
	"cmp"
	"maps"
	"slices"

	"dragonflyrelay.example/library/values/dragonflymodelprofile"
	"dragonflyrelay.example/library/values/dragonflyobservation"
)

// preemptionGain is the least ratio of the share of the work that a new group serves
// to that of the group that is ended for it, since the end of a group interrupts its
// streams.
const preemptionGain = 2

// Preempt returns the name of a group to end and the model that needs its engines to
// complete a group. The group to end serves a share of the work that is
// smaller by at least the factor preemptionGain, or its model has more groups than its
// target. ok is false if there is none. Groups that the free engines suffice for are
// left to Next, and those beyond the target of a plan by demand to Transfer.
func (v View) Preempt() (group string, model dragonflymodelprofile.ModelProfile, ok bool) {
	domains := v.freeByDomain()
	for _, m := range v.modelsByPriority() {
		if v.Groups[m.Name] >= v.target(m) || v.bestMembers(domains, m) != nil {
			continue
		}
		for _, x := range v.Models {
			if min(v.Groups[x.Name]-1, minGroups) < v.leastGroups(m) {
				continue // The engines would form a group of x again.
			}
			surplus := x.Name != m.Name && v.Groups[x.Name] > v.target(x)
			if v.ByDemand && (surplus || v.Groups[x.Name] <= minGroups) {
				continue
			}
			surplus = surplus && (!v.KeepSurplus || v.Groups[m.Name] < minGroups)
			if v.groupShare(m) < preemptionGain*v.groupShare(x) && !surplus {
				continue
			}
			if group := v.groupToEnd(m, x); group != "" {
				return group, m, true
			}
		}
	}
	return "", model, false
}

// groupShare returns the share of all work that one group of m serves.
func (v View) groupShare(m dragonflymodelprofile.ModelProfile) float64 {
	return m.Share / float64(v.target(m))
}

// groupToEnd returns the name of a group of x whose engines, together with the free
// engines of their domain, suffice for a group of m, "" if there is none.
func (v View) groupToEnd(m, x dragonflymodelprofile.ModelProfile) string {
	ready := map[string]int{} // by domain
	for _, o := range v.Free {
		if v.readyFor(o, m) {
			ready[o.Domain]++
		}
	}
	groups := map[string][]dragonflyobservation.Observation{}
	for _, o := range v.Grouped {
		if o.Model == x.Name && o.Group.Name != "" {
			groups[o.Group.Name] = append(groups[o.Group.Name], o)
		}
	}
	names := slices.SortedFunc(maps.Keys(groups), func(a, b string) int { return cmp.Compare(a, b) })
	for _, name := range names {
		able := 0
		for _, o := range groups[name] {
			if v.readyFor(o, m) {
				able++
			}
		}
		if len(groups[name]) == x.Size && able+ready[groups[name][0].Domain] >= m.Size {
			return name
		}
	}
	return ""
}

// readyFor reports whether the engine can join a group of m now.
func (v View) readyFor(o dragonflyobservation.Observation, m dragonflymodelprofile.ModelProfile) bool {
	return v.Warm[o.ID] == m.Name || v.Pending[o.ID] == "" && slices.Contains(o.Staged, m.Name)
}
