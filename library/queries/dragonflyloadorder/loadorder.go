// Package dragonflyloadorder decides which groups load next. The weight store is
// rate-limited, so groups that load together delay each other.
package dragonflyloadorder

import (
	"cmp"
	"math"

	"dragonflyrelay.example/library/values/dragonflyformation"
	"dragonflyrelay.example/library/values/dragonflyloadview"
)

// busyPercent is the share of a model's concurrency limit in use above which its
// classes are about to miss their targets: agents queue from 100 on, and a load
// takes long enough for the rest to fill up.
const busyPercent = 80

// Needs of a model, the most urgent one first.
const (
	urgencyUnserved = iota // no group serves or loads the model
	urgencyBusy            // the groups that serve it have little room left
	urgencyOther
)

type location struct{ model, region, zone string }

// counts is what the choice of the next group depends on.
type counts struct {
	groups                 map[string]int
	busy                   map[string]bool
	zones                  map[location]int
	topPriority            int
	topCrossDomainPriority int
}

// Next returns up to v.Room groups of v.Waiting in the order in which they
// should load: first those of models that nothing serves, then of busy models;
// among equals those that serve the class of the highest priority, that need the
// fewest loads, and whose zone has the fewest groups of the model, so that the
// loss of one zone costs the least.
func Next(v dragonflyloadview.View) (next []dragonflyformation.Formation) {
	c := count(v)
	started := make([]bool, len(v.Waiting))
	for range min(v.Room, len(v.Waiting)) {
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

// groupsInZone returns the number of groups of f's model that fall with f's zone. A
// group over several zones falls with each of them, so it comes last.
func (c counts) groupsInZone(f dragonflyformation.Formation) int {
	if f.Zone == "" {
		return math.MaxInt
	}
	return c.zones[location{f.Model, f.Region, f.Zone}]
}
