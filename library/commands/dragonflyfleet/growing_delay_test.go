package dragonflyfleet_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	. "github.com/smartystreets/goconvey/convey"
)

// TestGrowingDelay guards against a head that counts as crashed while it finishes streams, because
// its heartbeats arrive with a delay that grows, and those that say that it leaves are lost. By
// their arrival alone they are those of a head that sends less often, so the interval is known.
func TestGrowingDelay(t *testing.T) {
	// noticeTime is the time from the first heartbeat that says that a head leaves until the head
	// stops listening.
	const noticeTime = 22 * second / 10
	for _, growth := range []dragonflyduration.Duration{1, 2, 3, 4} {
		Convey(fmt.Sprintf("Three heartbeats, each 0.%d s later than the one before", growth), t, func() {
			s := newStreamingSimulation()
			s.fleet = s.fleet.WithHeartbeatInterval(second)
			head := s.firstHead()
			head.beatsLost = true
			for range 3 {
				s.advance((10 + growth) * second / 10)
				head.obs.Sequence++
				s.observe(head.obs)
			}
			// The head begins to leave when it sends the last one.
			s.advance(noticeTime - 3*growth*second/10)
			assertStreamsKept(s, head, func() {})
		})
	}
}
