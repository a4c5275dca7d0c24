package dragonflyconsensus_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// ackRounds is the time within which a change is acknowledged while one disk is full and
// nothing else fails, in rounds of 50 ms: 4 s.
const ackRounds = 80

// TestFullDisksRandom guards against a loss of acknowledged changes, and against changes
// that are not acknowledged in time, while the disks of the instances are full one after
// another. Instances restart, also between the two files that a snapshot replaces, and
// are cut off meanwhile.
func TestFullDisksRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(3)
		if rapid.Bool().Draw(t, "members change") {
			s = newSimulationWithMemberChanges()
		}
		for range rapid.IntRange(50, 600).Draw(t, "steps") {
			s.executeRandomWithFullDisks(t)
			if len(s.violations) > 0 {
				t.Fatal(s.violations)
			}
		}
		s.full = ""
		s.requireAck(t)
		s.settle(60) // Longer than SnapshotResendInterval.
		if violations := s.check(); len(violations) > 0 {
			t.Fatal(violations)
		}
	})
}

func (s *simulation) executeRandomWithFullDisks(t *rapid.T) {
	name := rapid.SampledFrom(s.names).Draw(t, "disk")
	switch kind := rapid.IntRange(0, 103).Draw(t, "disk kind"); {
	case kind >= 100:
		s.scarce = !s.scarce
	case kind < 6:
		s.full = name
	case kind < 9:
		s.full = ""
	case kind < 14:
		s.restartWithinReplace(name)
	case kind < 17:
		s.restart(name)
	case kind < 22 && s.nodes[name].index > 0:
		s.compact(name)
	case kind < 30:
		s.settle(rapid.SampledFrom([]int{1, 2, 10, 40}).Draw(t, "rounds"))
	case kind < 32:
		s.requireAck(t)
	case kind < 40 && s.leader() != "":
		s.propose(s.leader())
		s.settle(1)
	default:
		s.executeRandom(t)
	}
}

// requireAck fails unless a change is acknowledged within ackRounds while the links are
// up. The operator tries again while there is no leader.
func (s *simulation) requireAck(t *rapid.T) {
	clear(s.isolated)
	for range ackRounds {
		s.settle(1)
		if leader := s.leader(); leader != "" {
			s.propose(leader)
			s.settle(1)
			if s.acked[fmt.Sprint("c", s.request)] {
				return
			}
		}
	}
	t.Fatalf("no change is acknowledged within %d rounds, disk of %q full", ackRounds, s.full)
}

// restartWithinReplace restarts the named instance. If its next write replaces the
// snapshot and the log, the snapshot is stored and the log is not.
func (s *simulation) restartWithinReplace(name string) {
	n := s.nodes[name]
	if len(n.queue) == 0 || !n.queue[0].HasSnapshot {
		return
	}
	n.snapshot = n.queue[0].Snapshot
	s.restart(name)
	n.durable = map[uint64]uint64{}
	for i := n.snapshot.Index + 1; i <= n.consensus.LastIndex(); i++ {
		e, _ := n.consensus.Entry(i)
		n.durable[i] = e.Term
	}
}

// TestFullDisksAndMembersRandom guards against the loss of acknowledged changes, and
// against changes that are refused after the last disk has room, while disks are full one
// after another beside instances that join, are replaced by empty ones and are cut off.
func TestFullDisksAndMembersRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulationWithMemberChanges()
		for range rapid.IntRange(50, 600).Draw(t, "steps") {
			name := rapid.SampledFrom(s.names).Draw(t, "disk")
			switch kind := rapid.IntRange(0, 99).Draw(t, "disk kind"); {
			case kind < 8:
				s.full = name
			case kind < 12:
				s.full = ""
			case kind < 17:
				s.restartWithinReplace(name)
			case kind < 20 && s.nodes[name].index > 0:
				s.compact(name)
			case kind < 26:
				s.settleJoining(rapid.SampledFrom([]int{1, 2, 10, 40}).Draw(t, "rounds"))
			case kind < 32 && s.leader() != "":
				s.propose(s.leader())
				s.settle(1)
			default:
				s.executeRandomWithMembers(t)
			}
			if len(s.violations) > 0 {
				t.Fatal(s.violations)
			}
		}
		s.full = ""
		clear(s.isolated)
		s.settleJoining(160)
		s.propose(s.leader())
		s.settleJoining(20)
		if violations := s.checkMembers(); len(violations) > 0 {
			t.Fatal(violations)
		}
		if !s.acked[fmt.Sprint("c", s.request)] {
			t.Fatal("the change proposed after the last disk has room is not acknowledged")
		}
	})
}
