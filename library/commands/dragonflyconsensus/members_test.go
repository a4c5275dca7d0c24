package dragonflyconsensus_test

import (
	"slices"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyconsensus"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	. "github.com/smartystreets/goconvey/convey"
)

// newSimulationWithMemberChanges returns three instances with an elected leader whose members
// may change.
func newSimulationWithMemberChanges() *simulation {
	w := newSimulation(3)
	for _, name := range w.names {
		w.nodes[name].consensus = w.nodes[name].consensus.WithMemberChanges()
	}
	w.settle(60)
	return w
}

// add starts an instance with an empty disk and no configured members.
func (w *simulation) add(name string) {
	w.names = append(w.names, name)
	core := dragonflyconsensus.New(name, nil).WithMemberChanges()
	w.nodes[name] = &node{consensus: core, now: w.nodes[w.names[0]].now, durable: map[uint64]uint64{}}
}

// remove stops an instance permanently.
func (w *simulation) remove(name string) {
	w.names = slices.DeleteFunc(slices.Clone(w.names), func(n string) bool { return n == name })
	w.isolated[name] = true
}

// joinFor runs the given number of rounds, in each of which the named instances
// ask to join.
func (w *simulation) joinFor(rounds int, names ...string) {
	for range rounds {
		for _, name := range names {
			w.step(w.leader(), dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Joined, Name: name})
		}
		w.settle(1)
	}
}

func assertMembers(w *simulation, want ...string) {
	for _, name := range w.names {
		So(w.nodes[name].consensus.Members(), ShouldResemble, want)
	}
}

func otherThan(w *simulation, leader string) string {
	for _, name := range w.names {
		if name != leader {
			return name
		}
	}
	return ""
}

// TestMembers guards against instances that stay without a vote after a
// replacement or the loss of their disk, and against the loss of acknowledged
// changes in the process.
func TestMembers(t *testing.T) {
	Convey("An instance that lost its disk replaces its previous incarnation as a member", t, func() {
		w := newSimulationWithMemberChanges()
		w.propose(w.leader())
		w.settle(5)
		old := otherThan(w, w.leader())
		w.remove(old)
		fresh := dragonflyconsensus.Incarnation(old, "2")
		w.add(fresh)
		w.joinFor(40, fresh)
		So(w.nodes[fresh].consensus.IsMember(), ShouldBeTrue)
		So(w.nodes[fresh].consensus.Members(), ShouldNotContain, old)
		So(w.nodes[fresh].consensus.Members(), ShouldHaveLength, 3)
		assertSound(w)
	})
	Convey("An instance that lost its disk does not vote before it has the log", t, func() {
		w := newSimulationWithMemberChanges()
		old := otherThan(w, w.leader())
		w.remove(old)
		fresh := dragonflyconsensus.Incarnation(old, "2")
		w.add(fresh)
		w.isolated[w.leader()] = true
		w.settle(80)
		So(w.nodes[fresh].consensus.Leading(), ShouldBeFalse)
		for _, name := range w.names {
			So(!w.isolated[name] && w.nodes[name].consensus.Leading(), ShouldBeFalse)
		}
	})
	Convey("A new instance replaces a member that is gone", t, func() {
		w := newSimulationWithMemberChanges()
		gone := otherThan(w, w.leader())
		w.remove(gone)
		w.add("m0")
		w.joinFor(100, "m0")
		So(w.nodes["m0"].consensus.IsMember(), ShouldBeTrue)
		So(w.nodes["m0"].consensus.Members(), ShouldNotContain, gone)
		So(w.nodes["m0"].consensus.Members(), ShouldHaveLength, 3)
		w.propose(w.leader())
		w.settle(5)
		assertSound(w)
	})
	Convey("A fourth instance does not become a member while all three members are alive", t, func() {
		w := newSimulationWithMemberChanges()
		w.add("m0")
		w.joinFor(100, "m0")
		So(w.nodes["m0"].consensus.IsMember(), ShouldBeFalse)
		So(w.nodes["m0"].consensus.Commit(), ShouldEqual, w.nodes[w.leader()].consensus.Commit())
	})
	Convey("All of five instances become members", t, func() {
		w := newSimulationWithMemberChanges()
		w.add("m0")
		w.add("m1")
		w.joinFor(60, "m0", "m1")
		assertMembers(w, "m0", "m1", "n0", "n1", "n2")
		w.propose(w.leader())
		w.settle(5)
		assertSound(w)
	})
	Convey("Members are restored from a snapshot after a restart", t, func() {
		w := newSimulationWithMemberChanges()
		w.add("m0")
		w.add("m1")
		w.joinFor(60, "m0", "m1")
		leader := w.leader()
		w.propose(leader)
		w.settle(5)
		w.compact(leader)
		w.settle(2)
		n := w.nodes[leader]
		core := dragonflyconsensus.New(leader, nil).Restored(n.snapshot, n.records).WithMemberChanges()
		So(core.Members(), ShouldResemble, []string{"m0", "m1", "n0", "n1", "n2"})
	})
	Convey("A paused member is not replaced before ReplaceAfter", t, func() {
		w := newSimulationWithMemberChanges()
		paused := otherThan(w, w.leader())
		w.add("m0")
		w.joinFor(20, "m0")
		w.isolated[paused] = true
		rounds := int(dragonflyconsensus.ReplaceAfter/(50*dragonflyduration.Millisecond)) - 4
		w.joinFor(rounds, "m0")
		So(w.nodes[w.leader()].consensus.Members(), ShouldContain, paused)
	})
}
