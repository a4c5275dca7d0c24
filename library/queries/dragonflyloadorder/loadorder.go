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
	needFirst = iota // no group serves or loads the model
	needBusy         // the groups that serve it have little room left
	needMore
)

type place struct{ model, region, zone string }

// counts is what the choice of the next group depends on.
type counts struct {
	groups    map[string]int
	busy      map[string]bool
	zones     map[place]int
	anyClass  int
	wideClass int
}

// Next returns up to v.Room groups of v.Waiting in the order in which they
// should load: first those of models that nothing serves, then of busy models;
// among equals those that serve the class of the highest priority, that need the
// fewest loads, and whose zone has the fewest groups of the model, so that the
// loss of one zone costs the least.
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
		c.zones[place{f.Model, f.Region, f.Zone}]++
	}
	return next
}

func count(v dragonflyloadview.View) counts {
	c := counts{
		groups: map[string]int{}, busy: map[string]bool{}, zones: map[place]int{},
		anyClass: math.MaxInt, wideClass: math.MaxInt,
	}
	inUse, limit := map[string]int{}, map[string]int{}
	for _, g := range v.Groups {
		region, zone := g.Zone()
		c.groups[g.Model]++
		c.zones[place{g.Model, region, zone}]++
		if g.Ready {
			inUse[g.Model] += g.Load.InFlight + g.Load.Queued
			limit[g.Model] += g.Load.Limit
		}
	}
	for m, n := range limit {
		c.busy[m] = n > 0 && 100*inUse[m] >= busyPercent*n
	}
	for _, cl := range v.Classes {
		c.anyClass = min(c.anyClass, cl.Priority())
		if cl.CrossDomain() {
			c.wideClass = min(c.wideClass, cl.Priority())
		}
	}
	return c
}

func (c counts) compare(a, b dragonflyformation.Formation) int {
	return cmp.Or(
		cmp.Compare(c.need(a.Model), c.need(b.Model)),
		cmp.Compare(c.priority(a), c.priority(b)),
		cmp.Compare(a.Loads, b.Loads),
		cmp.Compare(c.inZone(a), c.inZone(b)),
	)
}

func (c counts) need(model string) int {
	switch {
	case c.groups[model] == 0:
		return needFirst
	case c.busy[model]:
		return needBusy
	default:
		return needMore
	}
}

// priority returns the priority of the most important class that f can serve.
func (c counts) priority(f dragonflyformation.Formation) int {
	if f.CrossDomain {
		return c.wideClass
	}
	return c.anyClass
}

// inZone returns the number of groups of f's model that fall with f's zone. A
// group over several zones falls with each of them, so it comes last.
func (c counts) inZone(f dragonflyformation.Formation) int {
	if f.Zone == "" {
		return math.MaxInt
	}
	return c.zones[place{f.Model, f.Region, f.Zone}]
}
