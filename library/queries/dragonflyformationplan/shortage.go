package dragonflyformationplan

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Shortage describes the models that have fewer groups than they are to have, and
// the free engines of each domain by the weights that they hold; "" if none has.
func (v View) Shortage() string {
	var missing []string
	for _, m := range v.byNeed() {
		if target := v.target(m); v.Groups[m.Name] < target {
			missing = append(missing, fmt.Sprintf("%s has %d of %d groups of %d", m.Name, v.Groups[m.Name], target, m.Size))
		}
	}
	if missing == nil {
		return ""
	}
	for _, free := range v.domains() {
		held := map[string]int{}
		for _, o := range free {
			name := v.holds(o, nil)
			switch {
			case v.Pending[o.ID] != "":
				name = "loading " + name
			case name == "":
				name = "empty"
			}
			held[name]++
		}
		var parts []string
		for _, name := range slices.Sorted(maps.Keys(held)) {
			parts = append(parts, fmt.Sprintf("%d %s", held[name], name))
		}
		missing = append(missing, free[0].Domain+" free: "+strings.Join(parts, ", "))
	}
	return strings.Join(missing, "; ")
}
