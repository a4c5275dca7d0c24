package dragonflyfleet_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyfleet"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	. "github.com/smartystreets/goconvey/convey"
)

// newLateLeader returns a simulation whose engines load the weights for their first groups, and
// whose leader handles only the report of one of them in the time after that, again and again,
// each after it has waited for late.
func newLateLeader(late dragonflyduration.Duration) *simulation {
	s := newSimulation(4)
	for _, e := range s.engines {
		e.loading = true
	}
	s.advance(4 * second)
	for range int(dragonflyfleet.HeadLostAfter/second) + 2 {
		for range 10 {
			s.now = s.now.Add(second / 10)
			s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Tick})
		}
		s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Observed, Observation: agentReport(s.engines[0]), ArrivedAt: s.now.Add(-late)})
	}
	return s
}

// assertEnded checks how many groups have been ended.
func assertEnded(s *simulation, n int) {
	ended := 0
	for _, o := range s.occurrences {
		if o.Event == "group-ended" || o.Event == "group-ending" {
			ended++
		}
	}
	So(ended, ShouldEqual, n)
}

// TestLateLeader guards against a leader that handles reports late and takes the engines whose
// reports wait for lost ones: it ends their groups, and has more reports to handle.
func TestLateLeader(t *testing.T) {
	Convey("The groups of engines whose reports wait are kept", t, func() {
		assertEnded(newLateLeader(2*second), 0)
	})
	Convey("The groups of engines that are silent while the leader is not late are ended", t, func() {
		assertEnded(newLateLeader(second/2), 2)
	})
	Convey("Lateness is recorded at most once a second", t, func() {
		n := 0
		for _, o := range newLateLeader(2 * second).occurrences {
			if o.Event == "control-late" {
				n++
			}
		}
		So(n, ShouldBeBetweenOrEqual, 1, int(dragonflyfleet.HeadLostAfter/second)+2)
	})
}
