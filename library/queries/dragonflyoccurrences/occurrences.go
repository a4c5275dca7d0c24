// Package dragonflyoccurrences filters and sorts events of timelines.
package dragonflyoccurrences

import (
	"cmp"
	"slices"

	"dragonflyrelay.example/library/values/dragonflyoccurrence"
)

// Match reports whether o equals ids in every field that is set in ids. The time is
// ignored.
func Match(o, ids dragonflyoccurrence.Occurrence) bool {
	return matches(o.Process, ids.Process) && matches(o.Event, ids.Event) &&
		matches(o.Request, ids.Request) && matches(o.Group, ids.Group) &&
		matches(o.Instance, ids.Instance) && matches(o.Zone, ids.Zone) &&
		matches(o.Change, ids.Change) && matches(o.Detail, ids.Detail)
}

func matches[T comparable](v, want T) bool {
	var zero T
	return want == zero || v == want
}

// Sort returns a copy of events in order of time. Events of the same time are ordered
// by process, and those of the same process keep their order.
func Sort(events []dragonflyoccurrence.Occurrence) []dragonflyoccurrence.Occurrence {
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(a, b dragonflyoccurrence.Occurrence) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Process, b.Process))
	})
	return sorted
}
