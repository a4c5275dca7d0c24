// Package dragonflyfairqueue is the bounded queue before an upstream: a lane for each
// class and, within it, one for each workspace.
package dragonflyfairqueue

import (
	"dragonflyrelay.example/library/common/dragonflylist"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyqueueditem"
)

// DefaultCapacity is the number of items that a queue with Capacity 0 holds.
const DefaultCapacity = 256

// classQueue holds the items of one class.
type classQueue struct {
	workspaces dragonflymap.Map[string, dragonflylist.List[dragonflyqueueditem.Item]]
	lastServed string // the workspace served last
}

// Queue is a queue. Classes are served in order of rank, workspaces of a class in
// turn, and items of a workspace in order of arrival. The zero value is empty.
type Queue struct {
	// Rank returns the rank of a class; 0 is served first. Nil ranks all alike.
	Rank func(class string) int
	// Capacity bounds the items; 0 means DefaultCapacity.
	Capacity int

	classes dragonflymap.Map[string, classQueue]
	count   int
}

// Len returns the number of items.
func (l Queue) Len() int { return l.count }

// Push adds it. If that is more than the capacity, the item that is least
// entitled to wait is dropped: the newest of the workspace with the most items
// in the class that is served last. So a large workspace displaces its own
// items, never those of a small one. The dropped item may be it itself.
func (l Queue) Push(it dragonflyqueueditem.Item) (next Queue, dropped dragonflyqueueditem.Item, full bool) {
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
	class, workspace := l.overflow(it)
	ln, _ = l.classes.Get(class)
	items, _ = ln.workspaces.Get(workspace)
	dropped = items.At(items.Len() - 1)
	return l.replace(class, workspace, items.Slice(0, items.Len()-1)), dropped, true
}

// overflow returns the lane that loses an item when it is one too many. The
// newcomer's own lane loses a tie.
func (l Queue) overflow(it dragonflyqueueditem.Item) (class, workspace string) {
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
func (l Queue) Pop() (next Queue, it dragonflyqueueditem.Item, ok bool) {
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
	workspace := ln.nextWorkspace()
	items, _ := ln.workspaces.Get(workspace)
	ln.lastServed = workspace
	l.classes = l.classes.With(class, ln)
	return l.replace(class, workspace, items.Slice(1, items.Len())), items.At(0), true
}

// nextWorkspace returns the workspace after the one served last, in the order of names.
func (ln classQueue) nextWorkspace() string {
	first, found := "", false
	for name := range ln.workspaces.All() {
		if name > ln.lastServed {
			return name
		}
		if !found {
			first, found = name, true
		}
	}
	return first
}

// Filter returns the queue without the items for which drop is true, and these.
func (l Queue) Filter(drop func(dragonflyqueueditem.Item) bool) (next Queue, dropped []dragonflyqueueditem.Item) {
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
func (l Queue) Ahead(class string) int {
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
func (l Queue) replace(class, workspace string, items dragonflylist.List[dragonflyqueueditem.Item]) Queue {
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

func (l Queue) rank(class string) int {
	if l.Rank == nil {
		return 0
	}
	return l.Rank(class)
}
