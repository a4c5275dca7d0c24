package dragonflyconsensus_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestDiskLostBesideSilentMember guards against a deployment that never elects a leader
// again: a member that is only cut off is removed in the moment in which another one loses
// its disk, so that the leader's log has members whose quorum includes the lost one.
func TestDiskLostBesideSilentMember(t *testing.T) {
	Convey("The leader and the member that was cut off elect a leader after the cut", t, func() {
		for rounds := 1; rounds < 60; rounds++ { // 3 s, beyond ReplaceAfter
			s := newSimulationWithMemberChanges()
			s.settle(60)
			So(s.leader(), ShouldEqual, "n0")
			s.add("m9")
			s.isolated["n2"] = true
			s.joinFor(rounds, "m9")
			So(s.nodes["n0"].consensus.MemberSet().Names(), ShouldHaveLength, 3)
			s.wipe("n1")
			s.settleJoining(10)
			clear(s.isolated)
			s.settleJoining(160)
			So(s.leader(), ShouldNotBeEmpty)
			So(s.checkMembers(), ShouldBeEmpty)
		}
	})
}
