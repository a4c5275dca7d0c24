package dragonflyformationplan

import (
	"slices"

	"dragonflyrelay.example/library/values/dragonflymodelfigures"
	"dragonflyrelay.example/library/values/dragonflyobservation"
)

// Stage returns which weights to load onto free engines, by engine id, at most
// v.Loads of them. First it completes sets of engines that can then form a group
// that is wanted; then it gives engines without weights to the model that has
// the fewest prepared spares in their domain.
func (v View) Stage() (orders map[string]string) {
	orders = map[string]string{}
	domains := v.domains()
	for _, m := range v.byNeed() {
		for missing := v.target(m) - v.Groups[m.Name]; missing > 0; missing-- {
			if !v.completeSet(domains, m, orders) {
				break
			}
		}
	}
	for _, free := range domains {
		v.stageIdle(free, orders)
	}
	return orders
}

// holds returns the model whose weights the engine holds or is to hold, "" if none.
func (v View) holds(o dragonflyobservation.Observation, orders map[string]string) string {
	if m, ok := orders[o.ID]; ok {
		return m
	}
	if m, ok := v.Pending[o.ID]; ok {
		return m
	}
	if len(o.Staged) > 0 {
		return o.Staged[len(o.Staged)-1]
	}
	return ""
}

// completeSet orders the loads that the domain with the fewest missing engines
// needs for a group of m.
func (v View) completeSet(domains [][]dragonflyobservation.Observation, m dragonflymodelfigures.Model, orders map[string]string) bool {
	var best []string
	for _, free := range domains {
		have := 0
		var empty, other []string
		for _, o := range free {
			switch held := v.holds(o, orders); {
			case held == m.Name:
				have++
			case held == "":
				empty = append(empty, o.ID)
			case v.Pending[o.ID] == "" && orders[o.ID] == "" && v.spareOf(held):
				other = append(other, o.ID)
			}
		}
		need := m.Size - have
		candidates := append(empty, other...)
		if need <= 0 || need > len(candidates) || best != nil && need >= len(best) {
			continue
		}
		best = candidates[:need]
	}
	if best == nil || len(orders)+len(best) > v.Loads {
		return false
	}
	for _, id := range best {
		orders[id] = m.Name
	}
	return true
}

// spareOf reports whether engines that hold the named model may be given to
// another one: the model has all the groups that it is to have.
func (v View) spareOf(name string) bool {
	i := slices.IndexFunc(v.Models, func(m dragonflymodelfigures.Model) bool { return m.Name == name })
	return i < 0 || v.Groups[name] >= v.target(v.Models[i])
}

// stageIdle gives the engines of one domain that hold no weights to the model
// with the fewest prepared spares for its size.
func (v View) stageIdle(free []dragonflyobservation.Observation, orders map[string]string) {
	held := map[string]int{}
	for _, o := range free {
		held[v.holds(o, orders)]++
	}
	for _, o := range free {
		if v.holds(o, orders) != "" || len(orders) >= v.Loads {
			continue
		}
		m := leastHeld(v.Models, held)
		orders[o.ID] = m.Name
		held[m.Name]++
	}
}

func leastHeld(models []dragonflymodelfigures.Model, held map[string]int) (least dragonflymodelfigures.Model) {
	for i, m := range models {
		if i == 0 || held[m.Name]*least.Size < held[least.Name]*m.Size {
			least = m
		}
	}
	return least
}
