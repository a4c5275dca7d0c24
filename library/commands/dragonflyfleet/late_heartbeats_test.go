package dragonflyfleet_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	. "github.com/smartystreets/goconvey/convey"
)

// unheard returns a simulation whose first head has not been heard of by its heartbeats for
// three seconds, in which it may have begun to leave, and a heartbeat from before that.
func unheard() (s *simulation, head *engine, late dragonflyobservation.Observation) {
	s = newStreamingSimulation()
	head = s.firstHead()
	head.beatsLost = true
	s.advance(3 * second)
	late = head.obs
	late.Sequence++
	return s, head, late
}

// assertStreamsKept stops the head from listening and checks that its members stay in the group
// while an entry has streams there. The event is applied half a second later.
func assertStreamsKept(s *simulation, head *engine, event func()) {
	group, member := head.obs.Group, s.otherMember(head)
	head.obs.Running, head.unreachable = 3, true
	for i := range 20 {
		if i == 5 {
			event()
		}
		s.ask("e1", head.obs.ID)
		s.advance(second / 10)
		So(member.obs.Group.Is(group.Name, group.Epoch), ShouldBeTrue)
	}
}

// TestHeldBackHeartbeats guards against a head that counts as crashed while it finishes streams,
// because heartbeats from before its leave were held back and arrive shortly before its end.
func TestHeldBackHeartbeats(t *testing.T) {
	none := func() {}
	Convey("Heartbeats that arrive together after a gap", t, func() {
		s, head, late := unheard()
		for range 4 {
			s.observe(late)
			late.Sequence++
			s.advance(second / 10)
		}
		assertStreamsKept(s, head, none)
	})
	Convey("A heartbeat that arrives after its sender has stopped listening", t, func() {
		s, head, late := unheard()
		assertStreamsKept(s, head, func() { s.observe(late) })
	})
	Convey("The first heartbeat that a new leader gets", t, func() {
		s, head, late := unheard()
		s.lead(2)
		s.observe(late)
		s.advance(second)
		assertStreamsKept(s, head, none)
	})
}

// TestRegularHeartbeats guards against engines that stay unused because a crashed head counts as
// one that may leave, though its heartbeats have arrived regularly.
func TestRegularHeartbeats(t *testing.T) {
	// crashTime is the time in which the engines of a crashed head serve again.
	const crashTime = second / 2
	play := func(s *simulation, arrivals ...dragonflyduration.Duration) {
		head := s.firstHead()
		head.beatsLost = true
		for _, after := range arrivals {
			s.advance(after)
			head.obs.Sequence++
			s.observe(head.obs)
		}
		s.advance(second / 2)
		head.unreachable = true
		s.advance(crashTime)
		So(s.servingHeads(), ShouldHaveLength, 2)
		So(s.servingHeads(), ShouldNotContain, head.obs.ID)
		assertGroupsIntact(s)
	}
	for name, interval := range map[string]dragonflyduration.Duration{"1 s": second, "1.4 s": 7 * second / 5} {
		Convey("Heartbeats that arrive every "+name, t, func() {
			play(newStreamingSimulation(), interval, interval, interval, interval)
		})
		Convey("Heartbeats that arrive every "+name+", as the settings say", t, func() {
			s := newStreamingSimulation()
			s.fleet = s.fleet.WithHeartbeatInterval(interval)
			play(s, interval, interval, interval, interval)
		})
	}
	for interval, shift := range map[dragonflyduration.Duration]dragonflyduration.Duration{second: second / 5, 12 * second / 10: second / 10} {
		Convey(fmt.Sprintf("Heartbeats every %g s that arrive up to %g s early or late", interval.Seconds(), shift.Seconds()), t, func() {
			s := newStreamingSimulation()
			s.fleet = s.fleet.WithHeartbeatInterval(interval)
			play(s, interval-shift, interval+shift, interval+shift, interval-2*shift, interval+2*shift)
		})
	}
	Convey("Heartbeats after an upstream was late once", t, func() {
		s := newStreamingSimulation()
		s.fleet = s.fleet.WithHeartbeatInterval(second)
		play(s, second, 14*second/10, 6*second/10, second)
	})
}
