package dragonflyfleet_test

import (
	"math/rand"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	. "github.com/smartystreets/goconvey/convey"
)

// TestReturnsOfLateEngines guards against requests that entries refuse at once after a full
// outage, because the estimate counts on loads from the store while hosts that hold the weights
// have not reported yet.
func TestReturnsOfLateEngines(t *testing.T) {
	// assertNoLoads plays the time until groups are formed of all hosts, in which the heartbeat
	// of engine i first arrives after found(i), and checks the estimates.
	assertNoLoads := func(found func(i int) dragonflyduration.Duration) {
		s := newOutage()
		began, worst, missing := s.now, dragonflyduration.Duration(0), 0
		for s.now.Sub(began) < 14*second/10 {
			for i, e := range s.engines {
				e.beatsLost = s.now.Sub(began)+second/10 < found(i)
			}
			s.advance(second / 10)
			all := s.fleet.Returns(s.now)
			missing += 2 - len(all)
			for _, r := range all {
				worst = max(worst, r.In)
			}
		}
		So(missing, ShouldEqual, 0)
		So(worst, ShouldBeLessThan, 4*second)
		s.advance(second)
		assertOutageGroups(s)
	}
	Convey("Engines that report in any order over 0.8 s", t, func() {
		order := rand.New(rand.NewSource(1)).Perm(81)
		assertNoLoads(func(i int) dragonflyduration.Duration { return dragonflyduration.Duration(order[i]) * second / 100 })
	})
	Convey("Two hosts of each domain that report after 1 s", t, func() {
		assertNoLoads(func(i int) dragonflyduration.Duration {
			if i%27 < 2 {
				return second
			}
			return 0
		})
	})
}
