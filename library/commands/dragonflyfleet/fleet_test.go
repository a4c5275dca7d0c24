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
	Convey("Groups form once the engines have reported", t, func() {
		s := newSimulation(4)
		s.advance(4 * second)
		So(s.servingHeads(), ShouldHaveLength, 2)
		assertGroupsIntact(s)
	})
	Convey("A lost member ends its group, and a spare repairs it", t, func() {
		s := newSimulation(4)
		s.advance(4 * second)
		head := s.firstHead()
		epoch := head.obs.Group.Epoch
		s.otherMember(head).unreachable = true
		s.advance(2 * second)
		So(s.servingHeads(), ShouldHaveLength, 2)
		for _, r := range s.rows() {
			So(r.Epoch, ShouldNotEqual, epoch)
		}
		assertGroupsIntact(s)
	})
	Convey("Members of a lost head form new groups", t, func() {
		s := newSimulation(4)
		s.advance(4 * second)
		s.firstHead().unreachable = true
		s.advance(2 * second)
		So(s.servingHeads(), ShouldHaveLength, 2)
		assertGroupsIntact(s)
	})
	Convey("Members of a paused head join no other group before the head has left", t, func() {
		s := newSimulation(4)
		s.advance(4 * second)
		head := s.firstHead()
		group := head.obs.Group
		head.paused = true
		s.advance(20 * second)
		So(s.servingHeads(), ShouldNotContain, head.obs.ID)
		for _, e := range s.engines {
			if e != head && e.obs.Domain == head.obs.Domain {
				So(e.obs.Group.State, ShouldNotEqual, dragonflyenginegroup.Open)
			}
		}
		So(s.otherMember(head).obs.Group.Is(group.Name, group.Epoch), ShouldBeTrue)
		head.paused = false
		s.advance(2 * second)
		So(s.servingHeads(), ShouldHaveLength, 2)
		assertGroupsIntact(s)
	})
	Convey("Members of a leaving head that no longer listens join no other group before its streams have ended", t, func() {
		for _, state := range []string{"draining", "left"} {
			s := newSimulation(4)
			s.advance(4 * second)
			head := s.firstHead()
			member := s.otherMember(head)
			group := head.obs.Group
			head.obs.State, head.obs.Running = dragonflyobservation.Draining, 3
			if state == "left" {
				head.obs.State = dragonflyobservation.Left
			}
			s.report(head)
			head.unreachable = true
			s.advance(dragonflyfleet.StreamEndTime - second/5)
			So(s.servingHeads(), ShouldNotContain, head.obs.ID)
			So(member.obs.Group.Is(group.Name, group.Epoch), ShouldBeTrue)
			s.advance(2 * second)
			So(s.servingHeads(), ShouldHaveLength, 2)
			assertGroupsIntact(s)
		}
	})
	Convey("Late heartbeats from before the group do not end it while the agent beside the head is silent", t, func() {
		s := newSimulation(4)
		s.advance(4 * second)
		head := s.firstHead()
		late := head.obs
		late.Group, late.Model = dragonflyenginegroup.Group{}, ""
		for range 30 {
			s.now = s.now.Add(second / 10)
			late.Sequence++
			s.observe(late)
			s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Tick})
		}
		So(s.servingHeads(), ShouldContain, head.obs.ID)
		for _, e := range s.engines {
			isMember := e.obs.Group.Is(head.obs.Group.Name, head.obs.Group.Epoch)
			So(isMember && s.fleet.Order(e.obs.Address).Kind == dragonflyserverorder.Join, ShouldBeFalse)
		}
	})
	Convey("A draining head gets no new requests, and a spare replaces it", t, func() {
		s := newSimulation(4)
		s.advance(4 * second)
		head := s.firstHead()
		head.obs.State = dragonflyobservation.Draining
		s.report(head)
		So(s.servingHeads(), ShouldNotContain, head.obs.ID)
		s.advance(2 * second)
		So(s.servingHeads(), ShouldHaveLength, 2)
		So(s.servingHeads(), ShouldNotContain, head.obs.ID)
	})
	Convey("Groups with draining members close one at a time", t, func() {
		s := newSimulation(6)
		s.advance(4 * second)
		closed := func() (n int) {
			for _, r := range s.rows() {
				if r.Leaving && r.Group != "" {
					n++
				}
			}
			return n
		}
		So(len(s.servingHeads()), ShouldBeGreaterThan, 1)
		leaving := 0
		for _, e := range s.engines {
			if e.obs.Group.State != dragonflyenginegroup.None && e.obs.Group.Rank == 1 {
				e.obs.State = dragonflyobservation.Draining
				leaving++
			}
		}
		So(leaving, ShouldBeGreaterThan, 1)
		for range 40 {
			for _, e := range s.engines {
				s.report(e)
			}
			So(closed(), ShouldBeLessThanOrEqualTo, 1)
			s.advance(100 * dragonflyduration.Millisecond)
		}
		for _, e := range s.engines {
			if e.obs.Group.State == dragonflyenginegroup.Open {
				So(s.drainingMembers(e), ShouldEqual, 0)
			}
		}
		assertGroupsIntact(s)
	})
	Convey("Groups of a zone that is taken out are replaced in another zone", t, func() {
		s := newSimulation(7)
		s.advance(4 * second)
		before := len(s.servingHeads())
		s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.DocumentReceived, Document: testDocument(), OutZones: []string{"a"}})
		s.advance(3 * second)
		elsewhere := 0
		for _, r := range s.rows() {
			if r.Zone == "b" && !r.Leaving {
				elsewhere++
			}
		}
		So(elsewhere, ShouldEqual, 2)
		So(len(s.servingHeads()), ShouldBeGreaterThanOrEqualTo, before)
		assertGroupsIntact(s)
	})
	Convey("A slow member is replaced", t, func() {
		s := newSimulation(4)
		s.advance(4 * second)
		slow := s.otherMember(s.firstHead())
		slow.obs.Pace = 5
		s.advance(2 * second)
		So(s.servingHeads(), ShouldHaveLength, 2)
		So(slow.obs.Group.State, ShouldNotEqual, dragonflyenginegroup.Open)
	})
	Convey("Spares are warmed up in standby groups that never open", t, func() {
		s := newSimulation(4)
		s.advance(5 * second)
		for _, e := range s.engines {
			So(e.obs.Model, ShouldEqual, "large")
		}
		So(s.servingHeads(), ShouldHaveLength, 2)
	})
	Convey("A new leader adopts the groups and assigns higher epochs", t, func() {
		s := newSimulation(4)
		s.advance(4 * second)
		before := s.servingHeads()
		s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Followed})
		s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Led, Term: 2})
		s.advance(3 * second)
		So(s.servingHeads(), ShouldResemble, before)
		oldEpochs := map[uint64]bool{}
		for _, r := range s.rows() {
			oldEpochs[r.Epoch] = true
		}
		s.firstHead().unreachable = true
		s.advance(2 * second)
		assertGroupsIntact(s)
		So(s.servingHeads(), ShouldHaveLength, 2)
		for _, r := range s.rows() {
			if !oldEpochs[r.Epoch] {
				So(r.Epoch, ShouldBeGreaterThan, uint64(2)<<20)
			}
		}
	})
	Convey("A new leader opens no group before all its members are ready", t, func() {
		s := newSimulation(3)
		loading := s.engines[2]
		loading.loading = true
		s.advance(4 * second)
		group := loading.obs.Group
		So(s.servingHeads(), ShouldHaveLength, 1)
		for term := uint64(2); term < 5; term++ {
			s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Followed})
			s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Led, Term: term})
			s.advance(4 * second)
			assertNotOpen(s, group)
		}
		loading.obs.Group.State, loading.loading = dragonflyenginegroup.Ready, false
		s.advance(second)
		So(loading.obs.Group.Is(group.Name, group.Epoch), ShouldBeTrue)
		So(s.servingHeads(), ShouldHaveLength, 2)
		assertGroupsIntact(s)
	})
	Convey("A late order of an earlier leader opens no group whose members have joined another one", t, func() {
		s := newSimulation(5)
		for _, e := range s.engines {
			e.slowToOpen = true
		}
		s.advance(4 * second)
		group := s.engines[0].obs.Group
		So(group.State, ShouldEqual, dragonflyenginegroup.Ready)
		members, away := s.takeAway(group)
		for _, e := range members {
			if e.obs.Group.Rank == 0 {
				e.obs.Pace = 5 // A slow engine is not chosen for another group.
			}
		}
		s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Followed})
		s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Led, Term: 2})
		s.advance(3 * second)
		for _, e := range members {
			if e.obs.Group.Is(group.Name, group.Epoch) && e.obs.Group.Rank == 0 {
				e.obs.Group.State = dragonflyenginegroup.Open
			}
		}
		s.engines = append(s.engines, away)
		s.advance(200 * dragonflyduration.Millisecond)
		assertGroupsIntact(s)
	})
	Convey("A head whose member starts again before it has opened waits for that member", t, func() {
		s := newSimulation(3)
		head, again := s.engines[0], s.engines[2]
		head.slowToOpen = true
		s.advance(4 * second)
		again.obs.Boot, again.obs.Group, again.loading = 2000, dragonflyenginegroup.Group{}, true
		s.report(again)
		head.slowToOpen = false
		s.advance(3 * second)
		assertNotOpen(s, head.obs.Group)
	})
	Convey("A new leader ends no group before all of them have been reported", t, func() {
		s := newSimulation(4)
		s.advance(4 * second)
		before := s.servingHeads()
		s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Followed})
		s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Led, Term: 2})
		for _, e := range s.engines[:5] { // The others report later.
			s.report(e)
		}
		for range 20 {
			s.now = s.now.Add(100 * dragonflyduration.Millisecond)
			s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Tick})
			for _, e := range s.engines {
				So(s.fleet.Order(e.obs.Address).Kind, ShouldNotEqual, dragonflyserverorder.Leave)
			}
		}
		s.advance(3 * second)
		So(s.servingHeads(), ShouldResemble, before)
	})
	Convey("A group whose member was lost before the change of leader is ended", t, func() {
		s := newSimulation(4)
		s.advance(4 * second)
		head := s.firstHead()
		lost := s.otherMember(head)
		for i, e := range s.engines {
			if e == lost {
				s.engines = append(s.engines[:i], s.engines[i+1:]...)
				break
			}
		}
		s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Followed})
		s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Led, Term: 2})
		s.advance(dragonflyfleet.ReportWindow + 2*second)
		So(s.servingHeads(), ShouldHaveLength, 2)
		assertGroupsIntact(s)
	})
	Convey("A head that is partitioned from control keeps its members for RemoveAfter", t, func() {
		s := newSimulation(4)
		s.advance(4 * second)
		head := s.firstHead()
		group := head.obs.Group
		rest := s.engines
		s.engines = nil
		for _, e := range rest {
			if e != head {
				s.engines = append(s.engines, e)
			}
		}
		s.advance(dragonflyfleet.RemoveAfter - second)
		for _, e := range s.engines {
			if e.obs.Domain == head.obs.Domain && e.obs.Group.Is(group.Name, group.Epoch) {
				So(s.fleet.Order(e.obs.Address).Kind, ShouldNotEqual, dragonflyserverorder.Join)
			}
		}
	})
}

// TestHeartbeats checks that late reports, and those of an earlier boot, change
// nothing.
func TestHeartbeats(t *testing.T) {
	plain := dragonflyobservation.Observation{
		ID: "p1", Boot: 2000, Sequence: 5, Service: "plain", Address: "p-addr", Zone: "a", State: dragonflyobservation.Ready,
	}
	Convey("A plain upstream gets requests until it leaves", t, func() {
		s := newSimulation(0)
		s.observe(plain)
		So(s.servingHeads(), ShouldResemble, []string{"p1"})
		s.observe(dragonflyobservation.Observation{ID: "p1", State: dragonflyobservation.Left})
		So(s.servingHeads(), ShouldBeEmpty)
	})
	Convey("A heartbeat that arrives after the last report does not restore the upstream", t, func() {
		s := newSimulation(0)
		s.observe(plain)
		s.observe(dragonflyobservation.Observation{ID: "p1", State: dragonflyobservation.Left})
		late := plain
		late.Sequence = 4
		s.observe(late)
		So(s.servingHeads(), ShouldBeEmpty)
	})
	Convey("An older heartbeat does not undo draining", t, func() {
		s := newSimulation(0)
		drained := plain
		drained.Sequence, drained.State = 6, dragonflyobservation.Draining
		s.observe(drained)
		s.observe(plain)
		So(s.servingHeads(), ShouldBeEmpty)
	})
	Convey("A delayed heartbeat of an earlier boot does not take over the address", t, func() {
		s := newSimulation(0)
		s.observe(plain)
		old := plain
		old.ID, old.Boot, old.Sequence = "p0", 1000, 99
		s.observe(old)
		So(s.servingHeads(), ShouldResemble, []string{"p1"})
	})
	Convey("A silent plain upstream gets no requests", t, func() {
		s := newSimulation(0)
		s.observe(plain)
		s.advance(dragonflyfleet.SilentAfter + second)
		So(s.servingHeads(), ShouldBeEmpty)
	})
	Convey("Equal events result in equal routing tables", t, func() {
		a, b := newSimulation(4), newSimulation(4)
		a.advance(5 * second)
		b.advance(5 * second)
		So(a.rows(), ShouldResemble, b.rows())
	})
}

// assertNotOpen checks that no engine has opened the group.
func assertNotOpen(s *simulation, g dragonflyenginegroup.Group) {
	for _, e := range s.engines {
		if e.obs.Group.Is(g.Name, g.Epoch) {
			So(e.obs.Group.State, ShouldNotEqual, dragonflyenginegroup.Open)
		}
	}
}
