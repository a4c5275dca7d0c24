package dragonflyformationplan

import (
	"iter"
	"maps"
	"slices"

	"dragonflyrelay.example/library/values/dragonflymodelprofile"
	"dragonflyrelay.example/library/values/dragonflyobservation"
)

// unlimitedLoads stands for no limit of the loads.
const unlimitedLoads = 1 << 20

// Staged yields the model and the members, head first, of each group that needs no load, of
// all groups that are to be formed. The engines of the others stay free: one that is not known
// yet may hold weights that one of them would load.
func (v View) Staged() iter.Seq2[dragonflymodelprofile.ModelProfile, []dragonflyobservation.Observation] {
	return func(yield func(dragonflymodelprofile.ModelProfile, []dragonflyobservation.Observation) bool) {
		v.Loads, v.WaitForLoads = unlimitedLoads, true
		for {
			m, members, ok := v.Next()
			if !ok {
				return
			}
			if _, loads := v.selectMembers(members, m); loads == 0 && !yield(m, members) {
				return
			}
			v = v.withGroup(m, members)
		}
	}
}

// withGroup returns v with a further group of m.
func (v View) withGroup(m dragonflymodelprofile.ModelProfile, members []dragonflyobservation.Observation) View {
	v.Groups, v.DomainGroups = maps.Clone(v.Groups), maps.Clone(v.DomainGroups)
	v.Groups[m.Name]++
	domain := members[0].Domain
	counts := map[string]int{}
	maps.Copy(counts, v.DomainGroups[domain])
	counts[m.Name]++
	v.DomainGroups[domain] = counts
	v.Free = slices.DeleteFunc(slices.Clone(v.Free), func(o dragonflyobservation.Observation) bool {
		return slices.ContainsFunc(members, func(taken dragonflyobservation.Observation) bool { return taken.ID == o.ID })
	})
	v.Grouped = append(slices.Clip(v.Grouped), members...)
	return v
}
