package dragonflyconsensus_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyconsensus"
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	. "github.com/smartystreets/goconvey/convey"
)

// leave lets the leader handle the request of the named instance to be replaced.
func (s *simulation) leave(name string) {
	s.step(s.leader(), dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Leaving, Name: name})
}

// end stops the named instance for good.
func (s *simulation) end(name string) {
	s.remove(name)
	s.nodes[name].consensus = dragonflyconsensus.Consensus{}
	s.nodes[name].queue = nil
}

// assertBearsDiskLoss asserts that the deployment acknowledges a change after the named
// instance has lost its disk.
func assertBearsDiskLoss(s *simulation, name string) {
	s.wipe(name)
	s.settleJoining(100)
	So(s.leader(), ShouldNotBeEmpty)
	s.propose(s.leader())
	s.settleJoining(20)
	So(s.acked["c1"], ShouldBeTrue)
	So(s.checkMembers(), ShouldBeEmpty)
}

// TestDiskLostAfterPlannedStop guards against a deployment that never elects a leader again
// because a member that has stopped keeps its seat beside an instance that could take it.
func TestDiskLostAfterPlannedStop(t *testing.T) {
	newWithSpare := func() *simulation {
		s := newSimulationWithMemberChanges()
		s.add("m0")
		s.joinFor(20, "m0")
		return s
	}
	Convey("A follower stops", t, func() {
		s := newWithSpare()
		stopped := otherThan(s, s.leader())
		s.leave(stopped)
		s.settle(2)
		So(s.nodes[s.leader()].consensus.Retains(stopped), ShouldBeFalse)
		s.end(stopped)
		assertBearsDiskLoss(s, otherThan(s, s.leader()))
	})
	Convey("The leader stops", t, func() {
		s := newWithSpare()
		stopped := s.leader()
		s.leave(stopped)
		So(s.nodes[stopped].consensus.Retains(stopped), ShouldBeTrue)
		s.settle(10)
		So(s.nodes[stopped].consensus.IsMember(), ShouldBeFalse)
		So(s.nodes[stopped].consensus.Leading(), ShouldBeFalse)
		So(s.leader(), ShouldNotBeEmpty)
		s.end(stopped)
		assertBearsDiskLoss(s, s.leader())
	})
	Convey("A member stops while the instance that takes its place is not ready yet", t, func() {
		s := newSimulationWithMemberChanges()
		stopped := otherThan(s, s.leader())
		s.leave(stopped)
		s.end(stopped)
		s.add("m0")
		s.joinFor(4, "m0")
		So(s.nodes["m0"].consensus.IsMember(), ShouldBeTrue)
		So(s.nodes[s.leader()].consensus.Members(), ShouldNotContain, stopped)
	})
	Convey("A member that has started again keeps its seat", t, func() {
		s := newSimulationWithMemberChanges()
		stopped := otherThan(s, s.leader())
		s.leave(stopped)
		s.settle(40)
		s.add("m0")
		s.joinFor(40, "m0")
		So(s.nodes[s.leader()].consensus.Members(), ShouldResemble, []string{"n0", "n1", "n2"})
	})
	Convey("No learner is awaited long after the leader was elected", t, func() {
		s := newSimulationWithMemberChanges()
		s.settle(40)
		leader := s.nodes[s.leader()]
		So(leader.consensus.AwaitsLearners(leader.now), ShouldBeFalse)
		s.add("m0")
		s.joinFor(4, "m0")
		So(leader.consensus.AwaitsLearners(leader.now), ShouldBeTrue)
	})
}
