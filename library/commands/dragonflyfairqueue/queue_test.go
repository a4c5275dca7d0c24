package dragonflyfairqueue_test

import (
	"fmt"
	"slices"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyfairqueue"
	"dragonflyrelay.example/library/values/dragonflyqueueditem"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func item(id uint64, class, workspace string) dragonflyqueueditem.Item {
	return dragonflyqueueditem.Item{ID: id, Class: class, Workspace: workspace}
}

func push(q dragonflyfairqueue.Queue, items ...dragonflyqueueditem.Item) dragonflyfairqueue.Queue {
	for _, it := range items {
		q, _, _ = q.Push(it)
	}
	return q
}

// assertOrder asserts that exactly the items with the given ids are served, in this order.
func assertOrder(q dragonflyfairqueue.Queue, ids ...uint64) {
	var got []uint64
	for {
		next, it, ok := q.Pop()
		if !ok {
			break
		}
		q, got = next, append(got, it.ID)
	}
	So(got, ShouldResemble, ids)
	So(q.Len(), ShouldEqual, 0)
}

func rank(class string) int { return int(class[0] - 'a') }

func TestQueue(t *testing.T) {
	q := dragonflyfairqueue.Queue{Rank: rank}

	Convey("Classes are served in order of rank", t, func() {
		assertOrder(push(q, item(1, "c", "x"), item(2, "a", "x"), item(3, "b", "x")), 2, 3, 1)
	})
	Convey("The workspaces of a class are served in turn, so a large one does not starve a small one", t, func() {
		assertOrder(push(q, item(1, "a", "big"), item(2, "a", "big"), item(3, "a", "big"), item(4, "a", "small")), 1, 4, 2, 3)
	})
	Convey("A full queue drops the newest item of the largest workspace in the last class", t, func() {
		full := push(dragonflyfairqueue.Queue{Rank: rank, Capacity: 3}, item(1, "b", "big"), item(2, "b", "big"), item(3, "b", "small"))
		next, dropped, ok := full.Push(item(4, "b", "small2"))
		So(ok, ShouldBeTrue)
		So(dropped.ID, ShouldEqual, 2)
		So(next.Len(), ShouldEqual, 3)
		_, dropped, _ = full.Push(item(4, "c", "small2"))
		So(dropped.ID, ShouldEqual, 4)
		_, dropped, _ = full.Push(item(4, "b", "big"))
		So(dropped.ID, ShouldEqual, 4)
	})
	Convey("Random pushes, pops and removals give the same results as a reference queue", t, func() {
		rapid.Check(t, checkAgainstReference)
	})
}

// referenceQueue is a simple implementation of the queue: a list in order of arrival.
type referenceQueue struct {
	items  []dragonflyqueueditem.Item
	served map[string]string
}

func (r *referenceQueue) indexes(class, workspace string) (list []int) {
	for i, it := range r.items {
		if it.Class == class && it.Workspace == workspace {
			list = append(list, i)
		}
	}
	return list
}

func (r *referenceQueue) push(it dragonflyqueueditem.Item, capacity int) uint64 {
	r.items = append(r.items, it)
	if len(r.items) <= capacity {
		return 0
	}
	last := it.Class
	for _, o := range r.items {
		last = max(last, o.Class)
	}
	var victims []string
	longest := 0
	for _, o := range r.items {
		if o.Class != last {
			continue
		}
		if c := len(r.indexes(last, o.Workspace)); c > longest {
			longest, victims = c, nil
		}
		if len(r.indexes(last, o.Workspace)) == longest {
			victims = append(victims, o.Workspace)
		}
	}
	victim := slices.Min(victims)
	if last == it.Class && slices.Contains(victims, it.Workspace) {
		victim = it.Workspace
	}
	indexes := r.indexes(last, victim)
	return r.remove(indexes[len(indexes)-1])
}

func (r *referenceQueue) remove(i int) uint64 {
	id := r.items[i].ID
	r.items = slices.Delete(r.items, i, i+1)
	r.forgetEmptyClasses()
	return id
}

// forgetEmptyClasses removes the last served workspace of classes without items.
func (r *referenceQueue) forgetEmptyClasses() {
	for class := range r.served {
		if !slices.ContainsFunc(r.items, func(it dragonflyqueueditem.Item) bool { return it.Class == class }) {
			delete(r.served, class)
		}
	}
}

func (r *referenceQueue) pop() uint64 {
	if len(r.items) == 0 {
		return 0
	}
	first := r.items[0].Class
	for _, it := range r.items {
		first = min(first, it.Class)
	}
	var after, all []string
	for _, it := range r.items {
		if it.Class == first {
			all = append(all, it.Workspace)
			if it.Workspace > r.served[first] {
				after = append(after, it.Workspace)
			}
		}
	}
	if len(after) == 0 {
		after = all
	}
	workspace := slices.Min(after)
	r.served[first] = workspace
	return r.remove(r.indexes(first, workspace)[0])
}

func checkAgainstReference(t *rapid.T) {
	capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
	q := dragonflyfairqueue.Queue{Rank: rank, Capacity: capacity}
	r := &referenceQueue{served: map[string]string{}}
	for id := uint64(1); id < rapid.Uint64Range(1, 60).Draw(t, "steps"); id++ {
		switch rapid.IntRange(0, 3).Draw(t, "action") {
		case 0:
			next, it, _ := q.Pop()
			if want := r.pop(); it.ID != want {
				t.Fatalf("pop returns item %d, want %d", it.ID, want)
			}
			q = next
		case 1:
			if len(r.items) == 0 {
				continue
			}
			id := r.remove(rapid.IntRange(0, len(r.items)-1).Draw(t, "withdraw"))
			next, dropped := q.Filter(func(it dragonflyqueueditem.Item) bool { return it.ID == id })
			if len(dropped) != 1 {
				t.Fatalf("%d items dropped, want 1", len(dropped))
			}
			q = next
		default:
			it := item(id, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "class"), rapid.SampledFrom([]string{"w", "x", "y", "z"}).Draw(t, "workspace"))
			next, dropped, _ := q.Push(it)
			if want := r.push(it, capacity); dropped.ID != want {
				t.Fatalf("push drops item %d, want %d", dropped.ID, want)
			}
			q = next
		}
		if q.Len() != len(r.items) {
			t.Fatalf("%d items in the queue, want %d", q.Len(), len(r.items))
		}
	}
}

func ExampleQueue() {
	q := push(dragonflyfairqueue.Queue{}, item(1, "live", "palermo"), item(2, "live", "palermo"), item(3, "live", "catania"))
	for q.Len() > 0 {
		next, it, _ := q.Pop()
		fmt.Println(it.Workspace, it.ID)
		q = next
	}
	// Output:
	// catania 3
	// palermo 1
	// palermo 2
}
