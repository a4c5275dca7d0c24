package dragonflyfleet

import (
	"fmt"
	"slices"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/queries/dragonflyformationplan"
	"dragonflyrelay.example/library/values/dragonflydocumentservice"
	"dragonflyrelay.example/library/values/dragonflymodeldemand"
	"dragonflyrelay.example/library/values/dragonflymodelload"
)

// WithPlanByDemand returns f with the choice whether groups are planned by the observed
// demand instead of the configured shares.
func (f Fleet) WithPlanByDemand(on bool) Fleet {
	f.byDemand = on
	return f
}

// observeDemands keeps the work that arrives at the entry process.
func (s *step) observeDemands(process string, demands []dragonflymodeldemand.Demand) {
	if s.leads && s.byDemand {
		s.shares = s.shares.WithReport(s.now, process, demands)
	}
}

// updateShares applies the demand and the use of the groups to the planned shares.
func (s *step) updateShares() {
	if !s.byDemand {
		return
	}
	s.shares = s.shares.WithTime(s.now)
	for _, svc := range s.document.Services().All() {
		if !svc.Grouped() {
			continue
		}
		change := ""
		if s.shares, change = s.shares.WithLoads(s.now, svc.Name, s.modelLoads(svc)); change != "" {
			s.emit("shares-planned", "", "", "service "+svc.Name+": "+change)
		}
	}
}

// modelLoads returns how much of the groups of each model is in use.
func (s *step) modelLoads(svc dragonflydocumentservice.Service) (loads []dragonflymodelload.Load) {
	for _, m := range svc.Engine.Models {
		loads = append(loads, dragonflymodelload.Load{Model: m.Name, Share: m.Share, Size: m.Size, Pace: m.TimeFactor()})
	}
	for _, g := range s.groups.All() {
		i := slices.IndexFunc(loads, func(l dragonflymodelload.Load) bool { return l.Model == g.model })
		head, ok := s.upstreams.Get(g.head())
		if g.service != svc.Name || g.phase != serving || i < 0 || !ok {
			continue
		}
		loads[i].Groups++
		slots := max(svc.Engine.Slots, head.obs.Slots, 1)
		loads[i].Busy += min(float64(head.obs.Running+head.obs.Queued)/float64(slots), 1)
	}
	return loads
}

// withDemand returns v with the planned shares of the service and the models that are
// short. Without evidence the configured shares hold, and existing groups stay.
func (s *step) withDemand(svc dragonflydocumentservice.Service, v dragonflyformationplan.View) dragonflyformationplan.View {
	if !s.byDemand {
		return v
	}
	planned := s.shares.Planned(svc.Name)
	v.KeepSurplus = !s.shares.Complete() || len(s.shares.Short(svc.Name)) == 0
	v.ByDemand = planned != nil
	if !v.ByDemand {
		return v
	}
	v.Short = s.shares.Short(svc.Name)
	v.Models = slices.Clone(v.Models)
	for i, m := range v.Models {
		v.Models[i].Share = planned[m.Name]
	}
	return v
}

// lossSettleTime is the time after a loss in which no group is drained for another one. The
// agents of a domain that is lost report it one after the other, and the engines that are not
// reported yet pass for idle ones.
const lossSettleTime = dragonflyduration.Second / 2

// settleLosses makes a plan due once lossSettleTime has passed.
func (s *step) settleLosses() {
	if s.lossAt != 0 && s.now.Sub(s.lossAt) >= lossSettleTime {
		s.lossAt, s.planDue = 0, true
	}
}

// transfer drains groups whose engines form a group of a model that lacks one. It begins
// only once all groups have been reported, no earlier one leaves or is formed, so that the
// demand is measured against the groups that result, and no loss has just been reported.
func (s *step) transfer(svc dragonflydocumentservice.Service) {
	if s.lossAt != 0 || !s.AllReported(s.now) {
		return
	}
	for _, g := range s.groups.All() {
		if g.service == svc.Name && g.phase != serving && g.phase != headLost {
			return
		}
	}
	v := s.withReturning(svc, s.planView(svc))
	names, members, m, ok := v.Transfer()
	for _, name := range names {
		g, known := s.groups.Get(name)
		ok = ok && known && g.phase == serving
	}
	if !ok {
		return
	}
	for _, name := range names {
		g, _ := s.groups.Get(name)
		s.reserve(members, m.Name)
		s.setPhase(g, closing, fmt.Sprintf("its engines form a group of %s, which has %d and lacks one, %s keeps %d or more",
			m.Name, v.Groups[m.Name], g.model, v.Groups[g.model]-len(names)))
	}
}

// withReturning returns v with the engines that are about to leave a group that has ended,
// as free ones, and with the groups whose heads may be heard of again. No group is drained
// in place of them.
func (s *step) withReturning(svc dragonflydocumentservice.Service, v dragonflyformationplan.View) dragonflyformationplan.View {
	for id, u := range s.upstreams.All() {
		if _, grouped := s.memberOf.Get(id); !grouped && u.obs.Service == svc.Name && !s.inOutZone(u) && s.usable(u) && !s.groupReleased(u) {
			v.Free = append(v.Free, u.obs)
			s.addWeights(v, u.obs)
		}
	}
	for _, g := range s.groups.All() {
		if g.service == svc.Name && g.phase == headLost {
			v.Groups[g.model]++
		}
	}
	return v.WithTargets()
}
