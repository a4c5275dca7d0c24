package dragonflyconsensus_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyconsensus"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyconsensusaction"
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	. "github.com/smartystreets/goconvey/convey"
)

// settleUntilCompleting delivers messages in order until the named instance has appended the
// entry that completes a change of the members.
func (s *simulation) settleUntilCompleting(name string) {
	for changing := false; ; {
		set := s.nodes[name].consensus.MemberSet()
		if changing && !set.Changing() {
			return
		}
		changing = changing || set.Changing()
		for _, n := range s.names {
			s.sync(n, len(s.nodes[n].queue))
		}
		s.deliver(0)
	}
}

// killAll kills all instances, and starts them again.
func (s *simulation) killAll() {
	s.network = nil
	for _, name := range s.names {
		s.restart(name)
	}
}

// TestReplacedMemberWithLongestLog guards against a deployment that never elects a leader
// again, because the instance with the longest log is not a member in that log: it refuses its
// vote to the others, and does not stand for election itself.
func TestReplacedMemberWithLongestLog(t *testing.T) {
	Convey("A leader that is replaced is killed after it has synced the end of the change", t, func() {
		s := newSimulationWithMemberChanges()
		s.add("m0")
		s.joinFor(20, "m0")
		replaced := s.leader()
		lost := otherThan(s, replaced)
		s.leave(replaced)
		s.settleUntilCompleting(replaced)
		s.sync(replaced, 9)
		s.killAll()
		assertBearsDiskLoss(s, lost)
	})
	Convey("A leader loses its disk after only the replaced member has the end of the change", t, func() {
		s := newSimulationWithMemberChanges()
		s.add("m0")
		s.joinFor(20, "m0")
		leader := s.leader()
		replaced := otherThan(s, leader)
		s.leave(replaced)
		s.settleUntilCompleting(leader)
		for len(s.network) > 0 {
			if m := s.network[0]; m.To != replaced {
				s.network = s.network[1:]
				continue
			}
			s.deliver(0)
		}
		s.sync(replaced, 9)
		s.killAll()
		assertBearsDiskLoss(s, leader)
	})
}

// TestLearnerWithLongestLog guards against a deployment that never elects a leader again,
// because the instance with the longest log is not a member in that log, and a member counts on
// its vote.
func TestLearnerWithLongestLog(t *testing.T) {
	Convey("A leader loses its disk after only a learner has the entry that opens its term", t, func() {
		s := newSimulationWithMemberChanges()
		s.add("m0")
		s.joinFor(20, "m0")
		first := s.leader()
		others := except(s.names, first, "m0")
		replaced, second := others[0], others[1]
		s.leave(replaced)
		So(s.nodes[first].consensus.MemberSet().Changing(), ShouldBeTrue)
		s.sync(first, 9)
		s.killAll()
		s.isolated[first] = true
		for i := 0; i < 100 && !s.nodes[second].consensus.Leading(); i++ {
			s.tick(second, 50*dragonflyduration.Millisecond, uint64(i))
			s.exchange(second, replaced)
		}
		So(s.nodes[second].consensus.Leading(), ShouldBeTrue)
		s.network = nil
		s.step(second, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Joined, Name: "m0"})
		s.tick(second, dragonflyconsensus.HeartbeatInterval, 1)
		s.exchange(second, "m0")
		So(s.nodes["m0"].consensus.LastIndex(), ShouldEqual, s.nodes[second].consensus.LastIndex())
		So(s.nodes[replaced].consensus.LastIndex(), ShouldBeLessThan, s.nodes["m0"].consensus.LastIndex())
		delete(s.isolated, first)
		s.killAll()
		assertBearsDiskLoss(s, second)
	})
}

// exchange syncs the writes and delivers the messages of two instances until one of them leads
// for the first time or no message is left. All other messages are lost.
func (s *simulation) exchange(a, b string) {
	led := s.leader()
	for {
		s.sync(a, len(s.nodes[a].queue))
		s.sync(b, len(s.nodes[b].queue))
		if len(s.network) == 0 || s.leader() != led {
			return
		}
		if m := s.network[0]; m.To != a && m.To != b {
			s.network = s.network[1:]
			continue
		}
		s.deliver(0)
	}
}

// TestSlowDeparture guards against a member that stops and keeps its seat, beside an instance
// that could take it, because it has waited for that instance before it stopped.
func TestSlowDeparture(t *testing.T) {
	Convey("A member stops after it has waited 1.5 s for an instance that is not ready", t, func() {
		s := newSimulationWithMemberChanges()
		stopped := otherThan(s, s.leader())
		s.add("m0")
		s.stalled = "m0"
		s.joinFor(4, "m0")
		s.leave(stopped)
		s.joinFor(30, "m0")
		s.end(stopped)
		s.stalled = ""
		s.joinFor(10, "m0")
		So(s.nodes[s.leader()].consensus.Members(), ShouldNotContain, stopped)
	})
}

// TestReadAtReplacedLeader guards against a read of an old configuration at a leader that is
// replaced by the only member.
func TestReadAtReplacedLeader(t *testing.T) {
	Convey("A leader without a vote does not confirm its own leadership", t, func() {
		s := newSimulation(1)
		s.membersMayChange = true
		s.nodes["n0"].consensus = s.nodes["n0"].consensus.WithMemberChanges()
		s.settle(10)
		s.add("m0")
		s.joinFor(10, "m0")
		s.leave("n0")
		s.settleUntilCompleting("n0")
		s.isolated["n0"] = true
		n := s.nodes["n0"]
		n.now = n.now.Add(100 * dragonflyduration.Millisecond)
		_, acts := n.consensus.Step(n.now, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Tick, Seed: 1})
		So(n.consensus.IsMember(), ShouldBeFalse)
		for _, a := range acts {
			So(a.Kind, ShouldNotEqual, dragonflyconsensusaction.Confirm)
		}
	})
}
