package dragonflyformationplan

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"dragonflyrelay.example/library/values/dragonflyobservation"
)

// Shortage describes the models that have fewer groups than their target, and the
// free engines of each domain by the weights that they hold; "" if there are no such
// models.
func (v View) Shortage() string {
	var missing []string
	for _, m := range v.modelsByPriority() {
		if target := v.target(m); v.Groups[m.Name] < target {
			missing = append(missing, fmt.Sprintf("%s has %d of %d groups of %d", m.Name, v.Groups[m.Name], target, m.Size))
		}
	}
	if missing == nil {
		return ""
	}
	for _, free := range v.freeByDomain() {
		held := map[string]int{}
		for _, o := range free {
			held[v.describeEngine(o)]++
		}
		var parts []string
		for _, name := range slices.Sorted(maps.Keys(held)) {
			parts = append(parts, fmt.Sprintf("%d %s", held[name], name))
		}
		missing = append(missing, free[0].Domain+" free: "+strings.Join(parts, ", "))
	}
	return strings.Join(missing, "; ")
}

// describeEngine describes which models a free engine is ready for.
func (v View) describeEngine(o dragonflyobservation.Observation) string {
	var parts []string
	if m := v.Warm[o.ID]; m != "" {
		parts = append(parts, "warm "+m)
	}
	if len(o.Staged) > 0 {
		parts = append(parts, "holding "+strings.Join(o.Staged, "+"))
	}
	if m := v.Pending[o.ID]; m != "" {
		parts = append(parts, "loading "+m)
	}
	if parts == nil {
		return "empty"
	}
	return strings.Join(parts, " ")
}
