package dragonflyfleet

import (
	"slices"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/queries/dragonflyreturnestimate"
	"dragonflyrelay.example/library/values/dragonflydocumentservice"
	"dragonflyrelay.example/library/values/dragonflyforminggroup"
	"dragonflyrelay.example/library/values/dragonflymodelreturn"
)

const (
	// returnsInterval is the shortest time between two changes of the estimates that wake
	// the entries. They get the present ones with every other response as well.
	returnsInterval = 300 * dragonflyduration.Millisecond
	// returnsTolerance is the change of an estimated instant that wakes no entry: estimates
	// are wrong by about as much, since reports and ticks are 0.1 s apart.
	returnsTolerance = 200 * dragonflyduration.Millisecond
)

// publishedReturns are the estimates that the entries were last woken for.
type publishedReturns struct {
	at  dragonflyinstant.Instant
	all []dragonflymodelreturn.Return // from at on
}

// Returns returns the estimates, from now on, for the models of grouped services that no group
// serves. An instance that does not lead has none.
func (f Fleet) Returns(now dragonflyinstant.Instant) (all []dragonflymodelreturn.Return) {
	if !f.leads {
		return nil
	}
	s := step{Fleet: f, now: now}
	for _, svc := range f.document.Services().All() {
		if svc.Grouped() && s.lacksGroups(svc) {
			all = append(all, s.returnView(svc).Returns()...)
		}
	}
	return all
}

// lacksGroups reports whether no group serves one of the models of the service.
func (s *step) lacksGroups(svc dragonflydocumentservice.Service) bool {
	for _, m := range svc.Engine.Models {
		if s.servingGroups(svc.Name, m.Name) == 0 {
			return true
		}
	}
	return false
}

// returnView returns the input of the estimates for the service.
func (s *step) returnView(svc dragonflydocumentservice.Service) dragonflyreturnestimate.View {
	start := s.startView()
	v := dragonflyreturnestimate.View{
		Service: svc.Name, Profile: svc.Engine, Serving: map[string]bool{}, Staged: map[string]int{}, PlanIn: start.In(), AllIn: start.AllIn(),
	}
	for _, g := range s.groups.All() {
		switch {
		case g.service != svc.Name:
		case g.phase == serving:
			v.Serving[g.model] = true
		case g.phase == forming:
			v.Forming = append(v.Forming, s.formingGroup(g))
		}
	}
	free, _ := s.freeEngines(svc.Name)
	engines, staged := map[string]int{}, map[[2]string]int{} // by domain, and by domain and model
	for _, o := range free {
		engines[o.Domain]++
		v.Free = max(v.Free, engines[o.Domain])
		u, _ := s.upstreams.Get(o.ID)
		for _, m := range svc.Engine.Models {
			if u.warmModel == m.Name || slices.Contains(o.Staged, m.Name) {
				staged[[2]string{o.Domain, m.Name}]++
				v.Staged[m.Name] = max(v.Staged[m.Name], staged[[2]string{o.Domain, m.Name}])
			}
		}
	}
	return v
}

// formingGroup returns how far g, which forms, has come. A member that has joined is ready.
func (s *step) formingGroup(g group) dragonflyforminggroup.FormingGroup {
	f := dragonflyforminggroup.FormingGroup{Model: g.model, Ready: g.membersReady, Warm: true, Age: s.now.Sub(g.phaseSince)}
	if g.membersReady {
		f.Age = s.now.Sub(g.readyAt)
	}
	for _, id := range g.members {
		u, _ := s.upstreams.Get(id)
		staged := slices.Contains(u.obs.Staged, g.model)
		f.Warm = f.Warm && u.warmModel == g.model
		f.Loads = f.Loads || u.warmModel != g.model && !staged
	}
	return f
}

// publishReturns makes entries that wait receive the estimates if they differ from those that
// the entries were last woken for.
func (s *step) publishReturns() {
	if s.now.Sub(s.returns.at) < returnsInterval {
		return
	}
	all := s.Returns(s.now)
	passed := s.now.Sub(s.returns.at)
	if slices.EqualFunc(all, s.returns.all, func(a, b dragonflymodelreturn.Return) bool {
		moved := a.In - max(b.In-passed, 0)
		return a.Service == b.Service && a.Model == b.Model && max(moved, -moved) <= returnsTolerance
	}) {
		return
	}
	s.returns = publishedReturns{at: s.now, all: all}
	s.revision++
	s.changes++
}
