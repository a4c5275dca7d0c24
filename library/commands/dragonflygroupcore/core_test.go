package dragonflygroupcore_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflymembership"
	"dragonflyrelay.example/library/values/dragonflygroupevent"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// assertOpen guards against a group that cannot serve although nothing is wrong.
func assertOpen(w *world, head *node, group uint64) {
	So(w.fault, ShouldBeEmpty)
	So(head.open(), ShouldEqual, group)
}

// assertSafe guards against any breach that the world has seen.
func assertSafe(w *world) { So(w.fault, ShouldBeEmpty) }

func calm(nodes int) *world {
	w := newWorld(1, nodes)
	w.delay = 2 * ms
	w.run(1500 * ms)
	return w
}

func TestCore(t *testing.T) {
	Convey("A group of eight opens soon after the quiet period and stays open", t, func() {
		w := calm(8)
		o := w.form(w.nodes...)
		w.run(2500 * ms)
		assertOpen(w, w.nodes[0], o.Group)
		w.run(60_000 * ms)
		assertOpen(w, w.nodes[0], o.Group)
	})
	Convey("A dead member closes the gate within the lease", t, func() {
		w := calm(8)
		w.form(w.nodes...)
		w.run(3000 * ms)
		w.nodes[5].pausedUntil = 1 << 62
		w.run(1200 * ms)
		So(w.nodes[0].open(), ShouldEqual, 0)
		w.run(100 * ms)
		So(w.nodes[0].core.Lease().Lost(), ShouldResemble, []string{"i5"})
	})
	Convey("A pause shorter than the lease closes nothing", t, func() {
		w := calm(3)
		o := w.form(w.nodes...)
		w.run(3000 * ms)
		w.nodes[1].pausedUntil = w.now + 700*ms
		for range 30 {
			w.run(50 * ms)
			assertOpen(w, w.nodes[0], o.Group)
		}
	})
	Convey("A group whose members were cut off comes back without an order", t, func() {
		w := calm(3)
		o := w.form(w.nodes...)
		w.run(3000 * ms)
		w.nodes[2].cutUntil = w.now + 3000*ms
		w.run(2000 * ms)
		So(w.nodes[0].open(), ShouldEqual, 0)
		w.run(2500 * ms)
		assertOpen(w, w.nodes[0], o.Group)
	})
	Convey("A restarted head waits for a whole promise and takes its group up again", t, func() {
		w := calm(3)
		o := w.form(w.nodes...)
		w.run(3000 * ms)
		w.nodes[0].restart()
		w.run(100 * ms)
		w.tell(o)
		w.run(1000 * ms)
		So(w.nodes[0].core.Membership().State(), ShouldEqual, dragonflymembership.Releasing)
		w.tell(o)
		w.run(1500 * ms)
		assertOpen(w, w.nodes[0], o.Group)
	})
	Convey("A dissolved head keeps its members until its requests are done", t, func() {
		w := calm(2)
		o := w.form(w.nodes...)
		w.run(3000 * ms)
		head := w.nodes[0]
		head.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.RequestsCounted, Count: 1})
		w.dissolve(o)
		w.run(10_000 * ms)
		assertOpen(w, head, o.Group)
		head.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.RequestsCounted, Closed: true})
		w.run(2000 * ms)
		So(head.open(), ShouldEqual, 0)
		So(w.nodes[1].core.Membership().State(), ShouldEqual, dragonflymembership.Free)
	})
	Convey("A leaving member waits until the head has drained", t, func() {
		w := calm(2)
		o := w.form(w.nodes...)
		w.run(3000 * ms)
		head, member := w.nodes[0], w.nodes[1]
		head.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.RequestsCounted, Count: 1})
		member.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.Leave})
		member.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.RequestsCounted, Closed: true})
		w.run(1000 * ms)
		So(head.core.Leaving(), ShouldBeTrue)
		w.run(10_000 * ms)
		assertOpen(w, head, o.Group)
		So(member.core.Membership().Left(), ShouldBeFalse)
		head.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.RequestsCounted, Closed: true})
		w.run(2000 * ms)
		So(member.core.Membership().Left(), ShouldBeTrue)
	})
	Convey("Clocks that drift apart by 0.2% do not free a member before its head's lease ends", t, func() {
		w := newWorld(1, 2)
		w.delay = 0
		head, member := w.nodes[0], w.nodes[1]
		head.ppm, member.ppm = -1000, 1000
		w.run(1500 * ms)
		w.form(head, member)
		w.run(3000 * ms)
		w.form(member)
		w.run(100 * ms)
		head.pausedUntil = w.now + 100_000*ms
		w.run(member.real(member.core.Membership().PromisedUntil()) - w.now)
		member.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.Tick})
		w.run(ms)
		member.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.Tick})
		assertSafe(w)
		So(member.core.Membership().Group().Group, ShouldEqual, 102)
		So(head.open(), ShouldEqual, 0)
	})
	Convey("Random delays, losses, pauses, partitions and restarts never put an instance into two groups", t, func() {
		joins, opened := 0, 0
		rapid.Check(t, func(t *rapid.T) {
			w := newWorld(rapid.Int64().Draw(t, "seed"), rapid.IntRange(2, 6).Draw(t, "nodes"))
			w.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
			w.delay = rapid.Int64Range(1, 1500).Draw(t, "delay") * ms
			for range rapid.IntRange(1, 25).Draw(t, "actions") {
				w.disturb(rapid.IntRange(0, 9).Draw(t, "action"))
				w.run(rapid.Int64Range(1, 4000).Draw(t, "pause") * ms)
			}
			if w.fault != "" {
				t.Fatal(w.fault)
			}
			joins, opened = joins+w.joins, opened+w.opened
		})
		// Guards against a world in which nothing ever forms.
		So(joins, ShouldBeGreaterThan, 100)
		So(opened, ShouldBeGreaterThan, 1000)
	})
}

// disturb does one random thing to the world.
func (w *world) disturb(action int) {
	n := w.nodes[w.rng.Intn(len(w.nodes))]
	switch action {
	case 0:
		n.pausedUntil = w.now + w.rng.Int63n(4000*ms)
	case 1:
		n.cutUntil = w.now + w.rng.Int63n(5000*ms)
	case 2:
		n.restart()
	case 3:
		n.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.RequestsCounted, Count: w.rng.Intn(2), Closed: w.rng.Intn(2) == 0})
	case 4:
		if o, ok := w.groups[100+1+uint64(w.rng.Intn(int(w.fence)+1))]; ok && w.rng.Intn(2) == 0 {
			w.tell(o) // a late repeat
		} else if ok {
			w.dissolve(o)
		}
	case 5:
		n.group, n.fence = 0, 0 // the engine restarts without memory
	default:
		w.rng.Shuffle(len(w.nodes), func(i, j int) { w.nodes[i], w.nodes[j] = w.nodes[j], w.nodes[i] })
		w.form(w.nodes[:1+w.rng.Intn(len(w.nodes))]...)
	}
}
