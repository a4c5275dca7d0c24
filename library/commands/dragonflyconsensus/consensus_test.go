package dragonflyconsensus_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyconsensus"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyclusterstate"
	"dragonflyrelay.example/library/values/dragonflyconsensusaction"
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	"dragonflyrelay.example/library/values/dragonflyconsensusmessage"
	"dragonflyrelay.example/library/values/dragonflyhistory"
	"dragonflyrelay.example/library/values/dragonflylogentry"
	"dragonflyrelay.example/library/values/dragonflylogrecord"
	"dragonflyrelay.example/library/values/dragonflysnapshot"
	. "github.com/smartystreets/goconvey/convey"
)

// node is one instance with a fake disk. Its state machine is the list of the
// ids of the applied changes, which snapshots contain as history.
type node struct {
	consensus dragonflyconsensus.Consensus
	now       dragonflyinstant.Instant
	applied   []string
	index     uint64
	queue     []dragonflyconsensusaction.Action // unsynced writes
	snapshot  dragonflysnapshot.Snapshot
	records   []dragonflylogrecord.Record
	durable   map[uint64]uint64 // term by index of the synced entries after snap
}

// simulation runs all instances in one goroutine with a simulated network, clock and
// disk.
type simulation struct {
	names    []string
	nodes    map[string]*node
	network  []dragonflyconsensusmessage.Message
	isolated map[string]bool // isolated instances

	leaders    map[uint64]string // by term
	history    map[uint64]string // change id by index, from the first application
	acked      map[string]bool   // ids of changes whose proposer received a result
	abandoned  int
	request    uint64
	violations []string
}

func newSimulation(n int) *simulation {
	w := &simulation{nodes: map[string]*node{}, isolated: map[string]bool{}, leaders: map[uint64]string{}, history: map[uint64]string{}, acked: map[string]bool{}}
	for i := range n {
		w.names = append(w.names, fmt.Sprint("n", i))
	}
	for _, name := range w.names {
		w.nodes[name] = &node{consensus: dragonflyconsensus.New(name, w.names), now: 1, durable: map[uint64]uint64{}}
	}
	return w
}

func (w *simulation) step(name string, ev dragonflyconsensusevent.Event) {
	n := w.nodes[name]
	next, acts := n.consensus.Step(n.now, ev)
	n.consensus = next
	for _, a := range acts {
		w.execute(name, n, a)
	}
}

func (w *simulation) execute(name string, n *node, a dragonflyconsensusaction.Action) {
	switch a.Kind {
	case dragonflyconsensusaction.Persist:
		n.queue = append(n.queue, a)
	case dragonflyconsensusaction.Send:
		if !w.isolated[name] && !w.isolated[a.Message.To] {
			w.network = append(w.network, a.Message)
		}
	case dragonflyconsensusaction.Apply:
		if a.Entry.Index != n.index+1 {
			w.violations = append(w.violations, fmt.Sprintf("%s applies entry %d after %d", name, a.Entry.Index, n.index))
		}
		n.index = a.Entry.Index
		n.applied = append(slices.Clone(n.applied), a.Entry.Change.ID)
		if first, ok := w.history[a.Entry.Index]; ok && first != a.Entry.Change.ID {
			w.violations = append(w.violations, fmt.Sprintf("entry %d is %q at %s and %q elsewhere", a.Entry.Index, a.Entry.Change.ID, name, first))
		}
		w.history[a.Entry.Index] = a.Entry.Change.ID
		if n.consensus.Leading() && w.copies(a.Entry) <= len(w.names)/2 {
			w.violations = append(w.violations, fmt.Sprintf("%s commits entry %d, which no quorum has synced", name, a.Entry.Index))
		}
		if a.Request != 0 {
			w.acked[a.Entry.Change.ID] = true
		}
	case dragonflyconsensusaction.Restore:
		n.restore(a.Snapshot)
	case dragonflyconsensusaction.Abandon:
		w.abandoned++
	case dragonflyconsensusaction.Lead:
		if other, ok := w.leaders[a.Term]; ok {
			w.violations = append(w.violations, fmt.Sprintf("%s and %s lead in term %d", other, name, a.Term))
		}
		w.leaders[a.Term] = name
	}
}

// copies returns the number of instances that have synced the entry.
func (w *simulation) copies(e dragonflylogentry.Entry) (count int) {
	for _, n := range w.nodes {
		if n.snapshot.Index >= e.Index || n.durable[e.Index] == e.Term {
			count++
		}
	}
	return count
}

func (n *node) restore(s dragonflysnapshot.Snapshot) {
	n.index, n.applied = s.Index, nil
	for _, h := range s.State.History {
		n.applied = append(n.applied, h.ChangeID)
	}
}

// sync makes the first count queued writes of the named instance durable.
func (w *simulation) sync(name string, count int) {
	n := w.nodes[name]
	count = min(count, len(n.queue))
	if count == 0 {
		return
	}
	for _, a := range n.queue[:count] {
		if a.HasSnapshot {
			n.snapshot, n.records, n.durable = a.Snapshot, nil, map[uint64]uint64{}
		}
		n.records = append(n.records, a.Record)
		for _, e := range a.Record.Entries {
			maps.DeleteFunc(n.durable, func(i, _ uint64) bool { return i >= e.Index })
			n.durable[e.Index] = e.Term
		}
	}
	last := n.queue[count-1].Sequence
	n.queue = slices.Clone(n.queue[count:])
	w.step(name, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Persisted, Sequence: last})
}

// restart restarts the named instance, which loses its unsynced writes.
func (w *simulation) restart(name string) {
	n := w.nodes[name]
	n.queue = nil
	n.consensus = dragonflyconsensus.New(name, w.names).Restored(n.snapshot, n.records)
	n.restore(n.snapshot)
}

func (w *simulation) propose(name string) {
	w.request++
	w.step(name, dragonflyconsensusevent.Event{
		Kind: dragonflyconsensusevent.Propose, Request: w.request,
		Change: dragonflychange.Change{ID: fmt.Sprint("c", w.request), Kind: dragonflychange.SetZone},
	})
}

func (w *simulation) tick(name string, d dragonflyduration.Duration, seed uint64) {
	w.nodes[name].now = w.nodes[name].now.Add(d)
	w.step(name, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Tick, Seed: seed})
}

func (w *simulation) compact(name string) {
	n := w.nodes[name]
	w.step(name, dragonflyconsensusevent.Event{
		Kind:     dragonflyconsensusevent.Compact,
		Snapshot: dragonflysnapshot.Snapshot{Index: n.index, State: stateOf(n.applied)},
	})
}

func (w *simulation) deliver(i int) {
	m := w.network[i]
	w.network = slices.Delete(w.network, i, i+1)
	if !w.isolated[m.To] {
		w.step(m.To, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Received, Message: m})
	}
}

// settle runs the given number of rounds of 50 ms without failures.
func (w *simulation) settle(rounds int) {
	for r := range rounds {
		for i, name := range w.names {
			w.tick(name, 50*dragonflyduration.Millisecond, uint64(r*7919+i*104729)*2654435761)
		}
		for sent := 0; len(w.network) > 0; sent++ {
			if sent > 10_000 {
				w.violations = append(w.violations, "the instances do not stop sending messages")
				return
			}
			for _, name := range w.names {
				w.sync(name, len(w.nodes[name].queue))
			}
			w.deliver(0)
		}
		for _, name := range w.names {
			w.sync(name, len(w.nodes[name].queue))
		}
	}
}

// leader returns the leader of the highest term, "" if there is none.
func (w *simulation) leader() string {
	best, term := "", uint64(0)
	for _, name := range w.names {
		if c := w.nodes[name].consensus; c.Leading() && c.Term() > term {
			best, term = name, c.Term()
		}
	}
	return best
}

// check returns the violations found so far, and those of the settled state.
func (w *simulation) check() []string {
	faults := w.violations
	first := w.nodes[w.names[0]]
	for _, name := range w.names[1:] {
		if !slices.Equal(w.nodes[name].applied, first.applied) {
			faults = append(faults, fmt.Sprintf("%s applied %v, %s applied %v", name, w.nodes[name].applied, w.names[0], first.applied))
		}
	}
	for id := range w.acked {
		if !slices.Contains(first.applied, id) {
			faults = append(faults, "acknowledged change lost: "+id)
		}
	}
	return faults
}

func stateOf(ids []string) (s dragonflyclusterstate.State) {
	for _, id := range ids {
		s.History = append(s.History, dragonflyhistory.Entry{ChangeID: id})
	}
	return s
}

// assertSound asserts that logs have not diverged, that no acknowledged change is
// lost, and that no term has two leaders.
func assertSound(w *simulation) { So(w.check(), ShouldBeEmpty) }

func TestConsensus(t *testing.T) {
	Convey("A single instance becomes leader after its first tick and commits entries once they are synced", t, func() {
		w := newSimulation(1)
		w.tick("n0", 1, 1)
		So(w.nodes["n0"].consensus.Leading(), ShouldBeFalse)
		w.sync("n0", 9)
		So(w.nodes["n0"].consensus.Leading(), ShouldBeTrue)
		w.propose("n0")
		So(w.acked["c1"], ShouldBeFalse)
		w.sync("n0", 9)
		So(w.acked["c1"], ShouldBeTrue)
	})
	Convey("A leader killed between append and reply loses no acknowledged change", t, func() {
		w := newSimulation(3)
		w.settle(60)
		old := w.leader()
		w.propose(old)
		w.sync(old, 9)
		w.restart(old)
		w.settle(60)
		w.propose(w.leader())
		w.settle(10)
		So(w.acked["c2"], ShouldBeTrue)
		assertSound(w)
	})
	Convey("An isolated leader steps down within its election timeout and abandons its proposals", t, func() {
		w := newSimulation(3)
		w.settle(60)
		old := w.leader()
		w.isolated[old] = true
		w.propose(old)
		w.settle(25)
		So(w.nodes[old].consensus.Leading(), ShouldBeFalse)
		So(w.abandoned, ShouldEqual, 1)
		So(w.leader(), ShouldNotEqual, old)
		So(w.leader(), ShouldNotBeEmpty)
		w.isolated[old] = false
		w.settle(40)
		assertSound(w)
	})
	Convey("A reconnected instance does not disturb the leader, because of the pre-vote", t, func() {
		w := newSimulation(3)
		w.settle(60)
		leader := w.leader()
		term := w.nodes[leader].consensus.Term()
		other := w.names[(slices.Index(w.names, leader)+1)%3]
		w.isolated[other] = true
		w.settle(100)
		w.isolated[other] = false
		w.settle(40)
		So(w.leader(), ShouldEqual, leader)
		So(w.nodes[leader].consensus.Term(), ShouldEqual, term)
	})
	Convey("A leader that resigns is replaced by another instance within 200 ms", t, func() {
		w := newSimulation(3)
		w.settle(60)
		old := w.leader()
		w.propose(old)
		w.settle(2)
		w.step(old, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Resign})
		w.settle(4)
		So(w.leader(), ShouldNotBeEmpty)
		So(w.leader(), ShouldNotEqual, old)
		w.settle(10)
		assertSound(w)
	})
	Convey("An instance that lacks compacted entries receives the snapshot", t, func() {
		w := newSimulation(3)
		w.settle(60)
		leader := w.leader()
		other := w.names[(slices.Index(w.names, leader)+1)%3]
		w.isolated[other] = true
		for range 20 {
			w.propose(leader)
			w.settle(1)
		}
		w.settle(3)
		w.compact(leader)
		So(w.nodes[leader].consensus.LogLength(), ShouldEqual, 0)
		w.isolated[other] = false
		w.settle(60)
		So(w.nodes[other].consensus.Snapshot().Index, ShouldEqual, w.nodes[leader].consensus.Snapshot().Index)
		assertSound(w)
	})
	Convey("An instance that lost its disk receives snapshot and log again from the same leader", t, func() {
		w := newSimulation(3)
		w.settle(60)
		leader := w.leader()
		w.propose(leader)
		w.settle(10)
		w.compact(leader)
		other := w.nodes[w.names[(slices.Index(w.names, leader)+1)%3]]
		other.records, other.durable = nil, map[uint64]uint64{}
		w.restart(other.consensus.Self())
		w.settle(20)
		So(w.leader(), ShouldEqual, leader)
		assertSound(w)
	})
	Convey("A leader whose disk fails writes steps down and acknowledges nothing", t, func() {
		w := newSimulation(1)
		w.tick("n0", 1, 1)
		w.sync("n0", 9)
		w.propose("n0")
		w.step("n0", dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.PersistFailed})
		So(w.nodes["n0"].consensus.Leading(), ShouldBeFalse)
		So(w.abandoned, ShouldEqual, 1)
		So(w.acked, ShouldBeEmpty)
	})
}
