package dragonflyfleet

import (
	"fmt"
	"strings"

	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/queries/dragonflyplanstart"
	"dragonflyrelay.example/library/values/dragonflydocumentservice"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyobservation"
)

// coldStart is what a new leader knows of engines beyond the upstreams that it has found.
type coldStart struct {
	onlyStaged bool // groups may be formed of hosts that hold the weights only
	// unfound are the engines, by address, of which only the agent has reported.
	unfound dragonflymap.Map[string, unfound]
	heardAt dragonflyinstant.Instant // when the latest of them was reported first
}

// unfound is an engine of which only the agent beside it has reported.
type unfound struct {
	answers bool // it answers its agent
	grouped bool // it is, or was last seen, in a group of an earlier leader
}

// noteUnfound records the report o of an agent whose engine has not been found. It does so in
// the first seconds only, in which the start of planning depends on it.
func (s *step) noteUnfound(o dragonflyobservation.Observation) {
	if s.now.Sub(s.leaderSince) >= dragonflyplanstart.MaxDelay {
		return
	}
	if _, known := s.coldStart.unfound.Get(o.Address); !known {
		s.coldStart.heardAt = s.now
	}
	s.coldStart.unfound = s.coldStart.unfound.With(o.Address, unfound{
		answers: o.State == dragonflyobservation.Unknown, grouped: mayServe(o.Group),
	})
}

// mayServe reports whether g is a group whose head may serve, as far as its name tells.
func mayServe(g dragonflyenginegroup.Group) bool {
	return g.Name != "" && g.State != dragonflyenginegroup.None && !strings.HasPrefix(g.Name, standbyPrefix)
}

// decideStart decides whether groups may be formed, and of what hosts.
func (s *step) decideStart() {
	v, before := s.startView(), s.coldStart.onlyStaged
	s.mayPlan, s.coldStart.onlyStaged = v.Start()
	if s.coldStart.onlyStaged != before {
		s.planDue = true
	}
	if s.coldStart.onlyStaged && !before {
		s.emit("cold-start", "", "", fmt.Sprintf("no engine is in a group %s after the election, nothing new for %s, %d domains, %d engines known incompletely",
			seconds(v.Led), seconds(v.Quiet), v.Domains, v.Incomplete))
	}
	if s.now.Sub(s.leaderSince) >= dragonflyplanstart.MaxDelay {
		s.coldStart.unfound = dragonflymap.Map[string, unfound]{}
	}
}

// formStaged forms the groups that need no load from the store. The other engines wait.
func (s *step) formStaged(svc dragonflydocumentservice.Service) {
	for m, members := range s.planView(svc).Staged() {
		s.form(svc.Name, m, members)
	}
}

// startView returns the input of the decision on the start of planning.
func (s *step) startView() dragonflyplanstart.View {
	v := dragonflyplanstart.View{
		Led: s.now.Sub(s.leaderSince), Quiet: s.now.Sub(s.lastFoundAt), HasTraffic: s.hasTraffic,
	}
	if v.Led >= dragonflyplanstart.MinDelay {
		return v // The rest does not matter any more, and grows with the number of engines.
	}
	v.Quiet = min(v.Quiet, s.now.Sub(s.coldStart.heardAt))
	for address, a := range s.coldStart.unfound.All() {
		if _, found := s.addresses.Get(address); found {
			continue
		}
		v.HasGroups = v.HasGroups || a.grouped
		if a.answers {
			v.Incomplete++
		}
	}
	domains := map[string]bool{}
	for _, u := range s.upstreams.All() {
		svc, _ := s.document.Services().Get(u.obs.Service)
		if !svc.Grouped() {
			continue
		}
		domains[u.obs.Domain] = true
		if u.agentReportAt == 0 {
			v.Incomplete++
		}
		v.HasGroups = v.HasGroups || s.keepsGroup(u)
	}
	v.Domains = len(domains)
	return v
}

// keepsGroup reports whether u is in a group that this leader has not ordered it to join.
func (s *step) keepsGroup(u upstream) bool {
	return mayServe(u.obs.Group) && u.obs.Group.Epoch != u.joinEpoch || s.isHeld(u)
}
