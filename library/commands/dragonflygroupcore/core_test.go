package dragonflygroupcore_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflymembership"
	"dragonflyrelay.example/library/values/dragonflygroupevent"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// assertOpen checks that the gate of the head is open for the group.
func assertOpen(s *simulation, head *node, group uint64) {
	So(s.violation, ShouldBeEmpty)
	So(head.openGroup(), ShouldEqual, group)
}

// assertNoViolation checks that every invariant has held so far.
func assertNoViolation(s *simulation) { So(s.violation, ShouldBeEmpty) }

// newHealthySimulation returns a simulation that loses no messages and delays them by
// at most 2 ms, at a time when the initial promises have expired.
func newHealthySimulation(nodes int) *simulation {
	s := newSimulation(1, nodes)
	s.maxDelay = 2 * ms
	s.run(1500 * ms)
	return s
}

func TestCore(t *testing.T) {
	Convey("A group of eight opens soon after the initial promises have expired and stays open", t, func() {
		s := newHealthySimulation(8)
		o := s.form(s.nodes...)
		s.run(2500 * ms)
		assertOpen(s, s.nodes[0], o.Group)
		s.run(60_000 * ms)
		assertOpen(s, s.nodes[0], o.Group)
	})
	Convey("The gate closes within the duration of the lease when a member dies", t, func() {
		s := newHealthySimulation(8)
		s.form(s.nodes...)
		s.run(3000 * ms)
		s.nodes[5].pausedUntil = 1 << 62
		s.run(1200 * ms)
		So(s.nodes[0].openGroup(), ShouldEqual, 0)
		s.run(100 * ms)
		So(s.nodes[0].core.Lease().LostMembers(), ShouldResemble, []string{"i5"})
	})
	Convey("A pause shorter than the lease does not close the gate", t, func() {
		s := newHealthySimulation(3)
		o := s.form(s.nodes...)
		s.run(3000 * ms)
		s.nodes[1].pausedUntil = s.now + 700*ms
		for range 30 {
			s.run(50 * ms)
			assertOpen(s, s.nodes[0], o.Group)
		}
	})
	Convey("A group with a partitioned member reopens after the partition without an order", t, func() {
		s := newHealthySimulation(3)
		o := s.form(s.nodes...)
		s.run(3000 * ms)
		s.nodes[2].partitionedUntil = s.now + 3000*ms
		s.run(2000 * ms)
		So(s.nodes[0].openGroup(), ShouldEqual, 0)
		s.run(2500 * ms)
		assertOpen(s, s.nodes[0], o.Group)
	})
	Convey("A restarted head waits for the duration of a promise and rejoins its group", t, func() {
		s := newHealthySimulation(3)
		o := s.form(s.nodes...)
		s.run(3000 * ms)
		s.nodes[0].restart()
		s.run(100 * ms)
		s.sendOrder(o)
		s.run(1000 * ms)
		So(s.nodes[0].core.Membership().State(), ShouldEqual, dragonflymembership.Releasing)
		s.sendOrder(o)
		s.run(1500 * ms)
		assertOpen(s, s.nodes[0], o.Group)
	})
	Convey("A dissolved head keeps its members until its requests are done", t, func() {
		s := newHealthySimulation(2)
		o := s.form(s.nodes...)
		s.run(3000 * ms)
		head := s.nodes[0]
		head.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.RequestsCounted, Count: 1})
		s.dissolve(o)
		s.run(10_000 * ms)
		assertOpen(s, head, o.Group)
		head.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.RequestsCounted, Closed: true})
		s.run(2000 * ms)
		So(head.openGroup(), ShouldEqual, 0)
		So(s.nodes[1].core.Membership().State(), ShouldEqual, dragonflymembership.Free)
	})
	Convey("A leaving member stays until the head has drained", t, func() {
		s := newHealthySimulation(2)
		o := s.form(s.nodes...)
		s.run(3000 * ms)
		head, member := s.nodes[0], s.nodes[1]
		head.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.RequestsCounted, Count: 1})
		member.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.Leave})
		member.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.RequestsCounted, Closed: true})
		s.run(1000 * ms)
		So(head.core.Leaving(), ShouldBeTrue)
		s.run(10_000 * ms)
		assertOpen(s, head, o.Group)
		So(member.core.Membership().ShutdownComplete(), ShouldBeFalse)
		head.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.RequestsCounted, Closed: true})
		s.run(2000 * ms)
		So(member.core.Membership().ShutdownComplete(), ShouldBeTrue)
	})
	Convey("With clocks that drift apart by 0.2%, a member is not free before the lease of its head ends", t, func() {
		s := newSimulation(1, 2)
		s.maxDelay = 0
		head, member := s.nodes[0], s.nodes[1]
		head.ppm, member.ppm = -1000, 1000
		s.run(1500 * ms)
		s.form(head, member)
		s.run(3000 * ms)
		s.form(member)
		s.run(100 * ms)
		head.pausedUntil = s.now + 100_000*ms
		s.run(member.realTime(member.core.Membership().PromisedUntil()) - s.now)
		member.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.Tick})
		s.run(ms)
		member.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.Tick})
		assertNoViolation(s)
		So(member.core.Membership().Group().Group, ShouldEqual, 102)
		So(head.openGroup(), ShouldEqual, 0)
	})
	Convey("An instance is never in two groups despite random delays, losses, pauses, partitions and restarts", t, func() {
		joins, opened := 0, 0
		rapid.Check(t, func(t *rapid.T) {
			s := newSimulation(rapid.Int64().Draw(t, "seed"), rapid.IntRange(2, 6).Draw(t, "nodes"))
			s.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
			s.maxDelay = rapid.Int64Range(1, 1500).Draw(t, "delay") * ms
			for range rapid.IntRange(1, 25).Draw(t, "actions") {
				s.randomAction(rapid.IntRange(0, 9).Draw(t, "action"))
				s.run(rapid.Int64Range(1, 4000).Draw(t, "pause") * ms)
			}
			if s.violation != "" {
				t.Fatal(s.violation)
			}
			joins, opened = joins+s.joins, opened+s.openChecks
		})
		// Guards against simulations in which no group ever forms or opens.
		So(joins, ShouldBeGreaterThan, 100)
		So(opened, ShouldBeGreaterThan, 1000)
	})
}

// randomAction injects a fault, or forms, dissolves or repeats the order of a group.
// The action is a number from 0 to 9.
func (s *simulation) randomAction(action int) {
	n := s.nodes[s.rng.Intn(len(s.nodes))]
	switch action {
	case 0:
		n.pausedUntil = s.now + s.rng.Int63n(4000*ms)
	case 1:
		n.partitionedUntil = s.now + s.rng.Int63n(5000*ms)
	case 2:
		n.restart()
	case 3:
		n.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.RequestsCounted, Count: s.rng.Intn(2), Closed: s.rng.Intn(2) == 0})
	case 4:
		if o, ok := s.groups[100+1+uint64(s.rng.Intn(int(s.fence)+1))]; ok && s.rng.Intn(2) == 0 {
			s.sendOrder(o) // a delayed repeat
		} else if ok {
			s.dissolve(o)
		}
	case 5:
		n.group, n.fence = 0, 0 // the engine restarts and holds no group
	default:
		s.rng.Shuffle(len(s.nodes), func(i, j int) { s.nodes[i], s.nodes[j] = s.nodes[j], s.nodes[i] })
		s.form(s.nodes[:1+s.rng.Intn(len(s.nodes))]...)
	}
}
