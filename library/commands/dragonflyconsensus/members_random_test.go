package dragonflyconsensus_test

import (
	"fmt"
	"slices"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyconsensus"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	"pgregory.net/rapid"
)

// maxAddedInstances bounds the instances that a random run adds to the first
// three, so that most of its operations meet instances that take part.
const maxAddedInstances = 3

// TestMembersRandom guards against a leader that is not a member, a change that is
// committed without a quorum of the members, and the loss of an acknowledged
// change while instances join, are replaced by empty ones, resign, restart and are
// cut off.
func TestMembersRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulationWithMemberChanges()
		for range rapid.IntRange(50, 800).Draw(t, "steps") {
			s.executeRandomWithMembers(t)
			if len(s.violations) > 0 {
				t.Fatal(s.violations)
			}
		}
		clear(s.isolated)
		s.settleJoining(160)
		if s.leader() == "" {
			t.Fatalf("no leader is elected after the end of the failures:%s", s.describe())
		}
		s.propose(s.leader())
		s.settleJoining(20)
		if violations := s.checkMembers(); len(violations) > 0 {
			t.Fatal(violations)
		}
		if !s.acked[fmt.Sprint("c", s.request)] {
			t.Fatal("the change proposed after the end of the failures is not acknowledged")
		}
	})
}

// executeRandomWithMembers executes one random operation of which some change the
// set of instances.
func (s *simulation) executeRandomWithMembers(t *rapid.T) {
	switch kind := rapid.IntRange(0, 19).Draw(t, "member kind"); {
	case kind < 2:
		s.joinAll()
	case kind < 3:
		if leader := s.leader(); leader != "" {
			s.step(leader, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Resign})
		}
	case kind < 4 && len(s.names) < 3+maxAddedInstances:
		s.add(fmt.Sprint("m", len(s.nodes)))
	case kind < 5 && s.bearsDiskLoss():
		s.wipe(rapid.SampledFrom(s.names).Draw(t, "wiped"))
	case kind < 6 && len(s.names) > 3:
		s.leaveAndEnd(rapid.SampledFrom(s.names).Draw(t, "leaving"))
	case kind < 7:
		s.settleJoining(rapid.SampledFrom([]int{1, 4, 30}).Draw(t, "rounds"))
	default:
		s.executeRandom(t)
	}
}

// leaveAndEnd lets the named instance ask to be replaced, and stops it for good if it is not
// needed any more. Another instance may lose its disk right after that.
func (s *simulation) leaveAndEnd(name string) {
	leader := s.leader()
	if leader == "" || s.isolated[leader] || s.isolated[name] || !s.bearsDiskLoss() {
		return
	}
	s.leave(name)
	s.settle(3)
	if s.leader() == leader && leader != name && !s.nodes[leader].consensus.Retains(name) {
		s.end(name)
	}
}

// joinAll sends join requests to the leader: those of the instances that are not
// members, and of those that know no leader, which may have been removed while they
// were cut off.
func (s *simulation) joinAll() {
	for _, name := range s.names {
		leader, c := s.leader(), s.nodes[name].consensus
		if leader == "" || s.isolated[leader] || s.isolated[name] || c.IsMember() && c.Leader() != "" {
			continue
		}
		s.step(leader, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Joined, Name: name})
	}
}

// settleJoining settles for the given number of rounds with join requests in each.
func (s *simulation) settleJoining(rounds int) {
	for range rounds {
		s.joinAll()
		s.settle(1)
	}
}

// bearsDiskLoss reports whether the deployment bears the loss of a disk now. It bears one at
// any moment, also while members change, are cut off or lag behind, as long as it has made up
// for the one before.
func (s *simulation) bearsDiskLoss() bool {
	if s.diskLost != "" && s.inSync() {
		s.diskLost = ""
	}
	return s.diskLost == ""
}

// inSync reports whether all members of the leader are alive, they and the instance that has
// lost its disk have synced everything that the leader has, and no change of the members is in
// progress.
func (s *simulation) inSync() bool {
	leader := s.leader()
	if leader == "" {
		return false
	}
	c := s.nodes[leader].consensus
	if c.MemberSet().Changing() {
		return false
	}
	for _, m := range append(slices.Clone(c.Members()), s.diskLost) {
		n := s.nodes[m]
		if !slices.Contains(s.names, m) || !slices.Equal(n.consensus.Members(), c.Members()) {
			return false
		}
		if len(n.queue) > 0 || n.consensus.LastIndex() != c.LastIndex() || n.consensus.Commit() != c.LastIndex() {
			return false
		}
	}
	return len(c.Members()) >= 3
}

// wipe replaces the named instance by one with an empty disk on the same host.
func (s *simulation) wipe(name string) {
	s.remove(name)
	s.nodes[name].consensus = dragonflyconsensus.Consensus{} // It takes no further part.
	s.nodes[name].queue = nil
	fresh := dragonflyconsensus.Incarnation(dragonflyconsensus.Host(name), fmt.Sprint(len(s.nodes)))
	s.add(fresh)
	s.diskLost = fresh
	s.nodes[fresh].now = s.nodes[name].now.Add(dragonflyduration.Second)
}

// describe returns a line for each instance that takes part.
func (s *simulation) describe() (lines string) {
	for _, name := range s.names {
		c := s.nodes[name].consensus
		lines += fmt.Sprintf("\n%s: term %d, index %d, members %v, outgoing %v, last round %v",
			name, c.Term(), c.LastIndex(), c.MemberSet().Names(), c.MemberSet().Outgoing(), c.LastRound())
	}
	return lines
}

// checkMembers returns the violations found so far, and those of the settled
// state of the members.
func (s *simulation) checkMembers() []string {
	leader := s.leader()
	if leader == "" {
		return append(s.violations, "no leader is elected after the end of the failures")
	}
	members := s.nodes[leader].consensus.Members()
	for _, m := range members {
		if !slices.Contains(s.names, m) {
			return append(s.violations, fmt.Sprintf("member %s is gone and not replaced: %v", m, members))
		}
	}
	s.names = members
	return s.check()
}
