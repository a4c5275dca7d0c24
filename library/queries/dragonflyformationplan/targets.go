package dragonflyformationplan

import (
	"math"

	"dragonflyrelay.example/library/values/dragonflymodelfigures"
)

const (
	// minGroups is the number of groups that a model gets whatever its share:
	// with a single one, its loss would end the service of the model.
	minGroups = 2
	// designLoad is the part of all engines that the usual load keeps busy.
	designLoad = 0.55
	// safety is the number of standard deviations by which the groups of a model
	// exceed its usual load. A model with few large groups has less room to even out
	// its peaks, so that it needs more on top.
	safety = 1
	// domainSpares is the number of engines in each fabric domain that are left out
	// of the groups, to replace members that are lost.
	domainSpares = 2
)

// targets returns the number of groups that each model is to have.
func (v View) targets() (targets map[string]int) {
	targets = map[string]int{}
	engines := 0
	for _, m := range v.Models {
		targets[m.Name] = max(minGroups, int(math.Ceil(v.wanted(m))))
		engines += targets[m.Name] * m.Size
	}
	for engines > v.Total-domainSpares*v.domainCount() {
		m, ok := v.leastMissed(targets)
		if !ok {
			break
		}
		targets[m.Name]--
		engines -= m.Size
	}
	return targets
}

// target returns the number of groups that m is to have.
func (v View) target(m dragonflymodelfigures.Model) int { return v.targets()[m.Name] }

// wanted returns the groups that m needs for its usual load and the peaks above
// it, which grow with the square root of the load.
func (v View) wanted(m dragonflymodelfigures.Model) float64 {
	load := designLoad * float64(v.Total) * m.Share / float64(max(m.Size, 1))
	return load + safety*math.Sqrt(load)
}

// leastMissed returns the model whose loss of one group leaves the worst-off model
// best off.
func (v View) leastMissed(targets map[string]int) (least dragonflymodelfigures.Model, ok bool) {
	best := 0.0
	for _, m := range v.Models {
		if targets[m.Name] <= minGroups {
			continue
		}
		worst := math.Inf(1)
		for _, x := range v.Models {
			n := targets[x.Name]
			if x.Name == m.Name {
				n--
			}
			worst = min(worst, float64(n)/v.wanted(x))
		}
		if !ok || worst > best {
			least, best, ok = m, worst, true
		}
	}
	return least, ok
}

// domainCount returns the number of fabric domains.
func (v View) domainCount() int {
	names := map[string]bool{}
	for _, o := range v.Free {
		names[o.Domain] = true
	}
	for _, o := range v.Grouped {
		names[o.Domain] = true
	}
	return len(names)
}
