package dragonflyformationplan

import (
	"cmp"
	"math"
	"slices"

	"dragonflyrelay.example/library/queries/dragonflycoverage"
	"dragonflyrelay.example/library/values/dragonflymodelprofile"
)

const (
	// minGroups is the least target of a model, whatever its share.
	minGroups = dragonflycoverage.MinGroups
	// designUtilization is the share of all engines that the usual load keeps busy.
	designUtilization = 0.55
	// peakDeviations is the number of standard deviations by which the groups of a
	// model exceed its usual load. A model with few large groups is less able to
	// even out its peaks, so that it needs a larger margin.
	peakDeviations = 1
	// domainSpares is the number of engines in each fabric domain that are kept out
	// of the groups to replace lost members; preemptionSpares is the number if small
	// groups can be preempted for that.
	domainSpares     = 2
	preemptionSpares = 1
	// minGroupedShare is the least share of the engines in groups if no group can be
	// preempted: spares exist to be used, so that the number of groups must not
	// decrease with each loss.
	minGroupedShare = 0.8
)

// targets returns the target number of groups of each model.
func (v View) targets() (targets map[string]int) {
	if v.ByDemand {
		return v.demandTargets()
	}
	targets = map[string]int{}
	engines := 0
	for _, m := range v.Models {
		targets[m.Name] = max(minGroups, int(math.Ceil(v.desiredGroups(m))))
		engines += targets[m.Name] * m.Size
	}
	spares := v.spares(targets)
	room := v.Total - spares*v.domainCount()
	for engines > room {
		m, ok := v.modelToShrink(targets, spares)
		if !ok {
			break
		}
		targets[m.Name]--
		engines -= m.Size
	}
	v.addGroups(targets, room-engines)
	v.addSurplusGroups(targets, spares)
	return targets
}

// spares returns the number of engines of a domain that are kept out of the groups.
func (v View) spares(targets map[string]int) int {
	for _, m := range v.Models {
		for _, x := range v.Models {
			if m.Share/float64(targets[m.Name]) >= preemptionGain*x.Share/float64(targets[x.Name]) {
				return preemptionSpares
			}
		}
	}
	return domainSpares
}

// addGroups assigns the remaining engines to models with fewer groups than desired.
func (v View) addGroups(targets map[string]int, engines int) {
	for _, m := range v.Models {
		for m.Size > 0 && m.Size <= engines && float64(targets[m.Name]) < v.desiredGroups(m) {
			targets[m.Name]++
			engines -= m.Size
		}
	}
}

// addSurplusGroups adds groups beyond the desired ones while the domains have room, each
// to the model whose target is lowest in proportion. An engine outside of the groups
// serves nobody, and a group more evens out peaks and the loss of another.
func (v View) addSurplusGroups(targets map[string]int, spares int) {
	for {
		best, lowest := "", 0.0
		for _, m := range v.Models {
			desired := v.desiredGroups(m)
			if m.Size <= 0 || desired <= 0 {
				continue
			}
			ratio := float64(targets[m.Name]) / desired
			if best != "" && ratio >= lowest {
				continue
			}
			targets[m.Name]++
			if v.fitsDomains(targets, spares) {
				best, lowest = m.Name, ratio
			}
			targets[m.Name]--
		}
		if best == "" {
			return
		}
		targets[best]++
	}
}

// fitsDomains reports whether the groups fit into the domains with the given number of
// spares in each. The largest groups are placed first, each in the domain with the most
// room, as groups are formed.
func (v View) fitsDomains(targets map[string]int, spares int) bool {
	var room []int
	for _, n := range v.domainSizes() {
		room = append(room, n-spares)
	}
	models := slices.Clone(v.Models)
	slices.SortStableFunc(models, func(a, b dragonflymodelprofile.ModelProfile) int { return cmp.Compare(b.Size, a.Size) })
	for _, m := range models {
		for range targets[m.Name] {
			at := slices.Index(room, slices.Max(append(room, 0)))
			if at < 0 || room[at] < m.Size {
				return false
			}
			room[at] -= m.Size
		}
	}
	return true
}

// WithTargets returns v with precomputed targets. It must be called after the other
// fields are set.
func (v View) WithTargets() View {
	v.planned = v.targets()
	return v
}

// target returns the target number of groups of m.
func (v View) target(m dragonflymodelprofile.ModelProfile) int {
	if v.planned != nil {
		return v.planned[m.Name]
	}
	return v.targets()[m.Name]
}

// desiredGroups returns the number of groups that m needs for its usual load and the
// peaks above it, which grow with the square root of the load.
func (v View) desiredGroups(m dragonflymodelprofile.ModelProfile) float64 {
	load := designUtilization * float64(v.Total) * m.Share / float64(max(m.Size, 1))
	return load + peakDeviations*math.Sqrt(load)
}

// modelToShrink returns the model that can lose one group so that the lowest ratio of
// target to desired groups of any model stays highest. ok is false if all models are
// at their minimum.
func (v View) modelToShrink(targets map[string]int, spares int) (least dragonflymodelprofile.ModelProfile, ok bool) {
	best := 0.0
	for _, m := range v.Models {
		if targets[m.Name] <= v.minTarget(m, spares) {
			continue
		}
		worst := math.Inf(1)
		for _, x := range v.Models {
			n := targets[x.Name]
			if x.Name == m.Name {
				n--
			}
			worst = min(worst, float64(n)/v.desiredGroups(x))
		}
		if !ok || worst > best {
			least, best, ok = m, worst, true
		}
	}
	return least, ok
}

// minTarget returns the least target of m.
func (v View) minTarget(m dragonflymodelprofile.ModelProfile, spares int) int {
	if spares == preemptionSpares {
		return minGroups
	}
	return max(minGroups, int(minGroupedShare*float64(v.Total)*m.Share/float64(max(m.Size, 1))+0.5))
}

// domainCount returns the number of fabric domains.
func (v View) domainCount() int { return len(v.domainSizes()) }

// domainSizes returns the number of engines of each fabric domain.
func (v View) domainSizes() map[string]int {
	sizes := map[string]int{}
	for _, o := range v.Free {
		sizes[o.Domain]++
	}
	for _, o := range v.Grouped {
		sizes[o.Domain]++
	}
	return sizes
}
