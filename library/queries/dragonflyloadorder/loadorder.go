// Package dragonflyloadorder decides which groups load next. The weight store is
// rate-limited, so that groups that load concurrently delay each other.
package dragonflyloadorder

import (
	"cmp"
	"math"

	"dragonflyrelay.example/library/values/dragonflyformation"
	"dragonflyrelay.example/library/values/dragonflyloadview"
)

// busyPercent is the utilization of a model's concurrency limit from which its
// classes are likely to miss their targets soon: agents queue requests at 100 percent,
// and the remaining capacity can fill up during a load.
const busyPercent = 80

// Urgencies of a model, the highest first.
const (
	urgencyUnserved = iota // no group serves or loads the model
	urgencyBusy            // the groups that serve it are near their limits
	urgencyOther
)

type location struct{ model, region, zone string }

// counts is the state from which the next group is selected.
type counts struct {
	groups                 map[string]int
	busy                   map[string]bool
	zones                  map[location]int
	topPriority            int
	topCrossDomainPriority int
}

// Next returns up to v.MaxNewLoads groups of v.Waiting in the order in which they should
// load: first those of models without groups, then those of busy models. Among equals
// it prefers groups that can serve the most important class, then those with the
// fewest loads, then those in the zone with the fewest groups of the model, so that
// the loss of one zone affects the fewest.
func Next(v dragonflyloadview.View) (next []dragonflyformation.Formation) {
	c := count(v)
	started := make([]bool, len(v.Waiting))
	for range min(v.MaxNewLoads, len(v.Waiting)) {
		best := -1
		for i, f := range v.Waiting {
			if !started[i] && (best < 0 || c.compare(f, v.Waiting[best]) < 0) {
				best = i
			}
		}
		f := v.Waiting[best]
		started[best] = true
		next = append(next, f)
		c.groups[f.Model]++
		c.zones[location{f.Model, f.Region, f.Zone}]++
	}
	return next
}

func count(v dragonflyloadview.View) counts {
	c := counts{
		groups: map[string]int{}, busy: map[string]bool{}, zones: map[location]int{},
		topPriority: math.MaxInt, topCrossDomainPriority: math.MaxInt,
	}
	inUse, limit := map[string]int{}, map[string]int{}
	for _, g := range v.Groups {
		region, zone := g.Zone()
		c.groups[g.Model]++
		c.zones[location{g.Model, region, zone}]++
		if g.Ready {
			inUse[g.Model] += g.Load.InFlight + g.Load.Queued
			limit[g.Model] += g.Load.Limit
		}
	}
	for m, n := range limit {
		c.busy[m] = n > 0 && 100*inUse[m] >= busyPercent*n
	}
	for _, cl := range v.Classes {
		c.topPriority = min(c.topPriority, cl.Priority())
		if cl.CrossDomain() {
			c.topCrossDomainPriority = min(c.topCrossDomainPriority, cl.Priority())
		}
	}
	return c
}

func (c counts) compare(a, b dragonflyformation.Formation) int {
	return cmp.Or(
		cmp.Compare(c.urgency(a.Model), c.urgency(b.Model)),
		cmp.Compare(c.priority(a), c.priority(b)),
		cmp.Compare(a.Loads, b.Loads),
		cmp.Compare(c.groupsInZone(a), c.groupsInZone(b)),
	)
}

func (c counts) urgency(model string) int {
	switch {
	case c.groups[model] == 0:
		return urgencyUnserved
	case c.busy[model]:
		return urgencyBusy
	default:
		return urgencyOther
	}
}

// priority returns the priority of the most important class that f can serve.
func (c counts) priority(f dragonflyformation.Formation) int {
	if f.CrossDomain {
		return c.topCrossDomainPriority
	}
	return c.topPriority
}

// groupsInZone returns the number of groups of f's model in f's zone. A group that
// spans several zones is lost with any of them, so that it comes last.
func (c counts) groupsInZone(f dragonflyformation.Formation) int {
	if f.Zone == "" {
		return math.MaxInt
	}
	return c.zones[location{f.Model, f.Region, f.Zone}]
}
