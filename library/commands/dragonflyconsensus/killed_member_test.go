package dragonflyconsensus_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestDiskLostRightAfterMemberKilled guards against a deployment that never elects a leader
// again although one member and a spare have the log: another member was killed for good, and
// the third one loses its disk before the silence of the first is noticed.
func TestDiskLostRightAfterMemberKilled(t *testing.T) {
	Convey("The member that is left and the spare elect a leader", t, func() {
		s := newSimulationWithMemberChanges()
		s.add("m0")
		s.joinFor(100, "m0")
		s.end(otherThan(s, s.leader()))
		assertBearsDiskLoss(s, otherThan(s, s.leader()))
	})
}

// TestDiskLostAfterMemberKilled guards against a member that is killed for good without a word
// and keeps its seat beside a spare for longer than ReplaceAfter.
func TestDiskLostAfterMemberKilled(t *testing.T) {
	Convey("The member that is left and the spare elect a leader", t, func() {
		s := newSimulationWithMemberChanges()
		s.add("m0")
		s.joinFor(100, "m0")
		s.end(otherThan(s, s.leader()))
		s.joinFor(28, "m0") // 1.4 s
		assertBearsDiskLoss(s, otherThan(s, s.leader()))
	})
}
