package dragonflyfleet_test

import (
	"testing"

	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	. "github.com/smartystreets/goconvey/convey"
)

// highEpoch is the highest epoch that reports could name when control followed any of them.
const highEpoch = 1 << 52

// assertEpochsBelow checks that the groups of all engines have epochs below limit.
func assertEpochsBelow(s *simulation, limit uint64) {
	for _, e := range s.engines {
		So(e.obs.Group.Epoch, ShouldBeLessThan, limit)
	}
}

// TestEpochsOfOtherWriters guards against a heartbeat of another writer whose epoch raises those
// of all later groups, until no report of their engines is valid.
func TestEpochsOfOtherWriters(t *testing.T) {
	odd := dragonflyobservation.Observation{
		ID: "x1", Boot: 1, Sequence: 1, Service: "other", Address: "addr-x1", Zone: "a", State: dragonflyobservation.Ready,
		Group: dragonflyenginegroup.Group{Name: "a", Epoch: highEpoch, State: dragonflyenginegroup.Ready},
	}
	unknown := odd
	unknown.Service = "llm"
	outdated := unknown
	outdated.ID, outdated.Address, outdated.Boot = "a0", "addr-a0", 1
	for name, o := range map[string]dragonflyobservation.Observation{
		"of a service that the document does not name": odd,
		"of an engine without an agent":                unknown,
		"of an earlier start of an engine":             outdated,
	} {
		Convey("The groups that are formed after it have low epochs: "+name, t, func() {
			s := newSimulation(4)
			s.advance(8 * second)
			assertServing(s, 2)
			s.observe(o)
			s.firstHead().unreachable = true
			s.advance(8 * second)
			assertServing(s, 2)
			assertEpochsBelow(s, 1<<21)
			s.lead(2)
			s.advance(12 * second)
			assertServing(s, 2)
			assertEpochsBelow(s, 1<<22)
		})
	}
}

// TestEpochsOfEarlierRuns guards against engines that are lost for good because they have seen
// higher epochs than those of the present leader.
func TestEpochsOfEarlierRuns(t *testing.T) {
	Convey("Engines in a group of a high epoch join later ones", t, func() {
		s := newSimulation(4)
		for _, e := range s.engines {
			e.epoch = highEpoch + 1
			e.obs.Group = dragonflyenginegroup.Group{Name: "g10000000000001", Epoch: e.epoch, Rank: 9, State: dragonflyenginegroup.Ready}
		}
		s.advance(30 * second)
		assertServing(s, 2)
	})
	Convey("Engines that refuse the epochs of this leader and are in no group join later ones", t, func() {
		s := newSimulation(4)
		for _, e := range s.engines {
			e.epoch = highEpoch + 1
		}
		s.advance(30 * second)
		assertServing(s, 2)
		Convey("Those of the next leader as well", func() {
			s.engines[0].unreachable = true
			s.lead(2)
			s.advance(60 * second)
			assertServing(s, 2)
		})
	})
	Convey("An engine whose epoch cannot be followed is left out, the others serve", t, func() {
		s := newSimulation(4)
		odd := s.engines[0]
		odd.epoch = dragonflyenginegroup.MaxEpoch
		odd.obs.Group = dragonflyenginegroup.Group{Name: "x", Epoch: odd.epoch, Rank: 9, State: dragonflyenginegroup.Ready}
		s.advance(60 * second)
		assertServing(s, 2)
		for _, e := range s.engines[1:] {
			So(e.obs.Group.Epoch, ShouldBeLessThan, 1<<21)
		}
	})
}

// TestBootsOfOtherWriters guards against an upstream that cannot come back because another
// writer has named a later start of it.
func TestBootsOfOtherWriters(t *testing.T) {
	Convey("An upstream that signs off and starts again under its id serves", t, func() {
		s := newSimulation(0)
		sound := dragonflyobservation.Observation{
			ID: "p1", Boot: 2000, Sequence: 1, Service: "plain", Address: "p-addr", Zone: "a", State: dragonflyobservation.Ready,
		}
		odd := sound
		odd.Service, odd.Boot = "other", 9000
		s.observe(odd)
		s.observe(dragonflyobservation.Observation{ID: "p1", State: dragonflyobservation.Left})
		sound.Boot = 3000
		s.observe(sound)
		So(s.servingHeads(), ShouldResemble, []string{"p1"})
	})
}
