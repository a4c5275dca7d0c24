// Package dragonflyconfigdiff describes the differences between two configurations.
package dragonflyconfigdiff

import (
	"fmt"
	"iter"
	"strings"

	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/queries/dragonflydescription"
	"dragonflyrelay.example/library/values/dragonflyconfig"
)

// Lines returns one line for each item that differs between old and next, in order
// of kind and name. A line begins with "+" for a new item, "-" for a removed one and
// "~" for a changed one, whose changed fields it lists. Versions are not compared.
func Lines(old, next dragonflyconfig.Config) []string {
	var out []string
	out = append(out, itemLines("class", old.Classes(), next.Classes(), dragonflydescription.Class)...)
	out = append(out, itemLines("workspace", old.Workspaces(), next.Workspaces(), dragonflydescription.Workspace)...)
	out = append(out, itemLines("service", old.Services(), next.Services(), dragonflydescription.Service)...)
	out = append(out, itemLines("zone", old.Zones(), next.Zones(), dragonflydescription.Zone)...)
	if old.GroupSize() != next.GroupSize() {
		out = append(out, fmt.Sprintf("~ group-size: %d -> %d", old.GroupSize(), next.GroupSize()))
	}
	return out
}

func itemLines[V any](kind string, old, next dragonflymap.Map[string, V], describe func(V) [][2]string) []string {
	var out []string
	for name := range names(old, next) {
		o, inOld := old.Get(name)
		n, inNext := next.Get(name)
		switch {
		case !inOld:
			out = append(out, fmt.Sprintf("+ %s %s: %s", kind, name, formatFields(describe(n))))
		case !inNext:
			out = append(out, fmt.Sprintf("- %s %s: %s", kind, name, formatFields(describe(o))))
		default:
			if c := formatChanges(describe(o), describe(n)); c != "" {
				out = append(out, fmt.Sprintf("~ %s %s: %s", kind, name, c))
			}
		}
	}
	return out
}

// names yields the names of both maps in ascending order, each once.
func names[V any](a, b dragonflymap.Map[string, V]) iter.Seq[string] {
	union := a
	for name, v := range b.All() {
		union = union.With(name, v)
	}
	return func(yield func(string) bool) {
		for name := range union.All() {
			if !yield(name) {
				return
			}
		}
	}
}

func formatFields(fields [][2]string) string {
	parts := make([]string, len(fields))
	for i, f := range fields {
		parts[i] = f[0] + " " + f[1]
	}
	return strings.Join(parts, ", ")
}

func formatChanges(old, next [][2]string) string {
	var parts []string
	for i, f := range next {
		if f != old[i] {
			parts = append(parts, fmt.Sprintf("%s %s -> %s", f[0], old[i][1], f[1]))
		}
	}
	return strings.Join(parts, ", ")
}
