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
	"dragonflyrelay.example/library/values/dragonflylogrecord"
	"dragonflyrelay.example/library/values/dragonflysnapshot"
	. "github.com/smartystreets/goconvey/convey"
)

// node is one instance with a fake disk. Its state machine is the list of the
// ids of the applied changes, which snapshots contain as history.
type node struct {
	consensus dragonflyconsensus.Consensus
	members   []string // before the first entry of the log
	zone      string
	now       dragonflyinstant.Instant
	applied   []string
	index     uint64
	queue     []dragonflyconsensusaction.Action // unsynced writes
	snapshot  dragonflysnapshot.Snapshot
	records   []dragonflylogrecord.Record
	durable   map[uint64]uint64 // term by index of the synced entries after snapshot
}

// simulation runs all instances in one goroutine with a simulated network, clock
// and disk.
type simulation struct {
	names    []string
	nodes    map[string]*node
	network  []dragonflyconsensusmessage.Message
	isolated map[string]bool // instances that neither send nor receive messages
	full     string          // the instance whose disk is full, "" if none
	stalled  string          // the instance whose disk does not answer, "" if none
	scarce   bool            // the disks have no room for a second copy of the state

	membersMayChange bool
	diskLost         string // instance that has started with an empty disk and is not in sync yet, "" if none
	round            int    // rounds settled so far; it varies the seeds of the ticks

	leaders    map[uint64]string // by term
	votes      map[vote][]string // names of the voters, without the candidate
	history    map[uint64]string // change id by index, from the first application
	acked      map[string]bool   // ids of changes whose proposer received a result
	abandoned  int
	outdated   int
	request    uint64
	violations []string
}

func newSimulation(n int) *simulation {
	s := &simulation{nodes: map[string]*node{}, isolated: map[string]bool{}, leaders: map[uint64]string{}, votes: map[vote][]string{}, history: map[uint64]string{}, acked: map[string]bool{}}
	for i := range n {
		s.names = append(s.names, fmt.Sprint("n", i))
	}
	for _, name := range s.names {
		s.nodes[name] = &node{consensus: dragonflyconsensus.New(name, s.names), members: slices.Clone(s.names), now: 1, durable: map[uint64]uint64{}}
	}
	return s
}

func (s *simulation) step(name string, ev dragonflyconsensusevent.Event) {
	n := s.nodes[name]
	next, acts := n.consensus.Step(n.now, ev)
	n.consensus = next
	for _, a := range acts {
		s.execute(name, n, a)
	}
}

func (s *simulation) execute(name string, n *node, a dragonflyconsensusaction.Action) {
	switch a.Kind {
	case dragonflyconsensusaction.Persist:
		n.queue = append(n.queue, a)
	case dragonflyconsensusaction.Send:
		if a.Message.Kind == dragonflyconsensusmessage.VoteReply && a.Message.Granted {
			v := vote{a.Message.Term, a.Message.To}
			s.votes[v] = append(s.votes[v], name)
		}
		if !s.isolated[name] && !s.isolated[a.Message.To] {
			s.network = append(s.network, a.Message)
		}
	case dragonflyconsensusaction.Apply:
		if a.Entry.Index != n.index+1 {
			s.violations = append(s.violations, fmt.Sprintf("%s applies entry %d after %d", name, a.Entry.Index, n.index))
		}
		n.index = a.Entry.Index
		n.applied = append(slices.Clone(n.applied), a.Entry.Change.ID)
		if first, ok := s.history[a.Entry.Index]; ok && first != a.Entry.Change.ID {
			s.violations = append(s.violations, fmt.Sprintf("entry %d is %q at %s and %q elsewhere", a.Entry.Index, a.Entry.Change.ID, name, first))
		}
		s.history[a.Entry.Index] = a.Entry.Change.ID
		if n.consensus.Leading() && !s.syncedByMajority(a.Entry, n.consensus.MemberSet()) {
			s.violations = append(s.violations, fmt.Sprintf("%s commits entry %d, which no quorum has synced", name, a.Entry.Index))
		}
		if a.Request != 0 {
			s.acked[a.Entry.Change.ID] = true
		}
	case dragonflyconsensusaction.Restore:
		n.restore(a.Snapshot)
	case dragonflyconsensusaction.Abandon:
		s.abandoned++
	case dragonflyconsensusaction.Outdated:
		s.outdated++
	case dragonflyconsensusaction.Lead:
		if other, ok := s.leaders[a.Term]; ok {
			s.violations = append(s.violations, fmt.Sprintf("%s and %s lead in term %d", other, name, a.Term))
		}
		s.leaders[a.Term] = name
		voters := append(s.votes[vote{a.Term, name}], name)
		if !n.consensus.MemberSet().HasMajority(func(m string) bool { return slices.Contains(voters, m) }) {
			s.violations = append(s.violations, fmt.Sprintf("%s leads in term %d by the votes of %v, no majority of %v", name, a.Term, voters, n.consensus.Members()))
		}
	}
}

func (n *node) restore(s dragonflysnapshot.Snapshot) {
	n.index, n.applied = s.Index, nil
	for _, h := range s.State.History {
		n.applied = append(n.applied, h.ChangeID)
	}
}

// sync makes the first count queued writes of the named instance durable, or fails if its
// disk is full. It does nothing if the disk is stalled.
func (s *simulation) sync(name string, count int) {
	n := s.nodes[name]
	count = min(count, len(n.queue))
	if count == 0 || s.stalled == name {
		return
	}
	if s.full == name {
		s.step(name, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.PersistFailed})
		return
	}
	for _, a := range n.queue[:count] {
		if a.Optional && s.scarce {
			continue
		}
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
	s.step(name, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Persisted, Sequence: last})
}

// restart restarts the named instance, which loses its unsynced writes.
func (s *simulation) restart(name string) {
	n := s.nodes[name]
	n.queue = nil
	n.consensus = dragonflyconsensus.New(name, n.members).WithZone(n.zone).Restored(n.snapshot, n.records)
	if s.membersMayChange {
		n.consensus = n.consensus.WithMemberChanges()
	}
	n.restore(n.snapshot)
}

func (s *simulation) propose(name string) {
	s.request++
	s.step(name, dragonflyconsensusevent.Event{
		Kind: dragonflyconsensusevent.Propose, Request: s.request,
		Change: dragonflychange.Change{ID: fmt.Sprint("c", s.request), Kind: dragonflychange.SetZone},
	})
}

func (s *simulation) tick(name string, d dragonflyduration.Duration, seed uint64) {
	s.nodes[name].now = s.nodes[name].now.Add(d)
	s.step(name, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Tick, Seed: seed})
}

func (s *simulation) compact(name string) {
	n := s.nodes[name]
	s.step(name, dragonflyconsensusevent.Event{
		Kind:     dragonflyconsensusevent.Compact,
		Snapshot: dragonflysnapshot.Snapshot{Index: n.index, State: stateOf(n.applied)},
	})
}

func (s *simulation) deliver(i int) {
	m := s.network[i]
	s.network = slices.Delete(s.network, i, i+1)
	if !s.isolated[m.To] {
		s.step(m.To, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Received, Message: m})
	}
}

// settle runs the given number of rounds of 50 ms. In each of them all writes are
// synced and all messages arrive, except those of isolated instances.
func (s *simulation) settle(rounds int) {
	for range rounds {
		s.round++
		for i, name := range s.names {
			s.tick(name, 50*dragonflyduration.Millisecond, uint64(s.round*7919+i*104729)*2654435761)
		}
		for sent := 0; len(s.network) > 0; sent++ {
			if sent > 10_000 {
				s.violations = append(s.violations, "the instances do not stop sending messages")
				return
			}
			for _, name := range s.names {
				s.sync(name, len(s.nodes[name].queue))
			}
			s.deliver(0)
		}
		for _, name := range s.names {
			s.sync(name, len(s.nodes[name].queue))
		}
	}
}

// leader returns the leader of the highest term, "" if there is none.
func (s *simulation) leader() string {
	best, term := "", uint64(0)
	for _, name := range s.names {
		if c := s.nodes[name].consensus; c.Leading() && c.Term() > term {
			best, term = name, c.Term()
		}
	}
	return best
}

// check returns the violations found so far, and those of the settled state.
func (s *simulation) check() []string {
	violations := s.violations
	first := s.nodes[s.names[0]]
	for _, name := range s.names[1:] {
		if !slices.Equal(s.nodes[name].applied, first.applied) {
			violations = append(violations, fmt.Sprintf("%s applied %v, %s applied %v", name, s.nodes[name].applied, s.names[0], first.applied))
		}
	}
	for id := range s.acked {
		if !slices.Contains(first.applied, id) {
			violations = append(violations, "acknowledged change lost: "+id)
		}
	}
	return violations
}

func stateOf(ids []string) (s dragonflyclusterstate.State) {
	for _, id := range ids {
		s.History = append(s.History, dragonflyhistory.Entry{ChangeID: id})
	}
	return s
}

// assertSound asserts that logs have not diverged, that no acknowledged change is
// lost, and that no term has two leaders.
func assertSound(s *simulation) { So(s.check(), ShouldBeEmpty) }

func TestConsensus(t *testing.T) {
	Convey("A single instance becomes leader after its first tick and commits entries once they are synced", t, func() {
		s := newSimulation(1)
		s.tick("n0", 1, 1)
		So(s.nodes["n0"].consensus.Leading(), ShouldBeFalse)
		s.sync("n0", 9)
		So(s.nodes["n0"].consensus.Leading(), ShouldBeTrue)
		s.propose("n0")
		So(s.acked["c1"], ShouldBeFalse)
		s.sync("n0", 9)
		So(s.acked["c1"], ShouldBeTrue)
	})
	Convey("A leader killed between append and reply loses no acknowledged change", t, func() {
		s := newSimulation(3)
		s.settle(60)
		old := s.leader()
		s.propose(old)
		s.sync(old, 9)
		s.restart(old)
		s.settle(60)
		s.propose(s.leader())
		s.settle(10)
		So(s.acked["c2"], ShouldBeTrue)
		assertSound(s)
	})
	Convey("An isolated leader steps down within its election timeout and abandons its proposals", t, func() {
		s := newSimulation(3)
		s.settle(60)
		old := s.leader()
		s.isolated[old] = true
		s.propose(old)
		s.settle(25)
		So(s.nodes[old].consensus.Leading(), ShouldBeFalse)
		So(s.abandoned, ShouldEqual, 1)
		So(s.leader(), ShouldNotEqual, old)
		So(s.leader(), ShouldNotBeEmpty)
		s.isolated[old] = false
		s.settle(40)
		assertSound(s)
	})
	Convey("A reconnected instance does not disturb the leader, because of the pre-vote", t, func() {
		s := newSimulation(3)
		s.settle(60)
		leader := s.leader()
		term := s.nodes[leader].consensus.Term()
		other := s.names[(slices.Index(s.names, leader)+1)%3]
		s.isolated[other] = true
		s.settle(100)
		s.isolated[other] = false
		s.settle(40)
		So(s.leader(), ShouldEqual, leader)
		So(s.nodes[leader].consensus.Term(), ShouldEqual, term)
	})
	Convey("A leader that resigns is replaced by another instance within 200 ms", t, func() {
		s := newSimulation(3)
		s.settle(60)
		old := s.leader()
		s.propose(old)
		s.settle(2)
		s.step(old, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Resign})
		s.settle(4)
		So(s.leader(), ShouldNotBeEmpty)
		So(s.leader(), ShouldNotEqual, old)
		s.settle(10)
		assertSound(s)
	})
	Convey("An instance that lacks compacted entries receives the snapshot", t, func() {
		s := newSimulation(3)
		s.settle(60)
		leader := s.leader()
		other := s.names[(slices.Index(s.names, leader)+1)%3]
		s.isolated[other] = true
		for range 20 {
			s.propose(leader)
			s.settle(1)
		}
		s.settle(3)
		s.compact(leader)
		So(s.nodes[leader].consensus.LogLength(), ShouldEqual, 0)
		s.isolated[other] = false
		s.settle(60)
		So(s.nodes[other].consensus.Snapshot().Index, ShouldEqual, s.nodes[leader].consensus.Snapshot().Index)
		assertSound(s)
	})
	Convey("An instance that lost its disk receives snapshot and log again from the same leader", t, func() {
		s := newSimulation(3)
		s.settle(60)
		leader := s.leader()
		s.propose(leader)
		s.settle(10)
		s.compact(leader)
		other := s.nodes[s.names[(slices.Index(s.names, leader)+1)%3]]
		other.records, other.durable = nil, map[uint64]uint64{}
		s.restart(other.consensus.Self())
		s.settle(20)
		So(s.leader(), ShouldEqual, leader)
		assertSound(s)
	})
	Convey("A leader whose disk fails writes steps down and acknowledges nothing", t, func() {
		s := newSimulation(1)
		s.tick("n0", 1, 1)
		s.sync("n0", 9)
		s.propose("n0")
		s.step("n0", dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.PersistFailed})
		So(s.nodes["n0"].consensus.Leading(), ShouldBeFalse)
		So(s.abandoned, ShouldEqual, 1)
		So(s.acked, ShouldBeEmpty)
	})
}
