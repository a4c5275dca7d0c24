package dragonflyconsensus_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestLastRound guards against an election without a result whose log does not tell which
// members granted the vote, which refused it and why, and which did not answer.
func TestLastRound(t *testing.T) {
	Convey("A candidate whose log lacks entries", t, func() {
		s := newSimulation(3)
		s.settle(60)
		leader := s.leader()
		behind := otherThan(s, leader)
		s.isolated[behind] = true
		s.propose(leader)
		s.settle(5)
		s.settle(60)
		s.isolated[leader], s.isolated[behind] = true, false
		s.settle(20)
		round := s.nodes[behind].consensus.LastRound()
		So(round.Granted, ShouldResemble, []string{behind})
		So(round.Refused, ShouldResemble, []string{s.leader() + ": log-behind"})
	})
	Convey("A candidate that nobody answers", t, func() {
		s := newSimulation(3)
		s.settle(60)
		for _, name := range s.names {
			s.isolated[name] = true
		}
		s.settle(100)
		round := s.nodes["n0"].consensus.LastRound()
		So(round.Granted, ShouldResemble, []string{"n0"})
		So(round.Refused, ShouldBeEmpty)
	})
}
