// Package dragonflyfairqueue provides the bounded queue of requests for an upstream. It
// serves classes by rank and shares each class fairly among workspaces.
package dragonflyfairqueue

import (
	"dragonflyrelay.example/library/common/dragonflylist"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyqueueditem"
)

// DefaultCapacity is the maximum number of items in a queue with Capacity 0.
const DefaultCapacity = 256

// classQueue holds the items of one class, with a queue for each workspace.
type classQueue struct {
	workspaces dragonflymap.Map[string, dragonflylist.List[dragonflyqueueditem.Item]]
	lastServed string // name of a workspace
}

// Queue is an immutable priority queue. Classes are served in order of rank, the
// workspaces of a class in turn, and the items of a workspace in order of arrival. The
// zero value is empty.
type Queue struct {
	// Rank returns the rank of a class; the lowest is served first. With nil
	// all classes have rank 0.
	Rank func(class string) int
	// Capacity is the maximum number of items; 0 means DefaultCapacity.
	Capacity int

	classes dragonflymap.Map[string, classQueue]
	count   int
}

// Len returns the number of items.
func (q Queue) Len() int { return q.count }

// Push adds the item it. If the capacity is exceeded, it drops the newest item of the
// workspace with the most items in the class with the last rank, and full is true. So a
// large workspace displaces its own items, never those of a small one. The dropped item
// may be the new one.
func (q Queue) Push(it dragonflyqueueditem.Item) (next Queue, dropped dragonflyqueueditem.Item, full bool) {
	cq, _ := q.classes.Get(it.Class)
	items, _ := cq.workspaces.Get(it.Workspace)
	cq.workspaces = cq.workspaces.With(it.Workspace, items.With(it))
	q.classes = q.classes.With(it.Class, cq)
	q.count++
	capacity := q.Capacity
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	if q.count <= capacity {
		return q, dropped, false
	}
	class, workspace := q.overflow(it)
	cq, _ = q.classes.Get(class)
	items, _ = cq.workspaces.Get(workspace)
	dropped = items.At(items.Len() - 1)
	return q.replace(class, workspace, items.Slice(0, items.Len()-1)), dropped, true
}

// overflow returns the class and workspace that lose an item if the new item it exceeds
// the capacity. On a tie the workspace of the new item is chosen.
func (q Queue) overflow(it dragonflyqueueditem.Item) (class, workspace string) {
	class, workspace = it.Class, it.Workspace
	for name := range q.classes.All() {
		if q.rank(name) > q.rank(class) {
			class, workspace = name, ""
		}
	}
	cq, _ := q.classes.Get(class)
	longest := 0
	if items, ok := cq.workspaces.Get(workspace); ok {
		longest = items.Len()
	}
	for name, items := range cq.workspaces.All() {
		if items.Len() > longest {
			workspace, longest = name, items.Len()
		}
	}
	return class, workspace
}

// Pop removes and returns the next item to be served; ok is false if there is none.
func (q Queue) Pop() (next Queue, it dragonflyqueueditem.Item, ok bool) {
	class := ""
	for name := range q.classes.All() {
		if !ok || q.rank(name) < q.rank(class) {
			class, ok = name, true
		}
	}
	if !ok {
		return q, it, false
	}
	cq, _ := q.classes.Get(class)
	workspace := cq.nextWorkspace()
	items, _ := cq.workspaces.Get(workspace)
	cq.lastServed = workspace
	q.classes = q.classes.With(class, cq)
	return q.replace(class, workspace, items.Slice(1, items.Len())), items.At(0), true
}

// nextWorkspace returns the workspace after the last served one, in order of names.
func (cq classQueue) nextWorkspace() string {
	first, found := "", false
	for name := range cq.workspaces.All() {
		if name > cq.lastServed {
			return name
		}
		if !found {
			first, found = name, true
		}
	}
	return first
}

// Filter returns the queue without the items for which drop returns true, and those
// items.
func (q Queue) Filter(drop func(dragonflyqueueditem.Item) bool) (next Queue, dropped []dragonflyqueueditem.Item) {
	next = q
	for class, cq := range q.classes.All() {
		for workspace, items := range cq.workspaces.All() {
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

// Ahead returns the largest number of queued items that can be served before a new
// one of class: all items of classes with a lower or the same rank. Those of large
// workspaces in the same class may be served later.
func (q Queue) Ahead(class string) int {
	n := 0
	for name, cq := range q.classes.All() {
		if q.rank(name) > q.rank(class) {
			continue
		}
		for _, items := range cq.workspaces.All() {
			n += items.Len()
		}
	}
	return n
}

// replace replaces the items of a workspace in a class. A workspace without items is
// removed, and so is a class without workspaces.
func (q Queue) replace(class, workspace string, items dragonflylist.List[dragonflyqueueditem.Item]) Queue {
	cq, _ := q.classes.Get(class)
	old, _ := cq.workspaces.Get(workspace)
	q.count += items.Len() - old.Len()
	if items.Len() > 0 {
		cq.workspaces = cq.workspaces.With(workspace, items)
	} else {
		cq.workspaces = cq.workspaces.Without(workspace)
	}
	if cq.workspaces.Len() == 0 {
		q.classes = q.classes.Without(class)
		return q
	}
	q.classes = q.classes.With(class, cq)
	return q
}

func (q Queue) rank(class string) int {
	if q.Rank == nil {
		return 0
	}
	return q.Rank(class)
}
