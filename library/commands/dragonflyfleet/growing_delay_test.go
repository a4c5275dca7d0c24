package dragonflyfleet_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyfleet"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	. "github.com/smartystreets/goconvey/convey"
)

// TestGrowingDelay guards against a head that counts as crashed while it finishes streams, because
// its heartbeats arrive with a delay that grows, and those that say that it leaves are lost. By
// their arrival alone they are those of a head that sends less often, so the interval is known.
func TestGrowingDelay(t *testing.T) {
	// noticeTime is the time from the first heartbeat that says that a head leaves until the head
	// stops listening.
	const noticeTime = 22 * second / 10
	play := func(s *simulation, growth dragonflyduration.Duration) {
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
	}
	for _, growth := range []dragonflyduration.Duration{1, 2, 3, 4} {
		Convey(fmt.Sprintf("Three heartbeats, each 0.%d s later than the one before", growth), t, func() {
			s := newStreamingSimulation()
			s.fleet = s.fleet.WithHeartbeatInterval(second)
			play(s, growth)
		})
	}
	Convey("An instance that follows and is elected knows the interval", t, func() {
		s := newStreamingSimulation()
		s.fleet = s.fleet.WithHeartbeatInterval(second)
		s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Followed})
		s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Led, Term: 2})
		s.advance(dragonflyfleet.EntryLease + streamLimit + second)
		s.ask("e1")
		s.ask("e2")
		play(s, 4)
	})
}
