package dragonflyconsensus_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyconsensus"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// stallRounds is the time within which another instance leads instead of one whose disk
// does not answer: dragonflyconsensus.MaxWriteTime and 200 ms, in rounds of 50 ms.
const stallRounds = 64

// heartbeatRounds is dragonflyconsensus.HeartbeatInterval and the round that it ends in, in
// rounds of 50 ms.
const heartbeatRounds = 4

// assertAcknowledged asserts that a change is acknowledged at the leader within 100 ms.
func assertAcknowledged(s *simulation) {
	So(s.leader(), ShouldNotBeEmpty)
	s.propose(s.leader())
	s.settle(2)
	So(s.acked[fmt.Sprint("c", s.request)], ShouldBeTrue)
}

// newStalled returns instances whose leader has the given number of writes that its disk
// does not answer.
func newStalled(writes int) (s *simulation, leader string) {
	s = newSimulation(3)
	s.settle(60)
	leader = s.leader()
	s.stalled = leader
	for range writes {
		s.propose(leader)
	}
	return s, leader
}

// TestStalledDiskOfLeader guards against a leader that refuses all changes, while all
// processes run, because its disk neither carries out nor refuses a write.
func TestStalledDiskOfLeader(t *testing.T) {
	for _, writes := range []int{1, dragonflyconsensus.MaxUnsyncedWrites} {
		Convey(fmt.Sprintf("Given a leader whose disk does not answer %d writes", writes), t, func() {
			s, old := newStalled(writes)

			Convey("another instance leads in time and acknowledges changes, as long as the disk does not answer", func() {
				s.settle(stallRounds)
				So(s.leader(), ShouldNotEqual, old)
				So(s.nodes[old].consensus.DiskFailing(), ShouldBeTrue)
				for range 10 {
					assertAcknowledged(s)
					s.settle(200)
				}
				So(s.leader(), ShouldNotEqual, old)
			})
			Convey("changes are acknowledged after the disk answers again, and nothing is lost", func() {
				s.settle(2 * stallRounds)
				s.stalled = ""
				s.settle(20)
				assertAcknowledged(s)
				So(s.nodes[old].consensus.DiskFailing(), ShouldBeFalse)
				s.settle(20)
				assertSound(s)
			})
		})
		Convey(fmt.Sprintf("A leader keeps leading after a stall of 1 s with %d writes", writes), t, func() {
			s, old := newStalled(writes)
			s.settle(20)
			s.stalled = ""
			s.settle(20)
			So(s.leader(), ShouldEqual, old)
			assertAcknowledged(s)
			s.settle(heartbeatRounds) // The others apply the change at the next heartbeat.
			assertSound(s)
		})
	}
	Convey("A leader whose disk answers each write late keeps leading", t, func() {
		s := newSimulation(3)
		s.settle(60)
		old := s.leader()
		for range 100 {
			s.stalled = old
			s.propose(old)
			s.propose(old)
			s.settle(20)
			s.stalled = ""
			s.sync(old, 1)
		}
		So(s.leader(), ShouldEqual, old)
		s.settle(20)
		assertSound(s)
	})
	Convey("A leader that has stood still during a write keeps leading", t, func() {
		s := newSimulation(1)
		s.settle(60)
		s.stalled = "n0"
		s.propose("n0")
		s.tick("n0", 10*dragonflyconsensus.MaxWriteTime, 1)
		So(s.nodes["n0"].consensus.Leading(), ShouldBeTrue)
		s.tick("n0", 1, 1)
		So(s.nodes["n0"].consensus.Leading(), ShouldBeTrue)
	})
	Convey("A single instance abandons its proposals, and leads again once its disk answers", t, func() {
		s := newSimulation(1)
		s.settle(60)
		s.stalled = "n0"
		s.propose("n0")
		s.settle(stallRounds)
		So(s.leader(), ShouldBeEmpty)
		So(s.abandoned, ShouldEqual, 1)
		s.stalled = ""
		s.settle(40)
		assertAcknowledged(s)
	})
}

// TestStalledFollower guards against an instance that does not know the leader any more
// because its disk does not answer: it refuses the changes of its callers instead of
// passing them on.
func TestStalledFollower(t *testing.T) {
	Convey("An instance with more unsynced writes than allowed follows the next leader too", t, func() {
		s, old := newStalled(dragonflyconsensus.MaxUnsyncedWrites)
		s.settle(stallRounds + 20)
		So(s.leader(), ShouldNotEqual, old)
		So(s.nodes[old].consensus.Leader(), ShouldEqual, s.leader())
	})
}

// TestStalledDisksRandom guards against changes that are not acknowledged in time while
// and after the disks of the instances stall one after another, and against their loss.
func TestStalledDisksRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(3)
		if rapid.Bool().Draw(t, "members change") {
			s = newSimulationWithMemberChanges()
		}
		steps := rapid.IntRange(50, 400).Draw(t, "steps")
		manyAt := rapid.IntRange(0, 40*steps).Draw(t, "step with many changes") // Most cases have none: they take long.
		for step := range steps {
			switch kind := rapid.IntRange(0, 99).Draw(t, "stall"); {
			case kind < 4:
				s.stalled = rapid.SampledFrom(s.names).Draw(t, "stalled")
			case kind < 6:
				s.stalled = ""
			case step == manyAt && s.leader() != "":
				for range dragonflyconsensus.MaxUnsyncedWrites + 10 {
					s.propose(s.leader())
				}
				s.settle(1)
			case kind < 11:
				s.settle(rapid.SampledFrom([]int{1, 10, 40, 80}).Draw(t, "rounds"))
			case kind < 13:
				s.requireAck(t)
			default:
				s.executeRandom(t)
			}
			if len(s.violations) > 0 {
				t.Fatal(s.violations)
			}
		}
		s.stalled = ""
		s.requireAck(t)
		s.settle(60) // Longer than SnapshotResendInterval.
		if violations := s.check(); len(violations) > 0 {
			t.Fatal(violations)
		}
	})
}
