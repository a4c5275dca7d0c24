// Package dragonflyreturnestimate estimates when a model that no group serves will be served
// again. After an outage, requests of several seconds arrive for such models: an entry keeps
// those that can be served in time, and refuses the others with the time of the return.
package dragonflyreturnestimate

import (
	"cmp"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyengineprofile"
	"dragonflyrelay.example/library/values/dragonflyforminggroup"
	"dragonflyrelay.example/library/values/dragonflymodelprofile"
	"dragonflyrelay.example/library/values/dragonflymodelreturn"
)

const (
	// leastIn is the estimate for a group that is overdue: the leader hears of an opening
	// with the next report and counts time in ticks of 100 ms.
	leastIn = 100 * dragonflyduration.Millisecond
	// overdueSlack is the time after which a group that takes longer than twice its expected
	// time gives no estimate any more.
	overdueSlack = 2 * dragonflyduration.Second
)

// View is what the leader knows of a service.
type View struct {
	// Service is the name of the service and Profile that of its engines.
	Service string
	Profile dragonflyengineprofile.EngineProfile
	// Serving contains the models that a group serves.
	Serving map[string]bool
	// Forming are the groups that form.
	Forming []dragonflyforminggroup.FormingGroup
	// PlanIn is the expected time until groups are formed, 0 if they may be formed already.
	PlanIn dragonflyduration.Duration
	// AllIn is the expected time until the engines that are known count as all of them, 0 if
	// they do already.
	AllIn dragonflyduration.Duration
	// Free is the number of free engines of the fabric domain that has the most, and Staged
	// the number of those, in the domain that has the most, whose hosts hold the weights, by
	// model.
	Free   int
	Staged map[string]int
}

// Returns returns the estimates for the models that no group serves, in the order of the
// profile. A model without an estimate is not expected to be served soon.
func (v View) Returns() (all []dragonflymodelreturn.Return) {
	for _, m := range v.Profile.Models {
		if v.Serving[m.Name] {
			continue
		}
		if in, ok := v.in(m); ok {
			all = append(all, dragonflymodelreturn.Return{Service: v.Service, Model: m.Name, In: in})
		}
	}
	return all
}

// in returns the time until the next group of m is expected to serve. ok is false if none is.
func (v View) in(m dragonflymodelprofile.ModelProfile) (in dragonflyduration.Duration, ok bool) {
	for _, g := range v.Forming {
		if left, hopeful := v.left(m, g); g.Model == m.Name && hopeful && (!ok || left < in) {
			in, ok = left, true
		}
	}
	if ok {
		return in, true
	}
	switch {
	case v.Staged[m.Name] >= m.Size, v.PlanIn > 0 && v.Free < m.Size:
		// Engines that have not reported yet hold their weights, as after an outage.
		return v.PlanIn + m.Warmup + v.Profile.FormTime, true
	case v.AllIn > 0 && (v.Staged[m.Name] > 0 || v.Free < m.Size):
		// The same, if groups of the hosts that hold their weights may be formed already.
		return cmp.Or(v.PlanIn, v.AllIn) + m.Warmup + v.Profile.FormTime, true
	case v.Free >= m.Size:
		return v.PlanIn + m.Load + v.Profile.FormTime, true
	default:
		return 0, false
	}
}

// left returns the time until g, a group of m, is expected to serve. hopeful is false if it is
// overdue for so long that nothing is to be expected.
func (v View) left(m dragonflymodelprofile.ModelProfile, g dragonflyforminggroup.FormingGroup) (left dragonflyduration.Duration, hopeful bool) {
	joining := m.Warmup
	switch {
	case g.Ready, g.Warm:
		joining = 0
	case g.Loads:
		joining = m.Load
	}
	whole := joining + v.Profile.FormTime
	if g.Age > 2*whole+overdueSlack {
		return 0, false
	}
	if !g.Ready && g.Age > joining {
		return max(v.Profile.FormTime, leastIn), true // The members are late.
	}
	return max(whole-g.Age, leastIn), true
}
