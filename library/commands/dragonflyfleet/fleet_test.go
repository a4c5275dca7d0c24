package dragonflyfleet_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyfleet"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
	. "github.com/smartystreets/goconvey/convey"
)

func TestGroups(t *testing.T) {
	Convey("Groups form once the engines are known", t, func() {
		w := newWorld(4)
		w.pass(4 * second)
		So(w.serving(), ShouldHaveLength, 2)
		assertWhole(w)
	})
	Convey("A lost member ends its group, and a spare repairs it", t, func() {
		w := newWorld(4)
		w.pass(4 * second)
		head := w.head()
		epoch := head.obs.Group.Epoch
		w.member(head).dark = true
		w.pass(2 * second)
		So(w.serving(), ShouldHaveLength, 2)
		for _, r := range w.rows() {
			So(r.Epoch, ShouldNotEqual, epoch)
		}
		assertWhole(w)
	})
	Convey("Members of a lost head are used again", t, func() {
		w := newWorld(4)
		w.pass(4 * second)
		w.head().dark = true
		w.pass(2 * second)
		So(w.serving(), ShouldHaveLength, 2)
		assertWhole(w)
	})
	Convey("Members of a paused head are not used before it has left", t, func() {
		w := newWorld(4)
		w.pass(4 * second)
		head := w.head()
		group := head.obs.Group
		head.paused = true
		w.pass(20 * second)
		So(w.serving(), ShouldNotContain, head.obs.ID)
		for _, e := range w.engines {
			if e != head && e.obs.Domain == head.obs.Domain {
				So(e.obs.Group.State, ShouldNotEqual, dragonflyenginegroup.Open)
			}
		}
		So(w.member(head).obs.Group.Is(group.Name, group.Epoch), ShouldBeTrue)
		head.paused = false
		w.pass(2 * second)
		So(w.serving(), ShouldHaveLength, 2)
		assertWhole(w)
	})
	Convey("A head that leaves gets no new work and finishes first", t, func() {
		w := newWorld(4)
		w.pass(4 * second)
		head := w.head()
		head.obs.State = dragonflyobservation.Draining
		w.report(head)
		So(w.serving(), ShouldNotContain, head.obs.ID)
		w.pass(2 * second)
		So(w.serving(), ShouldHaveLength, 2)
		So(w.serving(), ShouldNotContain, head.obs.ID)
	})
	Convey("Groups whose members leave close one after the other", t, func() {
		w := newWorld(6)
		w.pass(4 * second)
		closed := func() (n int) {
			for _, r := range w.rows() {
				if r.Leaving && r.Group != "" {
					n++
				}
			}
			return n
		}
		So(len(w.serving()), ShouldBeGreaterThan, 1)
		leaving := 0
		for _, e := range w.engines {
			if e.obs.Group.State != dragonflyenginegroup.None && e.obs.Group.Rank == 1 {
				e.obs.State = dragonflyobservation.Draining
				leaving++
			}
		}
		So(leaving, ShouldBeGreaterThan, 1)
		for range 40 {
			for _, e := range w.engines {
				w.report(e)
			}
			So(closed(), ShouldBeLessThanOrEqualTo, 1)
			w.pass(100 * dragonflyduration.Millisecond)
		}
		for _, e := range w.engines {
			if e.obs.Group.State == dragonflyenginegroup.Open {
				So(w.membersLeaving(e), ShouldEqual, 0)
			}
		}
		assertWhole(w)
	})
	Convey("Groups of a zone that is taken out are made up for elsewhere", t, func() {
		w := newWorld(7)
		w.pass(4 * second)
		before := len(w.serving())
		w.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.DocumentReceived, Document: document(), OutZones: []string{"a"}})
		w.pass(3 * second)
		elsewhere := 0
		for _, r := range w.rows() {
			if r.Zone == "b" && !r.Leaving {
				elsewhere++
			}
		}
		So(elsewhere, ShouldEqual, 2)
		So(len(w.serving()), ShouldBeGreaterThanOrEqualTo, before)
		assertWhole(w)
	})
	Convey("A slow member is replaced", t, func() {
		w := newWorld(4)
		w.pass(4 * second)
		slow := w.member(w.head())
		slow.obs.Pace = 5
		w.pass(2 * second)
		So(w.serving(), ShouldHaveLength, 2)
		So(slow.obs.Group.State, ShouldNotEqual, dragonflyenginegroup.Open)
	})
	Convey("Spares are warmed up in groups that never open", t, func() {
		w := newWorld(4)
		w.pass(5 * second)
		for _, e := range w.engines {
			So(e.obs.Model, ShouldEqual, "large")
		}
		So(w.serving(), ShouldHaveLength, 2)
	})
	Convey("A new leader adopts the groups and gives higher epochs", t, func() {
		w := newWorld(4)
		w.pass(4 * second)
		before := w.serving()
		w.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Followed})
		w.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Led, Term: 2})
		w.pass(3 * second)
		So(w.serving(), ShouldResemble, before)
		known := map[uint64]bool{}
		for _, r := range w.rows() {
			known[r.Epoch] = true
		}
		w.head().dark = true
		w.pass(2 * second)
		assertWhole(w)
		So(w.serving(), ShouldHaveLength, 2)
		for _, r := range w.rows() {
			if !known[r.Epoch] {
				So(r.Epoch, ShouldBeGreaterThan, uint64(2)<<20)
			}
		}
	})
	Convey("A new leader ends no group before it knows all of them", t, func() {
		w := newWorld(4)
		w.pass(4 * second)
		before := w.serving()
		w.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Followed})
		w.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Led, Term: 2})
		for _, e := range w.engines[:5] { // The others report later.
			w.report(e)
		}
		for range 20 {
			w.now = w.now.Add(100 * dragonflyduration.Millisecond)
			w.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Tick})
			for _, e := range w.engines {
				So(w.fleet.Order(e.obs.Address).Kind, ShouldNotEqual, dragonflyserverorder.Leave)
			}
		}
		w.pass(3 * second)
		So(w.serving(), ShouldResemble, before)
	})
	Convey("A group whose member was lost before the leader led is ended", t, func() {
		w := newWorld(4)
		w.pass(4 * second)
		head := w.head()
		lost := w.member(head)
		for i, e := range w.engines {
			if e == lost {
				w.engines = append(w.engines[:i], w.engines[i+1:]...)
				break
			}
		}
		w.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Followed})
		w.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Led, Term: 2})
		w.pass(dragonflyfleet.CompleteAfter + 2*second)
		So(w.serving(), ShouldHaveLength, 2)
		assertWhole(w)
	})
	Convey("A head that is cut off from control keeps its members for ForgetAfter", t, func() {
		w := newWorld(4)
		w.pass(4 * second)
		head := w.head()
		group := head.obs.Group
		rest := w.engines
		w.engines = nil
		for _, e := range rest {
			if e != head {
				w.engines = append(w.engines, e)
			}
		}
		w.pass(dragonflyfleet.ForgetAfter - second)
		for _, e := range w.engines {
			if e.obs.Domain == head.obs.Domain && e.obs.Group.Is(group.Name, group.Epoch) {
				So(w.fleet.Order(e.obs.Address).Kind, ShouldNotEqual, dragonflyserverorder.Join)
			}
		}
	})
}

// TestHeartbeats guards that late, foreign and repeated reports change nothing.
func TestHeartbeats(t *testing.T) {
	plain := dragonflyobservation.Observation{
		ID: "p1", Boot: 2000, Sequence: 5, Service: "plain", Address: "p-addr", Zone: "a", State: dragonflyobservation.Ready,
	}
	Convey("A plain upstream gets work until it leaves", t, func() {
		w := newWorld(0)
		w.observe(plain)
		So(w.serving(), ShouldResemble, []string{"p1"})
		w.observe(dragonflyobservation.Observation{ID: "p1", State: dragonflyobservation.Left})
		So(w.serving(), ShouldBeEmpty)
	})
	Convey("A heartbeat that arrives after the farewell does not bring it back", t, func() {
		w := newWorld(0)
		w.observe(plain)
		w.observe(dragonflyobservation.Observation{ID: "p1", State: dragonflyobservation.Left})
		late := plain
		late.Sequence = 4
		w.observe(late)
		So(w.serving(), ShouldBeEmpty)
	})
	Convey("An older heartbeat does not undo draining", t, func() {
		w := newWorld(0)
		drained := plain
		drained.Sequence, drained.State = 6, dragonflyobservation.Draining
		w.observe(drained)
		w.observe(plain)
		So(w.serving(), ShouldBeEmpty)
	})
	Convey("A delayed heartbeat of an earlier boot does not take the address back", t, func() {
		w := newWorld(0)
		w.observe(plain)
		old := plain
		old.ID, old.Boot, old.Sequence = "p0", 1000, 99
		w.observe(old)
		So(w.serving(), ShouldResemble, []string{"p1"})
	})
	Convey("A silent plain upstream gets no work", t, func() {
		w := newWorld(0)
		w.observe(plain)
		w.pass(dragonflyfleet.SilentAfter + second)
		So(w.serving(), ShouldBeEmpty)
	})
	Convey("Equal events give equal states", t, func() {
		a, b := newWorld(4), newWorld(4)
		a.pass(5 * second)
		b.pass(5 * second)
		So(a.rows(), ShouldResemble, b.rows())
	})
}
