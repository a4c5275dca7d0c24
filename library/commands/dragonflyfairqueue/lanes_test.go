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

func push(l dragonflyfairqueue.Queue, items ...dragonflyqueueditem.Item) dragonflyfairqueue.Queue {
	for _, it := range items {
		l, _, _ = l.Push(it)
	}
	return l
}

// assertOrder guards against items that are served in another order.
func assertOrder(l dragonflyfairqueue.Queue, ids ...uint64) {
	var got []uint64
	for {
		next, it, ok := l.Pop()
		if !ok {
			break
		}
		l, got = next, append(got, it.ID)
	}
	So(got, ShouldResemble, ids)
	So(l.Len(), ShouldEqual, 0)
}

func rank(class string) int { return int(class[0] - 'a') }

func TestQueue(t *testing.T) {
	l := dragonflyfairqueue.Queue{Rank: rank}

	Convey("Classes are served in order of rank", t, func() {
		assertOrder(push(l, item(1, "c", "x"), item(2, "a", "x"), item(3, "b", "x")), 2, 3, 1)
	})
	Convey("Workspaces take turns, so a large one does not starve a small one", t, func() {
		assertOrder(push(l, item(1, "a", "big"), item(2, "a", "big"), item(3, "a", "big"), item(4, "a", "small")), 1, 4, 2, 3)
	})
	Convey("A full queue drops the newest of the longest lane in the last class", t, func() {
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
	Convey("Random pushes, pops and withdrawals agree with a naive queue", t, func() {
		rapid.Check(t, checkAgainstReference)
	})
}

// referenceQueue is a plain list in order of arrival.
type referenceQueue struct {
	items  []dragonflyqueueditem.Item
	served map[string]string
}

func (n *referenceQueue) indexes(class, workspace string) (ids []int) {
	for i, it := range n.items {
		if it.Class == class && it.Workspace == workspace {
			ids = append(ids, i)
		}
	}
	return ids
}

func (n *referenceQueue) push(it dragonflyqueueditem.Item, capacity int) uint64 {
	n.items = append(n.items, it)
	if len(n.items) <= capacity {
		return 0
	}
	last := it.Class
	for _, o := range n.items {
		last = max(last, o.Class)
	}
	var victims []string
	longest := 0
	for _, o := range n.items {
		if o.Class != last {
			continue
		}
		if c := len(n.indexes(last, o.Workspace)); c > longest {
			longest, victims = c, nil
		}
		if len(n.indexes(last, o.Workspace)) == longest {
			victims = append(victims, o.Workspace)
		}
	}
	victim := slices.Min(victims)
	if last == it.Class && slices.Contains(victims, it.Workspace) {
		victim = it.Workspace
	}
	lane := n.indexes(last, victim)
	return n.remove(lane[len(lane)-1])
}

func (n *referenceQueue) remove(i int) uint64 {
	id := n.items[i].ID
	n.items = slices.Delete(n.items, i, i+1)
	n.forgetEmptyClasses()
	return id
}

// forgetEmptyClasses drops the turn of classes without items.
func (n *referenceQueue) forgetEmptyClasses() {
	for class := range n.served {
		if !slices.ContainsFunc(n.items, func(it dragonflyqueueditem.Item) bool { return it.Class == class }) {
			delete(n.served, class)
		}
	}
}

func (n *referenceQueue) pop() uint64 {
	if len(n.items) == 0 {
		return 0
	}
	first := n.items[0].Class
	for _, it := range n.items {
		first = min(first, it.Class)
	}
	var after, all []string
	for _, it := range n.items {
		if it.Class == first {
			all = append(all, it.Workspace)
			if it.Workspace > n.served[first] {
				after = append(after, it.Workspace)
			}
		}
	}
	if len(after) == 0 {
		after = all
	}
	workspace := slices.Min(after)
	n.served[first] = workspace
	return n.remove(n.indexes(first, workspace)[0])
}

func checkAgainstReference(t *rapid.T) {
	capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
	l := dragonflyfairqueue.Queue{Rank: rank, Capacity: capacity}
	n := &referenceQueue{served: map[string]string{}}
	for id := uint64(1); id < rapid.Uint64Range(1, 60).Draw(t, "steps"); id++ {
		switch rapid.IntRange(0, 3).Draw(t, "action") {
		case 0:
			next, it, _ := l.Pop()
			if want := n.pop(); it.ID != want {
				t.Fatalf("pop gives %d, want %d", it.ID, want)
			}
			l = next
		case 1:
			if len(n.items) == 0 {
				continue
			}
			id := n.remove(rapid.IntRange(0, len(n.items)-1).Draw(t, "withdraw"))
			next, dropped := l.Filter(func(it dragonflyqueueditem.Item) bool { return it.ID == id })
			if len(dropped) != 1 {
				t.Fatalf("%d items dropped", len(dropped))
			}
			l = next
		default:
			it := item(id, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "class"), rapid.SampledFrom([]string{"w", "x", "y", "z"}).Draw(t, "workspace"))
			next, dropped, _ := l.Push(it)
			if want := n.push(it, capacity); dropped.ID != want {
				t.Fatalf("push drops %d, want %d", dropped.ID, want)
			}
			l = next
		}
		if l.Len() != len(n.items) {
			t.Fatalf("%d items, want %d", l.Len(), len(n.items))
		}
	}
}

func ExampleQueue() {
	l := push(dragonflyfairqueue.Queue{}, item(1, "live", "palermo"), item(2, "live", "palermo"), item(3, "live", "catania"))
	for l.Len() > 0 {
		next, it, _ := l.Pop()
		fmt.Println(it.Workspace, it.ID)
		l = next
	}
	// Output:
	// catania 3
	// palermo 1
	// palermo 2
}
