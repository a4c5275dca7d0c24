package dragonflymemorybudget_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflymemorybudget"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const (
	mib  = 1 << 20
	body = 4 * mib
)

// load plays callers against a budget.
type load struct {
	now    dragonflyinstant.Instant
	budget dragonflymemorybudget.Budget
	closed []uint64
}

func (l *load) pass(d dragonflyduration.Duration) { l.now = l.now.Add(d) }

// reserve grows a holder and reports whether it may.
func (l *load) reserve(id uint64, bytes int64) (ok bool) {
	var closed []uint64
	l.budget, closed, ok = l.budget.WithReserved(l.now, id, bytes)
	l.closed = append(l.closed, closed...)
	return ok
}

// flood starts n bodies that stop one byte before their end.
func (l *load) flood(n int) {
	for id := range n {
		l.reserve(uint64(id), body-1)
	}
}

// assertServed checks that the request id of the given size is granted.
func (l *load) assertServed(id uint64, bytes int64) {
	So(l.reserve(id, bytes), ShouldBeTrue)
	So(l.budget.Holds(id), ShouldBeTrue)
	So(l.budget.Used(), ShouldBeLessThanOrEqualTo, l.budget.Limit())
}

// TestFlood guards against a sum of bodies above the budget, and against ordinary callers
// that get no room because of callers that hold it.
func TestFlood(t *testing.T) {
	Convey("Bodies that stop are closed for those that arrive, and ordinary ones are served", t, func() {
		l := &load{budget: dragonflymemorybudget.New(24 * mib)}
		l.flood(80)
		So(l.budget.Used(), ShouldBeLessThanOrEqualTo, 21*mib)
		l.pass(dragonflyduration.Second)
		l.assertServed(1000, 6<<10)
		l.assertServed(1001, body)
		So(l.closed, ShouldNotContain, 1000)
	})
	Convey("An ordinary body in progress is not closed for large ones", t, func() {
		l := &load{budget: dragonflymemorybudget.New(24 * mib)}
		l.assertServed(1000, 4<<10)
		l.pass(100 * dragonflyduration.Millisecond)
		l.flood(80)
		So(l.budget.Holds(1000), ShouldBeTrue)
	})
	Convey("The slowest of bodies of one size is closed first", t, func() {
		l := &load{budget: dragonflymemorybudget.New(16 * mib)}
		for id := range 3 {
			l.reserve(uint64(id), body)
			l.pass(dragonflyduration.Second)
		}
		l.assertServed(9, body)
		So(l.closed, ShouldResemble, []uint64{0})
	})
	Convey("A body that has become the heaviest gives way itself", t, func() {
		l := &load{budget: dragonflymemorybudget.New(8 * mib)}
		So(l.reserve(1, 6*mib), ShouldBeTrue)
		l.pass(dragonflyduration.Minute)
		So(l.reserve(2, mib), ShouldBeTrue)
		So(l.reserve(1, 7*mib), ShouldBeFalse)
		So(l.budget.Holds(2), ShouldBeTrue)
	})
	Convey("Requests that run are never closed, and small ones still find room", t, func() {
		l := &load{budget: dragonflymemorybudget.New(16 * mib)}
		for id := range 3 {
			l.assertServed(uint64(id), body)
			l.budget = l.budget.WithRunning(l.now, uint64(id), true)
		}
		l.pass(dragonflyduration.Minute)
		So(l.reserve(8, body), ShouldBeFalse)
		l.assertServed(9, 6<<10)
		So(l.closed, ShouldBeEmpty)
	})
	Convey("A response that its caller does not read is closed like a body that stops", t, func() {
		l := &load{budget: dragonflymemorybudget.New(8 * mib)}
		l.assertServed(1, 6*mib)
		l.budget = l.budget.WithRunning(l.now, 1, true)
		So(l.reserve(2, body), ShouldBeFalse)
		l.budget = l.budget.WithRunning(l.now, 1, false)
		l.pass(dragonflyduration.Second)
		l.assertServed(2, body)
		So(l.closed, ShouldResemble, []uint64{1})
	})
	Convey("The time for which a request ran does not count against its response", t, func() {
		l := &load{budget: dragonflymemorybudget.New(8 * mib)}
		l.assertServed(1, 3*mib)
		l.budget = l.budget.WithRunning(l.now, 1, true)
		l.pass(dragonflyduration.Minute)
		l.assertServed(2, 3*mib)
		l.pass(dragonflyduration.Second)
		l.budget = l.budget.WithRunning(l.now, 1, false)
		l.assertServed(3, 3*mib)
		So(l.closed, ShouldResemble, []uint64{2})
	})
	Convey("With patience, bodies wait for each other until they have stopped for long enough", t, func() {
		l := &load{budget: dragonflymemorybudget.New(8 * mib).WithPatience(dragonflyduration.Second)}
		l.assertServed(1, body)
		So(l.reserve(2, body), ShouldBeFalse)
		So(l.closed, ShouldBeEmpty)
		l.pass(dragonflyduration.Second)
		l.assertServed(2, body)
		So(l.closed, ShouldResemble, []uint64{1})
	})
	Convey("A single largest body has room, and without a limit all have", t, func() {
		l := &load{budget: dragonflymemorybudget.New(5 * mib)}
		l.assertServed(1, body)
		l = &load{}
		l.flood(1000)
		So(l.closed, ShouldBeEmpty)
	})
}

// TestSums guards against a sum that drifts from what is held, which would refuse callers of
// an idle process, or against a sum above the limit.
func TestSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, held := dragonflymemorybudget.New(16*mib), map[uint64]int64{}
		now := dragonflyinstant.Instant(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(dragonflyduration.Duration(rapid.Int64Range(0, 1e9).Draw(t, "time")))
			id := rapid.Uint64Range(0, 12).Draw(t, "id")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				b = b.Without(id)
				delete(held, id)
			case 1:
				b = b.WithRunning(now, id, rapid.Bool().Draw(t, "runs"))
			default:
				bytes := rapid.Int64Range(0, body).Draw(t, "bytes")
				next, closed, ok := b.WithReserved(now, id, bytes)
				if ok {
					held[id] = bytes
				}
				for _, c := range closed {
					delete(held, c)
				}
				b = next
			}
			sum := int64(0)
			for id, n := range held {
				sum += n
				if !b.Holds(id) {
					t.Fatalf("%d has lost its reservation", id)
				}
			}
			if b.Used() != sum || sum > b.Limit() {
				t.Fatalf("used %d, held %d of %d", b.Used(), sum, b.Limit())
			}
		}
	})
}

// TestLongRun guards against a request that finds no memory for its response because it has
// run for long, while bodies that have just begun hold all of it.
func TestLongRun(t *testing.T) {
	Convey("Incomplete bodies give way to the response of a request that has run for long", t, func() {
		l := &load{budget: dragonflymemorybudget.New(24 * mib)}
		l.assertServed(1000, body)
		l.budget = l.budget.WithRunning(l.now, 1000, true)
		l.pass(10 * dragonflyduration.Second)
		l.flood(80)
		l.pass(100 * dragonflyduration.Millisecond)
		l.assertServed(1000, body+2*mib)
	})
}

// TestClosings guards against memory that is granted while a caller that was closed for it
// still uses it.
func TestClosings(t *testing.T) {
	Convey("What a closed holder has counts until it is released", t, func() {
		l := &load{budget: dragonflymemorybudget.New(8 * mib)}
		l.assertServed(1, 6*mib)
		l.pass(dragonflyduration.Second)
		l.assertServed(2, mib)
		So(l.budget.Settled(l.budget.Closed()), ShouldBeTrue)
		l.assertServed(3, 2*mib)
		So(l.closed, ShouldResemble, []uint64{1})
		So(l.budget.Settled(l.budget.Closed()), ShouldBeFalse)
		// The room that is left over is the closed holder's as well.
		l.assertServed(4, 2*mib)
		So(l.budget.Settled(l.budget.Closed()), ShouldBeFalse)
		l.budget = l.budget.Without(1)
		So(l.budget.Settled(l.budget.Closed()), ShouldBeTrue)
	})
	Convey("Nobody waits for those that are closed later", t, func() {
		l := &load{budget: dragonflymemorybudget.New(8 * mib)}
		l.assertServed(1, 6*mib)
		l.pass(dragonflyduration.Second)
		l.assertServed(2, 6*mib)
		first := l.budget.Closed()
		l.pass(dragonflyduration.Second)
		l.assertServed(3, 6*mib)
		l.budget = l.budget.Without(1)
		So(l.budget.Settled(first), ShouldBeTrue)
		So(l.budget.Settled(l.budget.Closed()), ShouldBeFalse)
	})
	Convey("Closings may end in any order", t, func() {
		l := &load{budget: dragonflymemorybudget.New(8 * mib)}
		for id := range uint64(4) {
			l.assertServed(id, 6*mib)
			l.pass(dragonflyduration.Second)
		}
		So(l.closed, ShouldResemble, []uint64{0, 1, 2})
		l.budget = l.budget.Without(1).Without(2)
		So(l.budget.Settled(2), ShouldBeFalse)
		l.budget = l.budget.Without(0)
		So(l.budget.Settled(3), ShouldBeTrue)
	})
}
