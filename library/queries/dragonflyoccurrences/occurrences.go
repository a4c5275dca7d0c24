// Package dragonflyoccurrences selects events of time lines.
package dragonflyoccurrences

import (
	"cmp"
	"slices"

	"dragonflyrelay.example/library/values/dragonflyoccurrence"
)

// Match reports whether o has every id that is set in ids. Process, event and
// detail count like ids; a time does not.
func Match(o, ids dragonflyoccurrence.Occurrence) bool {
	return has(o.Process, ids.Process) && has(o.Event, ids.Event) &&
		has(o.Request, ids.Request) && has(o.Group, ids.Group) &&
		has(o.Instance, ids.Instance) && has(o.Zone, ids.Zone) &&
		has(o.Change, ids.Change) && has(o.Detail, ids.Detail)
}

func has[T comparable](v, want T) bool {
	var zero T
	return want == zero || v == want
}

// Sort returns the events in order of time. Events at the same time are in order
// of processes, and keep their order within one.
func Sort(events []dragonflyoccurrence.Occurrence) []dragonflyoccurrence.Occurrence {
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(a, b dragonflyoccurrence.Occurrence) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Process, b.Process))
	})
	return sorted
}
