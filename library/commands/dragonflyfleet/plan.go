package dragonflyfleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/queries/dragonflyformationplan"
	"dragonflyrelay.example/library/values/dragonflydocumentservice"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflymodelprofile"
	"dragonflyrelay.example/library/values/dragonflyobservation"
)

// loadWindow is the sliding window over which the rate of weight loads is limited.
const loadWindow = 5 * dragonflyduration.Second

// plan forms as many groups as the free engines allow, preempts groups, and stages
// weights on the spares and warms them up.
func (s *step) plan() {
	s.planDue, s.plannedAt = false, s.now
	for _, svc := range s.document.Services().All() {
		if !svc.Grouped() {
			continue
		}
		if s.coldStart.onlyStaged {
			s.formStaged(svc)
			continue
		}
		for s.formNext(svc) {
		}
		s.preempt(svc)
		s.transfer(svc)
		s.stageWeights(svc)
		s.warmSpares(svc)
		s.emitShortage(svc)
	}
}

// emitShortage records the models that have fewer groups than their target, with the
// free engines, whenever this description changes.
func (s *step) emitShortage(svc dragonflydocumentservice.Service) {
	detail := s.planView(svc).Shortage()
	if last, _ := s.shortages.Get(svc.Name); last == detail {
		return
	}
	s.shortages = s.shortages.With(svc.Name, detail)
	if detail != "" {
		s.emit("groups-missing", "", "", "service "+svc.Name+": "+detail)
	}
}

// freeEngines returns the usable engines of the service that are in no group, and the
// total number of its engines. Engines in zones that are taken out of service count
// for neither.
func (s *step) freeEngines(service string) (free []dragonflyobservation.Observation, total int) {
	for id, u := range s.upstreams.All() {
		if u.obs.Service != service || s.inOutZone(u) {
			continue
		}
		total++
		if _, grouped := s.memberOf.Get(id); !grouped && s.usable(u) && s.groupReleased(u) {
			free = append(free, u.obs)
		}
	}
	return free, total
}

// inOutZone reports whether the zone of u is taken out of service. The groups of such
// a zone get no requests, so that the plan replaces them elsewhere.
func (s *step) inOutZone(u upstream) bool {
	out, _ := s.outZones.Get(u.obs.Zone)
	return out
}

// groupReleased reports whether u is in no group, or in one that never serves.
func (s *step) groupReleased(u upstream) bool {
	g := u.obs.Group
	if g.State == dragonflyenginegroup.None {
		return !s.isHeld(u)
	}
	if _, ended := s.endedGroups.Get(g.Name); ended {
		return false // It is ordered to leave first.
	}
	// Any other group is adopted first, or ended. Its head may open late by an order of an earlier
	// leader, and the engine may join late.
	return strings.HasPrefix(g.Name, standbyPrefix) && !g.MayServe()
}

// planView returns the input of the formation plan for the service.
func (s *step) planView(svc dragonflydocumentservice.Service) dragonflyformationplan.View {
	free, total := s.freeEngines(svc.Name)
	v := dragonflyformationplan.View{
		Models: svc.Engine.Models, Groups: map[string]int{}, DomainGroups: map[string]map[string]int{},
		Free: free, Total: total, Pending: map[string]string{}, Warm: map[string]string{}, Loads: s.loadsLeft(svc), WaitForLoads: !s.hasTraffic,
		Reserved: s.reserved(),
	}
	for _, o := range free {
		s.addWeights(v, o)
	}
	for _, g := range s.groups.All() {
		head, _ := s.upstreams.Get(g.head())
		if g.service != svc.Name || g.phase > serving || s.inOutZone(head) {
			continue
		}
		for _, id := range g.members {
			if u, ok := s.upstreams.Get(id); ok {
				v.Grouped = append(v.Grouped, u.obs)
				s.addWeights(v, u.obs)
			}
		}
		v.Groups[g.model]++
		counts := v.DomainGroups[head.obs.Domain]
		if counts == nil {
			counts = map[string]int{}
			v.DomainGroups[head.obs.Domain] = counts
		}
		counts[g.model]++
	}
	return s.withDemand(svc, v).WithTargets()
}

// addWeights adds the warm model and the pending weight load of the engine o to v.
func (s *step) addWeights(v dragonflyformationplan.View, o dragonflyobservation.Observation) {
	u, _ := s.upstreams.Get(o.ID)
	if u.warmModel != "" {
		v.Warm[o.ID] = u.warmModel
	}
	if u.stageModel != "" && !slices.Contains(o.Staged, u.stageModel) {
		v.Pending[o.ID] = u.stageModel
	}
}

func (s *step) formNext(svc dragonflydocumentservice.Service) bool {
	m, members, ok := s.planView(svc).Next()
	if ok {
		s.form(svc.Name, m, members)
	}
	return ok
}

// preempt ends a group whose engines are worth more in a group of another model. It
// ends one group at a time, since the engines are free only once the head has left.
// A new leader waits until all groups have been reported.
func (s *step) preempt(svc dragonflydocumentservice.Service) {
	if !s.AllReported(s.now) {
		return
	}
	for _, g := range s.groups.All() {
		if g.service == svc.Name && g.phase == ending {
			return
		}
	}
	name, m, ok := s.planView(svc).Preempt()
	if !ok {
		return
	}
	if g, known := s.groups.Get(name); known && g.phase == serving && s.servingGroups(svc.Name, g.model) > 1 {
		s.setPhase(g, ending, "its engines complete a group of "+m.Name)
	}
}

func (s *step) form(service string, m dragonflymodelprofile.ModelProfile, members []dragonflyobservation.Observation) {
	s.endReservations(m.Name)
	s.epochs = s.epochs.WithNext()
	g := group{
		name: fmt.Sprintf("g%x", s.epochs.Last()), epoch: s.epochs.Last(), service: service, model: m.Name,
		phase: forming, phaseSince: s.now,
	}
	for _, o := range members {
		g.members = append(g.members, o.ID)
		u, _ := s.upstreams.Get(o.ID)
		if u.warmModel != m.Name && !slices.Contains(o.Staged, m.Name) {
			s.recordLoad()
		}
		u.standby = standby{}
		s.upstreams = s.upstreams.With(o.ID, u.withJoinOrder(g.epoch))
	}
	s.setGroup(g)
	s.emit("group-formed", g.head(), g.name, fmt.Sprintf("epoch %d, model %s, members %v", g.epoch, g.model, g.members))
}

func (s *step) recordLoad() {
	recent := s.recentLoads()
	s.loadStarts = append(recent[:len(recent):len(recent)], s.now)
}

func (s *step) recentLoads() []dragonflyinstant.Instant {
	i := 0
	for i < len(s.loadStarts) && s.now.Sub(s.loadStarts[i]) > loadWindow {
		i++
	}
	return s.loadStarts[i:]
}

// loadsLeft returns how many weight loads may start now. Loads are unlimited until the
// first requests arrive.
func (s *step) loadsLeft(svc dragonflydocumentservice.Service) int {
	if !s.hasTraffic || svc.Engine.LoadsPerSecond <= 0 {
		return 1 << 20
	}
	return int(svc.Engine.LoadsPerSecond*loadWindow.Seconds()) - len(s.recentLoads())
}

// stageWeights orders weight loads on free engines. Before the first requests arrive,
// it waits for groups that are forming, since concurrent loads slow each other down.
func (s *step) stageWeights(svc dragonflydocumentservice.Service) {
	for _, g := range s.groups.All() {
		if !s.hasTraffic && g.service == svc.Name && g.phase == forming {
			return
		}
	}
	v := s.planView(svc)
	if s.hasTraffic && svc.Engine.LoadsAtOnce > 0 {
		v.Loads = min(v.Loads, svc.Engine.LoadsAtOnce-len(v.Pending))
	}
	orders := v.Stage()
	for _, id := range slices.Sorted(maps.Keys(orders)) {
		model := orders[id]
		u, _ := s.upstreams.Get(id)
		u.stageModel, u.stagedAt = model, s.now
		s.upstreams = s.upstreams.With(id, u)
		s.noteOrderChange(u.obs.Address)
		s.recordLoad()
		s.emit("weights-staged", id, "", fmt.Sprintf("model %s, loads in progress before this plan %d, left to it %d", model, len(v.Pending), v.Loads))
	}
}

// warmSpares creates a standby group for each free engine that holds weights and has
// not been in a group since its start.
func (s *step) warmSpares(svc dragonflydocumentservice.Service) {
	free, _ := s.freeEngines(svc.Name)
	for _, o := range free {
		u, _ := s.upstreams.Get(o.ID)
		if len(o.Staged) == 0 || u.stageModel != "" && !slices.Contains(o.Staged, u.stageModel) {
			continue
		}
		model := o.Staged[len(o.Staged)-1]
		if _, ok := svc.Engine.Model(model); !ok || u.warmModel != "" || u.standby.model == model && !hasRefused(u, u.standby.epoch) {
			continue
		}
		s.epochs = s.epochs.WithNext()
		u.standby = standby{name: fmt.Sprintf("%s%x", standbyPrefix, s.epochs.Last()), epoch: s.epochs.Last(), model: model}
		s.upstreams = s.upstreams.With(o.ID, u.withJoinOrder(s.epochs.Last()))
		s.noteOrderChange(u.obs.Address)
		s.emit("spare-warmed", o.ID, "", "model "+model)
	}
}
