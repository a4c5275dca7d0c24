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
		w := newSimulation(4)
		w.advance(4 * second)
		So(w.servingHeads(), ShouldHaveLength, 2)
		assertGroupsIntact(w)
	})
	Convey("A lost member ends its group, and a spare repairs it", t, func() {
		w := newSimulation(4)
		w.advance(4 * second)
		head := w.firstHead()
		epoch := head.obs.Group.Epoch
		w.otherMember(head).unreachable = true
		w.advance(2 * second)
		So(w.servingHeads(), ShouldHaveLength, 2)
		for _, r := range w.rows() {
			So(r.Epoch, ShouldNotEqual, epoch)
		}
		assertGroupsIntact(w)
	})
	Convey("Members of a lost head are used again", t, func() {
		w := newSimulation(4)
		w.advance(4 * second)
		w.firstHead().unreachable = true
		w.advance(2 * second)
		So(w.servingHeads(), ShouldHaveLength, 2)
		assertGroupsIntact(w)
	})
	Convey("Members of a paused head are not used before it has left", t, func() {
		w := newSimulation(4)
		w.advance(4 * second)
		head := w.firstHead()
		group := head.obs.Group
		head.paused = true
		w.advance(20 * second)
		So(w.servingHeads(), ShouldNotContain, head.obs.ID)
		for _, e := range w.engines {
			if e != head && e.obs.Domain == head.obs.Domain {
				So(e.obs.Group.State, ShouldNotEqual, dragonflyenginegroup.Open)
			}
		}
		So(w.otherMember(head).obs.Group.Is(group.Name, group.Epoch), ShouldBeTrue)
		head.paused = false
		w.advance(2 * second)
		So(w.servingHeads(), ShouldHaveLength, 2)
		assertGroupsIntact(w)
	})
	Convey("A head that leaves gets no new work and finishes first", t, func() {
		w := newSimulation(4)
		w.advance(4 * second)
		head := w.firstHead()
		head.obs.State = dragonflyobservation.Draining
		w.report(head)
		So(w.servingHeads(), ShouldNotContain, head.obs.ID)
		w.advance(2 * second)
		So(w.servingHeads(), ShouldHaveLength, 2)
		So(w.servingHeads(), ShouldNotContain, head.obs.ID)
	})
	Convey("Groups whose members leave close one after the other", t, func() {
		w := newSimulation(6)
		w.advance(4 * second)
		closed := func() (n int) {
			for _, r := range w.rows() {
				if r.Leaving && r.Group != "" {
					n++
				}
			}
			return n
		}
		So(len(w.servingHeads()), ShouldBeGreaterThan, 1)
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
			w.advance(100 * dragonflyduration.Millisecond)
		}
		for _, e := range w.engines {
			if e.obs.Group.State == dragonflyenginegroup.Open {
				So(w.drainingMembers(e), ShouldEqual, 0)
			}
		}
		assertGroupsIntact(w)
	})
	Convey("Groups of a zone that is taken out are made up for elsewhere", t, func() {
		w := newSimulation(7)
		w.advance(4 * second)
		before := len(w.servingHeads())
		w.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Stated, Document: testDocument(), OutZones: []string{"a"}})
		w.advance(3 * second)
		elsewhere := 0
		for _, r := range w.rows() {
			if r.Zone == "b" && !r.Leaving {
				elsewhere++
			}
		}
		So(elsewhere, ShouldEqual, 2)
		So(len(w.servingHeads()), ShouldBeGreaterThanOrEqualTo, before)
		assertGroupsIntact(w)
	})
	Convey("A slow member is replaced", t, func() {
		w := newSimulation(4)
		w.advance(4 * second)
		slow := w.otherMember(w.firstHead())
		slow.obs.Pace = 5
		w.advance(2 * second)
		So(w.servingHeads(), ShouldHaveLength, 2)
		So(slow.obs.Group.State, ShouldNotEqual, dragonflyenginegroup.Open)
	})
	Convey("Spares are warmed up in groups that never open", t, func() {
		w := newSimulation(4)
		w.advance(5 * second)
		for _, e := range w.engines {
			So(e.obs.Model, ShouldEqual, "large")
		}
		So(w.servingHeads(), ShouldHaveLength, 2)
	})
	Convey("A new leader adopts the groups and gives higher epochs", t, func() {
		w := newSimulation(4)
		w.advance(4 * second)
		before := w.servingHeads()
		w.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Followed})
		w.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Led, Term: 2})
		w.advance(3 * second)
		So(w.servingHeads(), ShouldResemble, before)
		known := map[uint64]bool{}
		for _, r := range w.rows() {
			known[r.Epoch] = true
		}
		w.firstHead().unreachable = true
		w.advance(2 * second)
		assertGroupsIntact(w)
		So(w.servingHeads(), ShouldHaveLength, 2)
		for _, r := range w.rows() {
			if !known[r.Epoch] {
				So(r.Epoch, ShouldBeGreaterThan, uint64(2)<<20)
			}
		}
	})
	Convey("A new leader ends no group before it knows all of them", t, func() {
		w := newSimulation(4)
		w.advance(4 * second)
		before := w.servingHeads()
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
		w.advance(3 * second)
		So(w.servingHeads(), ShouldResemble, before)
	})
	Convey("A group whose member was lost before the leader led is ended", t, func() {
		w := newSimulation(4)
		w.advance(4 * second)
		head := w.firstHead()
		lost := w.otherMember(head)
		for i, e := range w.engines {
			if e == lost {
				w.engines = append(w.engines[:i], w.engines[i+1:]...)
				break
			}
		}
		w.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Followed})
		w.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Led, Term: 2})
		w.advance(dragonflyfleet.ReportWindow + 2*second)
		So(w.servingHeads(), ShouldHaveLength, 2)
		assertGroupsIntact(w)
	})
	Convey("A head that is cut off from control keeps its members for ForgetAfter", t, func() {
		w := newSimulation(4)
		w.advance(4 * second)
		head := w.firstHead()
		group := head.obs.Group
		rest := w.engines
		w.engines = nil
		for _, e := range rest {
			if e != head {
				w.engines = append(w.engines, e)
			}
		}
		w.advance(dragonflyfleet.RemoveAfter - second)
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
		w := newSimulation(0)
		w.observe(plain)
		So(w.servingHeads(), ShouldResemble, []string{"p1"})
		w.observe(dragonflyobservation.Observation{ID: "p1", State: dragonflyobservation.Left})
		So(w.servingHeads(), ShouldBeEmpty)
	})
	Convey("A heartbeat that arrives after the farewell does not bring it back", t, func() {
		w := newSimulation(0)
		w.observe(plain)
		w.observe(dragonflyobservation.Observation{ID: "p1", State: dragonflyobservation.Left})
		late := plain
		late.Sequence = 4
		w.observe(late)
		So(w.servingHeads(), ShouldBeEmpty)
	})
	Convey("An older heartbeat does not undo draining", t, func() {
		w := newSimulation(0)
		drained := plain
		drained.Sequence, drained.State = 6, dragonflyobservation.Draining
		w.observe(drained)
		w.observe(plain)
		So(w.servingHeads(), ShouldBeEmpty)
	})
	Convey("A delayed heartbeat of an earlier boot does not take the address back", t, func() {
		w := newSimulation(0)
		w.observe(plain)
		old := plain
		old.ID, old.Boot, old.Sequence = "p0", 1000, 99
		w.observe(old)
		So(w.servingHeads(), ShouldResemble, []string{"p1"})
	})
	Convey("A silent plain upstream gets no work", t, func() {
		w := newSimulation(0)
		w.observe(plain)
		w.advance(dragonflyfleet.SilentAfter + second)
		So(w.servingHeads(), ShouldBeEmpty)
	})
	Convey("Equal events give equal states", t, func() {
		a, b := newSimulation(4), newSimulation(4)
		a.advance(5 * second)
		b.advance(5 * second)
		So(a.rows(), ShouldResemble, b.rows())
	})
}
