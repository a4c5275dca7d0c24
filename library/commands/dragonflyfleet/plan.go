package dragonflyfleet

import (
	"fmt"
	"maps"
	"slices"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/queries/dragonflyformationplan"
	"dragonflyrelay.example/library/values/dragonflydocumentservice"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflymodelfigures"
	"dragonflyrelay.example/library/values/dragonflyobservation"
)

// loadWindow is the span over which the rate of weight loads is bounded.
const loadWindow = 5 * dragonflyduration.Second

// plan forms the groups that the free engines allow and stages weights on spares.
func (s *step) plan() {
	for _, svc := range s.document.Services().All() {
		if !svc.Grouped() {
			continue
		}
		for s.formNext(svc) {
		}
		s.yield(svc)
		s.stage(svc)
		s.warmSpares(svc)
		s.noteShortage(svc)
	}
}

// noteShortage records, when it changes, which free engines there are while a
// model has fewer groups than it is to have.
func (s *step) noteShortage(svc dragonflydocumentservice.Service) {
	detail := s.view(svc).Shortage()
	if last, _ := s.shortages.Get(svc.Name); last == detail {
		return
	}
	s.shortages = s.shortages.With(svc.Name, detail)
	if detail != "" {
		s.note("groups-missing", "", "", "service "+svc.Name+": "+detail)
	}
}

// free returns the usable engines of the service that are in no group, and the
// number of its engines. Zones that are taken out do not count.
func (s *step) free(service string) (free []dragonflyobservation.Observation, total int) {
	taken := map[string]bool{}
	for _, g := range s.groups.All() {
		for _, id := range g.members {
			taken[id] = true
		}
	}
	for id, r := range s.records.All() {
		if r.obs.Service != service || s.out(r) {
			continue
		}
		total++
		if !taken[id] && s.usable(r) && s.released(r) {
			free = append(free, r.obs)
		}
	}
	return free, total
}

// out reports whether the zone of r is taken out. Its groups get no requests, so
// that they do not count.
func (s *step) out(r record) bool {
	out, _ := s.outZones.Get(r.obs.Zone)
	return out
}

// released reports whether the group that r reports, if any, cannot have a head
// that still serves.
func (s *step) released(r record) bool {
	g := r.obs.Group
	if g.State == dragonflyenginegroup.None {
		return true
	}
	if _, over := s.ended.Get(g.Name); over {
		return true
	}
	if g.Rank == 0 {
		return g.State == dragonflyenginegroup.Ready || g.State == dragonflyenginegroup.Joining
	}
	for _, other := range s.records.All() {
		if h := other.obs.Group; h.Rank == 0 && h.Is(g.Name, g.Epoch) {
			return h.State == dragonflyenginegroup.Ready || h.State == dragonflyenginegroup.Joining
		}
	}
	// The head is not known. It may be cut off from control and still serve.
	return s.now.Sub(s.ledAt) > ForgetAfter
}

// view returns what the plan for the service rests on.
func (s *step) view(svc dragonflydocumentservice.Service) dragonflyformationplan.View {
	free, total := s.free(svc.Name)
	v := dragonflyformationplan.View{
		Models: svc.Engine.Models, Groups: map[string]int{}, DomainGroups: map[string]map[string]int{},
		Free: free, Total: total, Pending: map[string]string{}, Warm: map[string]string{}, Loads: s.loadsLeft(svc), WaitForLoads: !s.traffic,
	}
	for _, o := range free {
		s.prepare(v, o)
	}
	for _, g := range s.groups.All() {
		head, _ := s.records.Get(g.head())
		if g.service != svc.Name || g.phase > serving || s.out(head) {
			continue
		}
		for _, id := range g.members {
			if r, ok := s.records.Get(id); ok {
				v.Grouped = append(v.Grouped, r.obs)
				s.prepare(v, r.obs)
			}
		}
		v.Groups[g.model]++
		in := v.DomainGroups[head.obs.Domain]
		if in == nil {
			in = map[string]int{}
			v.DomainGroups[head.obs.Domain] = in
		}
		in[g.model]++
	}
	return v.WithTargets()
}

// prepare tells the view which groups the engine o can join.
func (s *step) prepare(v dragonflyformationplan.View, o dragonflyobservation.Observation) {
	r, _ := s.records.Get(o.ID)
	if r.warm != "" {
		v.Warm[o.ID] = r.warm
	}
	if r.stage != "" && !slices.Contains(o.Staged, r.stage) {
		v.Pending[o.ID] = r.stage
	}
}

func (s *step) formNext(svc dragonflydocumentservice.Service) bool {
	m, members, ok := s.view(svc).Next()
	if ok {
		s.form(svc.Name, m, members)
	}
	return ok
}

// yield ends a group whose engines are worth more in a group of another model. One
// at a time: the engines are free once the head has left. A new leader does not
// know yet which groups there are.
func (s *step) yield(svc dragonflydocumentservice.Service) {
	if !s.Complete(s.now) {
		return
	}
	for _, g := range s.groups.All() {
		if g.service == svc.Name && g.phase == ending {
			return
		}
	}
	name, m, ok := s.view(svc).Preempt()
	if !ok {
		return
	}
	if g, known := s.groups.Get(name); known && g.phase == serving && s.servingGroups(svc.Name, g.model) > 1 {
		s.turn(g, ending, "its engines complete a group of "+m.Name)
	}
}

func (s *step) form(service string, m dragonflymodelfigures.Model, members []dragonflyobservation.Observation) {
	s.lastEpoch++
	g := group{
		name: fmt.Sprintf("g%x", s.lastEpoch), epoch: s.lastEpoch, service: service, model: m.Name,
		phase: forming, since: s.now,
	}
	for _, o := range members {
		g.members = append(g.members, o.ID)
		r, _ := s.records.Get(o.ID)
		if r.warm != m.Name && !slices.Contains(o.Staged, m.Name) {
			s.countLoad()
		}
		r.standby = standby{}
		s.records = s.records.With(o.ID, r)
	}
	s.groups = s.groups.With(g.name, g)
	s.note("group-formed", g.head(), g.name, fmt.Sprintf("epoch %d, model %s, members %v", g.epoch, g.model, g.members))
}

func (s *step) countLoad() {
	recent := s.recentLoads()
	s.loads = append(recent[:len(recent):len(recent)], s.now)
}

func (s *step) recentLoads() []dragonflyinstant.Instant {
	i := 0
	for i < len(s.loads) && s.now.Sub(s.loads[i]) > loadWindow {
		i++
	}
	return s.loads[i:]
}

// loadsLeft returns how many weight loads may begin now. Loads are free of the
// bound until the first requests come.
func (s *step) loadsLeft(svc dragonflydocumentservice.Service) int {
	if !s.traffic || svc.Engine.LoadsPerSecond <= 0 {
		return 1 << 20
	}
	return int(svc.Engine.LoadsPerSecond*loadWindow.Seconds()) - len(s.recentLoads())
}

// stage loads weights onto free engines. Before the first requests it waits while
// groups are forming, since loads slow each other down.
func (s *step) stage(svc dragonflydocumentservice.Service) {
	for _, g := range s.groups.All() {
		if !s.traffic && g.service == svc.Name && g.phase == forming {
			return
		}
	}
	v := s.view(svc)
	if s.traffic && svc.Engine.LoadsAtOnce > 0 {
		v.Loads = min(v.Loads, svc.Engine.LoadsAtOnce-len(v.Pending))
	}
	orders := v.Stage()
	for _, id := range slices.Sorted(maps.Keys(orders)) {
		model := orders[id]
		r, _ := s.records.Get(id)
		r.stage = model
		s.records = s.records.With(id, r)
		s.countLoad()
		s.note("weights-staged", id, "", "model "+model)
	}
}

// warmSpares lets each free engine that holds weights, but has not been in a group,
// join one of its own.
func (s *step) warmSpares(svc dragonflydocumentservice.Service) {
	free, _ := s.free(svc.Name)
	for _, o := range free {
		r, _ := s.records.Get(o.ID)
		if len(o.Staged) == 0 || r.stage != "" && !slices.Contains(o.Staged, r.stage) {
			continue
		}
		model := o.Staged[len(o.Staged)-1]
		if _, ok := svc.Engine.Model(model); !ok || r.warm != "" || r.standby.model == model {
			continue
		}
		s.lastEpoch++
		r.standby = standby{name: fmt.Sprintf("%s%x", standbyPrefix, s.lastEpoch), epoch: s.lastEpoch, model: model}
		s.records = s.records.With(o.ID, r)
		s.note("spare-warmed", o.ID, "", "model "+model)
	}
}
