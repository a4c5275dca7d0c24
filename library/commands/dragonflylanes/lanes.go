// Package dragonflylanes is the bounded queue before an upstream: a lane for each
// class and, within it, one for each workspace.
package dragonflylanes

import (
	"dragonflyrelay.example/library/common/dragonflylist"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyqueueditem"
)

// DefaultCapacity is the number of items that a queue with Capacity 0 holds.
const DefaultCapacity = 256

// lane holds the items of one class.
type lane struct {
	workspaces dragonflymap.Map[string, dragonflylist.List[dragonflyqueueditem.Item]]
	served     string // the workspace served last
}

// Lanes is a queue. Classes are served in order of rank, workspaces of a class in
// turn, and items of a workspace in order of arrival. The zero value is empty.
type Lanes struct {
	// Rank returns the rank of a class; 0 is served first. Nil ranks all alike.
	Rank func(class string) int
	// Capacity bounds the items; 0 means DefaultCapacity.
	Capacity int

	classes dragonflymap.Map[string, lane]
	count   int
}

// Len returns the number of items.
func (l Lanes) Len() int { return l.count }

// Push adds it. If that is more than the capacity, the item that is least
// entitled to wait is dropped: the newest of the workspace with the most items
// in the class that is served last. So a large workspace displaces its own
// items, never those of a small one. The dropped item may be it itself.
func (l Lanes) Push(it dragonflyqueueditem.Item) (next Lanes, dropped dragonflyqueueditem.Item, full bool) {
	ln, _ := l.classes.Get(it.Class)
	items, _ := ln.workspaces.Get(it.Workspace)
	ln.workspaces = ln.workspaces.With(it.Workspace, items.With(it))
	l.classes = l.classes.With(it.Class, ln)
	l.count++
	capacity := l.Capacity
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	if l.count <= capacity {
		return l, dropped, false
	}
	class, workspace := l.victim(it)
	ln, _ = l.classes.Get(class)
	items, _ = ln.workspaces.Get(workspace)
	dropped = items.At(items.Len() - 1)
	return l.replace(class, workspace, items.Slice(0, items.Len()-1)), dropped, true
}

// victim returns the lane that loses an item when it is one too many. The
// newcomer's own lane loses a tie.
func (l Lanes) victim(it dragonflyqueueditem.Item) (class, workspace string) {
	class, workspace = it.Class, it.Workspace
	for name := range l.classes.All() {
		if l.rank(name) > l.rank(class) {
			class, workspace = name, ""
		}
	}
	ln, _ := l.classes.Get(class)
	longest := 0
	if items, ok := ln.workspaces.Get(workspace); ok {
		longest = items.Len()
	}
	for name, items := range ln.workspaces.All() {
		if items.Len() > longest {
			workspace, longest = name, items.Len()
		}
	}
	return class, workspace
}

// Pop removes the item to be served next.
func (l Lanes) Pop() (next Lanes, it dragonflyqueueditem.Item, ok bool) {
	class := ""
	for name := range l.classes.All() {
		if !ok || l.rank(name) < l.rank(class) {
			class, ok = name, true
		}
	}
	if !ok {
		return l, it, false
	}
	ln, _ := l.classes.Get(class)
	workspace := ln.turn()
	items, _ := ln.workspaces.Get(workspace)
	ln.served = workspace
	l.classes = l.classes.With(class, ln)
	return l.replace(class, workspace, items.Slice(1, items.Len())), items.At(0), true
}

// turn returns the workspace after the one served last, in the order of names.
func (ln lane) turn() string {
	first, found := "", false
	for name := range ln.workspaces.All() {
		if name > ln.served {
			return name
		}
		if !found {
			first, found = name, true
		}
	}
	return first
}

// Filter returns the queue without the items for which drop is true, and these.
func (l Lanes) Filter(drop func(dragonflyqueueditem.Item) bool) (next Lanes, dropped []dragonflyqueueditem.Item) {
	next = l
	for class, ln := range l.classes.All() {
		for workspace, items := range ln.workspaces.All() {
			var kept dragonflylist.List[dragonflyqueueditem.Item]
			for _, it := range items.All() {
				if drop(it) {
					dropped = append(dropped, it)
				} else {
					kept = kept.With(it)
				}
			}
			if kept.Len() < items.Len() {
				next = next.replace(class, workspace, kept)
			}
		}
	}
	return next, dropped
}

// Ahead returns the number of items that are served before a new one of class:
// those of classes with a lower or the same rank.
func (l Lanes) Ahead(class string) int {
	n := 0
	for name, ln := range l.classes.All() {
		if l.rank(name) > l.rank(class) {
			continue
		}
		for _, items := range ln.workspaces.All() {
			n += items.Len()
		}
	}
	return n
}

// replace puts items in the place of a lane's items. An empty lane is removed,
// together with its class once no lane of the class is left.
func (l Lanes) replace(class, workspace string, items dragonflylist.List[dragonflyqueueditem.Item]) Lanes {
	ln, _ := l.classes.Get(class)
	old, _ := ln.workspaces.Get(workspace)
	l.count += items.Len() - old.Len()
	if items.Len() > 0 {
		ln.workspaces = ln.workspaces.With(workspace, items)
	} else {
		ln.workspaces = ln.workspaces.Without(workspace)
	}
	if ln.workspaces.Len() == 0 {
		l.classes = l.classes.Without(class)
		return l
	}
	l.classes = l.classes.With(class, ln)
	return l
}

func (l Lanes) rank(class string) int {
	if l.Rank == nil {
		return 0
	}
	return l.Rank(class)
}
