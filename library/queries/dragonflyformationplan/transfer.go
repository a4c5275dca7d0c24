package dragonflyformationplan

import (
	"cmp"
	"maps"
	"slices"

	"dragonflyrelay.example/library/queries/dragonflycoverage"
	"dragonflyrelay.example/library/values/dragonflymodelprofile"
	"dragonflyrelay.example/library/values/dragonflyobservation"
)

// demandTargets returns the targets of a plan by demand. They always fit into the domains,
// whatever the shares are: a target out of reach would keep engines reserved for it.
func (v View) demandTargets() (targets map[string]int) {
	targets = map[string]int{}
	for _, m := range v.Models {
		targets[m.Name] = minGroups
	}
	v.addSurplusGroups(targets, domainSpares)
	return targets
}

// Transfer returns the groups to drain, all in one domain, so that their engines and the
// free ones there form a group of the model, which lacks one, without a load. In a plan by
// demand, a model that is short, or has fewer than minGroups groups, gets groups beyond the
// targets of their models. Any plan moves what mayGive allows. The members are the engines of
// the new group, as far as they are known now. ok is false if there are none. Groups that the
// free engines suffice for are left to Next.
func (v View) Transfer() (groups []string, members []dragonflyobservation.Observation, model dragonflymodelprofile.ModelProfile, ok bool) {
	domains := v.freeByDomain()
	for _, m := range v.modelsByPriority() {
		if v.Groups[m.Name] >= v.target(m) || v.bestMembers(domains, m) != nil {
			continue
		}
		if t := v.groupsToDrain(m); t.groups != nil {
			return t.groups, t.members, m, true
		}
	}
	return nil, nil, model, false
}

// transfer is a set of groups of one domain to drain for another group.
type transfer struct {
	groups  []string
	members []dragonflyobservation.Observation // of the new group
	engines int                                // in the groups to drain
	others  int                                // groups of their models in the domain
}

// mayGive reports whether a group of x in the domain may be drained for one of m. Of all the
// groups of x, given are to be drained already. Idle holds the domains whose free engines form
// a group of x at once.
func (v View) mayGive(x, m dragonflymodelprofile.ModelProfile, domain string, given int, idle map[string]bool) bool {
	if v.givesSurplus(x, m, given) {
		return true
	}
	if v.WaitForLoads {
		return false // Nobody is refused before the first requests.
	}
	replacements := len(idle) - given
	if idle[domain] {
		replacements--
	}
	receiver := dragonflycoverage.Coverage{Groups: v.Groups[m.Name], Target: v.target(m)}
	donor := dragonflycoverage.Coverage{Groups: v.Groups[x.Name] - given, Target: v.target(x), Replacements: max(replacements, 0)}
	return receiver.MayTakeFrom(donor)
}

// givesSurplus reports whether a plan by demand gives a group of x to m, beyond the target of
// x.
func (v View) givesSurplus(x, m dragonflymodelprofile.ModelProfile, given int) bool {
	wanted := v.Short[m.Name] || v.Groups[m.Name] < minGroups
	return v.ByDemand && wanted && v.Groups[x.Name]-given > max(v.target(x), minGroups)
}

// idleDomains returns the domains whose free engines form a group of x without a load.
func (v View) idleDomains(x dragonflymodelprofile.ModelProfile) (domains map[string]bool) {
	domains = map[string]bool{}
	for _, free := range v.freeByDomain() {
		if members, loads := v.selectMembers(v.joinable(free, x), x); members != nil && loads == 0 {
			domains[free[0].Domain] = true
		}
	}
	return domains
}

// groupsToDrain returns groups of one domain that complete a group of m, the zero transfer if
// there are none. It takes the domain where the fewest engines are drained, and of equal
// ones that with the most groups of their models, since a whole domain may be lost.
func (v View) groupsToDrain(m dragonflymodelprofile.ModelProfile) (best transfer) {
	groups, domains := map[string][]dragonflyobservation.Observation{}, map[string][]string{}
	for _, o := range v.Grouped {
		if name := o.Group.Name; name != "" && o.Model != m.Name {
			groups[name] = append(groups[name], o)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		domain := groups[name][0].Domain
		domains[domain] = append(domains[domain], name)
	}
	idle := map[string]map[string]bool{} // domains by the model of their groups
	for _, x := range v.Models {
		if x.Name != m.Name {
			idle[x.Name] = v.idleDomains(x)
		}
	}
	var bestRank [2]int
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		t := v.surplusInDomain(m, domains[domain], groups, idle)
		rank := [2]int{t.engines, -t.others}
		if t.groups != nil && (best.groups == nil || slices.Compare(rank[:], bestRank[:]) < 0) {
			best, bestRank = t, rank
		}
	}
	return best
}

// surplusInDomain returns the first of the named groups of one domain whose engines
// complete a group of m, the zero transfer if there are too few that may be given.
func (v View) surplusInDomain(m dragonflymodelprofile.ModelProfile, candidates []string, groups map[string][]dragonflyobservation.Observation, idle map[string]map[string]bool) (t transfer) {
	// Large groups are drained only where small ones do not suffice.
	slices.SortStableFunc(candidates, func(a, b string) int { return cmp.Compare(len(groups[a]), len(groups[b])) })
	// Only this domain gains engines: the others need no second look for each group.
	rest := v
	rest.WaitForLoads = false
	rest.Free = slices.DeleteFunc(slices.Clone(v.Free), func(o dragonflyobservation.Observation) bool {
		return o.Domain != groups[candidates[0]][0].Domain
	})
	for _, name := range candidates {
		members := groups[name]
		i := slices.IndexFunc(v.Models, func(x dragonflymodelprofile.ModelProfile) bool { return x.Name == members[0].Model })
		if i < 0 || len(members) != v.Models[i].Size {
			continue
		}
		x := v.Models[i]
		if !v.mayGive(x, m, members[0].Domain, v.Groups[x.Name]-rest.Groups[x.Name], idle[x.Name]) {
			continue
		}
		rest = rest.withoutGroup(members)
		t.groups, t.engines = append(t.groups, name), t.engines+len(members)
		t.others += v.DomainGroups[members[0].Domain][members[0].Model]
		if t.members = rest.bestMembers(rest.freeByDomain(), m); t.members != nil {
			return t
		}
	}
	return transfer{}
}

// stageForTransfer assigns the weights of each model that may get groups by a transfer to
// the engines that it would use. It takes the domain that needs the fewest loads, so that
// these are not spread over groups of which none is ready. It reports whether the loads
// left suffice for all of them.
func (s *staging) stageForTransfer() (complete bool) {
	complete = true
	if !s.ByDemand {
		return complete
	}
	for _, m := range s.Models {
		if s.Groups[m.Name] >= s.target(m) || !s.Short[m.Name] && s.Groups[m.Name] >= minGroups {
			continue
		}
		var best []string // engines to load, of the domain that needs the fewest
		found := false
		for _, engines := range s.transferableByDomain(m) {
			var loads []string
			prepared := 0
			for _, o := range engines {
				_, ordered := s.orders[o.ID]
				switch {
				case s.preparedFor(o, m.Name) || s.orders[o.ID] == m.Name:
					prepared++
				case s.Pending[o.ID] == "" && !ordered:
					loads = append(loads, o.ID)
				}
			}
			need := max(m.Size-prepared, 0)
			if need <= len(loads) && (!found || need < len(best)) {
				best, found = loads[:need], true
			}
		}
		for _, id := range best {
			if len(s.orders) >= s.Loads {
				complete = false
				break
			}
			s.orders[id] = m.Name
		}
	}
	return complete
}

// transferableByDomain returns, for each domain, the engines of groups beyond the targets
// of their models, and the free ones.
func (v View) transferableByDomain(m dragonflymodelprofile.ModelProfile) (domains [][]dragonflyobservation.Observation) {
	byName := map[string][]dragonflyobservation.Observation{}
	taken := map[string]map[string]bool{} // names of the groups by domain and model
	for _, o := range v.Grouped {
		i := slices.IndexFunc(v.Models, func(x dragonflymodelprofile.ModelProfile) bool { return x.Name == o.Model })
		if i < 0 || o.Model == m.Name {
			continue
		}
		key := o.Domain + " " + o.Model
		if taken[key] == nil {
			taken[key] = map[string]bool{}
		}
		surplus := v.Groups[o.Model] - max(v.target(v.Models[i]), minGroups)
		if !taken[key][o.Group.Name] && len(taken[key]) >= surplus {
			continue
		}
		taken[key][o.Group.Name] = true
		byName[o.Domain] = append(byName[o.Domain], o)
	}
	for _, o := range v.Free {
		byName[o.Domain] = append(byName[o.Domain], o)
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		domains = append(domains, byName[name])
	}
	return domains
}

// withoutGroup returns v after the end of the group of the members, except for Grouped, on
// which nothing depends once the targets are computed.
func (v View) withoutGroup(members []dragonflyobservation.Observation) View {
	v.Free = append(slices.Clone(v.Free), members...)
	v.Groups = maps.Clone(v.Groups)
	v.Groups[members[0].Model]--
	return v
}

// secondModel returns the model whose weights are staged on engines that are warm for the
// given one. A plan by demand takes the one that lacks the largest share of its target, so
// that engines are ready for the group that is formed next.
func (v View) secondModel(warm int) (second dragonflymodelprofile.ModelProfile) {
	second = v.Models[(warm+1)%len(v.Models)]
	if !v.ByDemand {
		return second
	}
	for i, m := range v.Models {
		if i != warm && v.deficit(m) > v.deficit(second) {
			second = m
		}
	}
	return second
}
