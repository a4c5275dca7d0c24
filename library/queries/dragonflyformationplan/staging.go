package dragonflyformationplan

import (
	"slices"

	"dragonflyrelay.example/library/values/dragonflymodelprofile"
	"dragonflyrelay.example/library/values/dragonflyobservation"
)

// staging is the state of one call of Stage.
type staging struct {
	View
	orders  map[string]string // model by engine id
	claimed map[string]bool   // engines reserved for missing groups
	waiting bool              // a missing group needs more loads than may begin now
}

// Stage returns the models whose weights are to be loaded, by engine id, at most
// v.Loads of them. First it completes sets of free engines for the missing groups, one after
// the other. Only if none of these waits for loads, it prepares, in a plan by demand, the
// engines that a transfer would use, then assigns weights to free engines that hold none, and
// then to warm engines the weights of another model, so that each can join a group of either.
func (v View) Stage() (orders map[string]string) {
	s := staging{View: v, orders: map[string]string{}, claimed: map[string]bool{}}
	domains := v.freeByDomain()
	for _, m := range v.modelsByPriority() {
		for missing := v.target(m) - v.Groups[m.Name]; missing > 0 && !s.waiting; missing-- {
			if !s.completeSet(domains, m) {
				break
			}
		}
	}
	if s.waiting {
		return s.orders
	}
	complete := s.stageForTransfer()
	for _, free := range domains {
		s.stageUnprepared(free)
	}
	if complete { // Otherwise each load for a second set would hold one back.
		s.stageSecondModel(v.Free)
		s.stageSecondModel(v.Grouped)
	}
	return s.orders
}

// completeSet reserves the engines for one group of m in the domain that needs the
// fewest loads, and adds these loads to the orders, as many as may begin now. It reports
// whether there is such a domain.
func (s *staging) completeSet(domains [][]dragonflyobservation.Observation, m dragonflymodelprofile.ModelProfile) bool {
	var best, loads []string
	for _, free := range domains {
		members, missing, ok := s.membersInDomain(free, m)
		if ok && (best == nil || len(missing) < len(loads)) {
			best, loads = members, missing
		}
	}
	if best == nil {
		return false
	}
	for _, id := range best {
		s.claimed[id] = true
	}
	if left := max(s.Loads-len(s.orders), 0); len(loads) > left {
		// The rest follows as loads end. Any other load would hold it back.
		loads, s.waiting = loads[:left], true
	}
	for _, id := range loads {
		s.orders[id] = m.Name
	}
	return true
}

// membersInDomain returns the ids of the engines of one domain for a group of m, and
// those of them that must load its weights. ok is false if there are too few.
func (s *staging) membersInDomain(free []dragonflyobservation.Observation, m dragonflymodelprofile.ModelProfile) (members, loads []string, ok bool) {
	var unprepared, others []string
	available := s.transferable(free, m)
	for _, o := range free {
		_, ordered := s.orders[o.ID]
		warm := s.Warm[o.ID]
		switch {
		case s.claimed[o.ID] || ordered:
		case s.preparedFor(o, m.Name):
			members = append(members, o.ID)
		case s.unprepared(o):
			unprepared = append(unprepared, o.ID)
		case s.Pending[o.ID] == "" && available[warm] > 0 && s.isSpare(o):
			available[warm]--
			others = append(others, o.ID)
		}
	}
	need := m.Size - len(members)
	if need <= 0 {
		return members[:m.Size], nil, true
	}
	candidates := append(unprepared, others...)
	if need > len(candidates) {
		return nil, nil, false
	}
	return append(members, candidates[:need]...), candidates[:need], true
}

// isSpare reports whether all models that the engine is prepared for have reached
// their target.
func (s *staging) isSpare(o dragonflyobservation.Observation) bool {
	for _, m := range s.Models {
		if s.preparedFor(o, m.Name) && s.deficit(m) > 0 {
			return false
		}
	}
	return true
}

// stageUnprepared assigns weights to the engines of one domain that hold none. Each
// goes to the model with the fewest prepared engines in proportion to the engines of
// its groups there, since engines are lost in that proportion.
func (s *staging) stageUnprepared(free []dragonflyobservation.Observation) {
	prepared := map[string]int{}
	for _, o := range free {
		for _, m := range s.Models {
			if s.preparedFor(o, m.Name) || s.orders[o.ID] == m.Name {
				prepared[m.Name]++
			}
		}
	}
	for _, o := range free {
		if _, ordered := s.orders[o.ID]; ordered || !s.unprepared(o) || len(s.orders) >= s.Loads {
			continue
		}
		m := s.scarcestModel(o.Domain, prepared)
		s.orders[o.ID] = m.Name
		prepared[m.Name]++
	}
}

func (s *staging) scarcestModel(domain string, prepared map[string]int) (scarcest dragonflymodelprofile.ModelProfile) {
	engines := func(m dragonflymodelprofile.ModelProfile) int { return (1 + s.DomainGroups[domain][m.Name]) * m.Size }
	for i, m := range s.Models {
		if i == 0 || prepared[m.Name]*engines(scarcest) < prepared[scarcest.Name]*engines(m) {
			scarcest = m
		}
	}
	return scarcest
}

// stageSecondModel assigns the weights of the next model to warm engines, which need
// none for the model of their latest group. It uses at most half of the loads and
// leaves the rest to more urgent ones.
func (s *staging) stageSecondModel(engines []dragonflyobservation.Observation) {
	for _, o := range engines {
		warm := slices.IndexFunc(s.Models, func(m dragonflymodelprofile.ModelProfile) bool { return m.Name == s.Warm[o.ID] })
		if warm < 0 || len(s.Models) < 2 || s.Pending[o.ID] != "" || len(s.orders) >= s.Loads/2 {
			continue
		}
		next := s.secondModel(warm).Name
		if _, ordered := s.orders[o.ID]; ordered || slices.ContainsFunc(o.Staged, func(m string) bool { return m != s.Warm[o.ID] }) {
			continue
		}
		s.orders[o.ID] = next
	}
}
