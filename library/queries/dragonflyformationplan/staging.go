package dragonflyformationplan

import (
	"slices"

	"dragonflyrelay.example/library/values/dragonflymodelfigures"
	"dragonflyrelay.example/library/values/dragonflyobservation"
)

// staging is the working copy of one plan of loads.
type staging struct {
	View
	orders  map[string]string // model by engine id
	claimed map[string]bool   // engines that a missing group will take
}

// Stage returns which weights to load onto which engines, by engine id, at most
// v.Loads of them. First it completes sets of free engines for the groups that are
// missing; then it prepares free engines that hold nothing; then it gives warm
// engines the weights of another model, so that each of them can join a group of
// either.
func (v View) Stage() (orders map[string]string) {
	s := staging{View: v, orders: map[string]string{}, claimed: map[string]bool{}}
	domains := v.freeByDomain()
	for _, m := range v.modelsByPriority() {
		for missing := v.target(m) - v.Groups[m.Name]; missing > 0; missing-- {
			if !s.completeSet(domains, m) {
				break
			}
		}
	}
	for _, free := range domains {
		s.stageUnprepared(free)
	}
	s.stageSecondModel(v.Free)
	s.stageSecondModel(v.Grouped)
	return s.orders
}

// completeSet claims the engines for one group of m in the domain where the fewest
// loads are needed, and orders these loads. It reports whether there is such a
// domain.
func (s *staging) completeSet(domains [][]dragonflyobservation.Observation, m dragonflymodelfigures.Model) bool {
	var best, loads []string
	for _, free := range domains {
		members, missing, ok := s.membersInDomain(free, m)
		if ok && (best == nil || len(missing) < len(loads)) {
			best, loads = members, missing
		}
	}
	if best == nil || len(s.orders)+len(loads) > s.Loads {
		return false
	}
	for _, id := range best {
		s.claimed[id] = true
	}
	for _, id := range loads {
		s.orders[id] = m.Name
	}
	return true
}

// membersInDomain returns the engines of one domain for a group of m, and those of them that
// must load its weights.
func (s *staging) membersInDomain(free []dragonflyobservation.Observation, m dragonflymodelfigures.Model) (members, loads []string, ok bool) {
	var unprepared, others []string
	kept := s.transferable(free, m)
	for _, o := range free {
		_, ordered := s.orders[o.ID]
		warm := s.Warm[o.ID]
		switch {
		case s.claimed[o.ID] || ordered:
		case s.preparedFor(o, m.Name):
			members = append(members, o.ID)
		case s.unprepared(o):
			unprepared = append(unprepared, o.ID)
		case s.Pending[o.ID] == "" && kept[warm] > 0 && s.isSpare(o):
			kept[warm]--
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

// isSpare reports whether the models that the engine can serve have all the groups
// that they are to have.
func (s *staging) isSpare(o dragonflyobservation.Observation) bool {
	for _, m := range s.Models {
		if s.preparedFor(o, m.Name) && s.deficit(m) > 0 {
			return false
		}
	}
	return true
}

// stageUnprepared gives the engines of one domain that hold nothing to the model with
// the fewest spares for the engines that its groups have there, since engines are
// lost in that proportion.
func (s *staging) stageUnprepared(free []dragonflyobservation.Observation) {
	held := map[string]int{}
	for _, o := range free {
		for _, m := range s.Models {
			if s.preparedFor(o, m.Name) || s.orders[o.ID] == m.Name {
				held[m.Name]++
			}
		}
	}
	for _, o := range free {
		if _, ordered := s.orders[o.ID]; ordered || !s.unprepared(o) || len(s.orders) >= s.Loads {
			continue
		}
		m := s.scarcestModel(o.Domain, held)
		s.orders[o.ID] = m.Name
		held[m.Name]++
	}
}

func (s *staging) scarcestModel(domain string, held map[string]int) (least dragonflymodelfigures.Model) {
	engines := func(m dragonflymodelfigures.Model) int { return (1 + s.DomainGroups[domain][m.Name]) * m.Size }
	for i, m := range s.Models {
		if i == 0 || held[m.Name]*engines(least) < held[least.Name]*engines(m) {
			least = m
		}
	}
	return least
}

// stageSecondModel gives warm engines, which need no weights for the model of their
// latest group, those of the next model. It leaves half of the loads to more
// urgent ones.
func (s *staging) stageSecondModel(engines []dragonflyobservation.Observation) {
	for _, o := range engines {
		warm := slices.IndexFunc(s.Models, func(m dragonflymodelfigures.Model) bool { return m.Name == s.Warm[o.ID] })
		if warm < 0 || len(s.Models) < 2 || s.Pending[o.ID] != "" || len(s.orders) >= s.Loads/2 {
			continue
		}
		next := s.Models[(warm+1)%len(s.Models)].Name
		if _, ordered := s.orders[o.ID]; ordered || slices.ContainsFunc(o.Staged, func(m string) bool { return m != s.Warm[o.ID] }) {
			continue
		}
		s.orders[o.ID] = next
	}
}
