// Package dragonflyoccurrences filters and sorts events of timelines.
package dragonflyoccurrences

import (
	"cmp"
	"slices"

	"dragonflyrelay.example/library/values/dragonflyoccurrence"
)

// Match reports whether o equals filter in every field that is set in filter. The time
// is ignored.
func Match(o, filter dragonflyoccurrence.Occurrence) bool {
	return matches(o.Process, filter.Process) && matches(o.Event, filter.Event) &&
		matches(o.Request, filter.Request) && matches(o.Group, filter.Group) &&
		matches(o.Instance, filter.Instance) && matches(o.Zone, filter.Zone) &&
		matches(o.Change, filter.Change) && matches(o.Detail, filter.Detail)
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
