package dragonflyconsensus_test

import (
	"slices"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyconsensus"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	"dragonflyrelay.example/library/values/dragonflyconsensusmessage"
	. "github.com/smartystreets/goconvey/convey"
)

// newSimulationWithMemberChanges returns three instances with an elected leader
// whose members may change.
func newSimulationWithMemberChanges() *simulation {
	s := newSimulation(3)
	s.membersMayChange = true
	for _, name := range s.names {
		s.nodes[name].consensus = s.nodes[name].consensus.WithMemberChanges()
	}
	s.settle(60)
	return s
}

// add starts an instance with an empty disk and no configured members.
func (s *simulation) add(name string) {
	s.names = append(s.names, name)
	consensus := dragonflyconsensus.New(name, nil).WithMemberChanges()
	s.nodes[name] = &node{consensus: consensus, now: s.nodes[s.names[0]].now, durable: map[uint64]uint64{}}
}

// remove stops an instance permanently.
func (s *simulation) remove(name string) {
	s.names = slices.DeleteFunc(slices.Clone(s.names), func(n string) bool { return n == name })
	s.isolated[name] = true
}

// joinFor runs the given number of rounds, in each of which the named instances
// ask to join.
func (s *simulation) joinFor(rounds int, names ...string) {
	for range rounds {
		for _, name := range names {
			s.step(s.leader(), dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Joined, Name: name})
		}
		s.settle(1)
	}
}

func assertMembers(s *simulation, want ...string) {
	for _, name := range s.names {
		So(s.nodes[name].consensus.Members(), ShouldResemble, want)
	}
}

func otherThan(s *simulation, leader string) string {
	for _, name := range s.names {
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
		s := newSimulationWithMemberChanges()
		s.propose(s.leader())
		s.settle(5)
		old := otherThan(s, s.leader())
		s.remove(old)
		fresh := dragonflyconsensus.Incarnation(old, "2")
		s.add(fresh)
		s.joinFor(40, fresh)
		So(s.nodes[fresh].consensus.IsMember(), ShouldBeTrue)
		So(s.nodes[fresh].consensus.Members(), ShouldNotContain, old)
		So(s.nodes[fresh].consensus.Members(), ShouldHaveLength, 3)
		assertSound(s)
	})
	Convey("An instance that lost its disk does not vote before it has the log", t, func() {
		s := newSimulationWithMemberChanges()
		old := otherThan(s, s.leader())
		s.remove(old)
		fresh := dragonflyconsensus.Incarnation(old, "2")
		s.add(fresh)
		s.isolated[s.leader()] = true
		s.settle(80)
		So(s.nodes[fresh].consensus.Leading(), ShouldBeFalse)
		for _, name := range s.names {
			So(!s.isolated[name] && s.nodes[name].consensus.Leading(), ShouldBeFalse)
		}
	})
	Convey("A new instance replaces a member that is gone", t, func() {
		s := newSimulationWithMemberChanges()
		gone := otherThan(s, s.leader())
		s.remove(gone)
		s.add("m0")
		s.joinFor(100, "m0")
		So(s.nodes["m0"].consensus.IsMember(), ShouldBeTrue)
		So(s.nodes["m0"].consensus.Members(), ShouldNotContain, gone)
		So(s.nodes["m0"].consensus.Members(), ShouldHaveLength, 3)
		s.propose(s.leader())
		s.settle(5)
		assertSound(s)
	})
	Convey("A fourth instance does not become a member while all three members are alive", t, func() {
		s := newSimulationWithMemberChanges()
		s.add("m0")
		s.joinFor(100, "m0")
		So(s.nodes["m0"].consensus.IsMember(), ShouldBeFalse)
		So(s.nodes["m0"].consensus.Commit(), ShouldEqual, s.nodes[s.leader()].consensus.Commit())
	})
	Convey("Five instances all become members", t, func() {
		s := newSimulationWithMemberChanges()
		s.add("m0")
		s.add("m1")
		s.joinFor(60, "m0", "m1")
		assertMembers(s, "m0", "m1", "n0", "n1", "n2")
		s.propose(s.leader())
		s.settle(5)
		assertSound(s)
	})
	Convey("Members are restored from a snapshot after a restart", t, func() {
		s := newSimulationWithMemberChanges()
		s.add("m0")
		s.add("m1")
		s.joinFor(60, "m0", "m1")
		leader := s.leader()
		s.propose(leader)
		s.settle(5)
		s.compact(leader)
		s.settle(2)
		n := s.nodes[leader]
		consensus := dragonflyconsensus.New(leader, nil).Restored(n.snapshot, n.records).WithMemberChanges()
		So(consensus.Members(), ShouldResemble, []string{"m0", "m1", "n0", "n1", "n2"})
	})
	Convey("A leader that resigns hands over to a member, not to a learner with the same log", t, func() {
		s := newSimulationWithMemberChanges()
		s.add("m0")
		s.joinFor(20, "m0")
		old := s.leader()
		s.step(old, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Resign})
		s.settle(4)
		So(s.nodes["m0"].consensus.Leading(), ShouldBeFalse)
		So(s.leader(), ShouldBeIn, "n0", "n1", "n2")
		So(s.leader(), ShouldNotEqual, old)
		s.propose(s.leader())
		s.joinFor(10, "m0")
		So(s.acked["c1"], ShouldBeTrue)
		assertSound(s)
	})
	Convey("A paused member is not replaced before ReplaceAfter", t, func() {
		s := newSimulationWithMemberChanges()
		paused := otherThan(s, s.leader())
		s.add("m0")
		s.joinFor(20, "m0")
		s.isolated[paused] = true
		rounds := int(dragonflyconsensus.ReplaceAfter/(50*dragonflyduration.Millisecond)) - 4
		s.joinFor(rounds, "m0")
		So(s.nodes[s.leader()].consensus.Members(), ShouldContain, paused)
	})
}

// TestSilentMembers guards against a change of the members that takes the time for which the
// leader stood still for the silence of a member, and against one that a member which was
// only cut off, or a spare that is lost, turns into the loss of the leader.
func TestSilentMembers(t *testing.T) {
	Convey("No member is replaced for the time for which the leader itself stood still", t, func() {
		s := newSimulationWithMemberChanges()
		s.add("m0")
		s.joinFor(20, "m0")
		leader := s.leader()
		n := s.nodes[leader]
		n.now = n.now.Add(4 * dragonflyduration.Second)
		// Replies of a quorum and of the spare were waiting, and are handled first.
		for _, name := range []string{otherThan(s, leader), "m0"} {
			s.step(leader, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Received, Message: dragonflyconsensusmessage.Message{
				Kind: dragonflyconsensusmessage.AppendReply, From: name, To: leader, Term: n.consensus.Term(),
				Granted: true, Index: n.consensus.LastIndex(),
			}})
		}
		s.tick(leader, 0, 1)
		So(n.consensus.Leading(), ShouldBeTrue)
		So(n.consensus.Members(), ShouldResemble, []string{"n0", "n1", "n2"})
		s.joinFor(20, "m0")
		So(n.consensus.Members(), ShouldResemble, []string{"n0", "n1", "n2"})
	})
	Convey("A replaced member that was only cut off returns without an election, and is no member", t, func() {
		s := newSimulationWithMemberChanges()
		s.add("m0")
		s.joinFor(20, "m0")
		leader := s.leader()
		cut := otherThan(s, leader)
		s.isolated[cut] = true
		s.joinFor(100, "m0")
		So(s.nodes[leader].consensus.Members(), ShouldNotContain, cut)
		term := s.nodes[leader].consensus.Term()
		delete(s.isolated, cut)
		s.settle(60)
		s.joinFor(40, cut)
		So(s.leader(), ShouldEqual, leader)
		So(s.nodes[leader].consensus.Term(), ShouldEqual, term)
		So(s.nodes[cut].consensus.IsMember(), ShouldBeFalse)
		s.propose(leader)
		s.settle(5)
		assertSound(s)
	})
	Convey("The loss of the spare while it replaces a member takes no quorum", t, func() {
		for rounds := 1; rounds < 60; rounds++ {
			s := newSimulationWithMemberChanges()
			s.add("m0")
			s.joinFor(20, "m0")
			s.isolated[otherThan(s, s.leader())] = true
			s.joinFor(rounds, "m0")
			s.isolated["m0"] = true
			s.settle(100)
			So(s.leader(), ShouldNotBeBlank)
			s.propose(s.leader())
			s.settle(5)
			So(s.acked["c1"], ShouldBeTrue)
			So(s.violations, ShouldBeEmpty)
		}
	})
}
