package dragonflylease_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflylease"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflygroupaction"
	"dragonflyrelay.example/library/values/dragonflygroupevent"
	"dragonflyrelay.example/library/values/dragonflygrouporder"
	"dragonflyrelay.example/library/values/dragonflyheartbeatack"
	"dragonflyrelay.example/library/values/dragonflymember"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const ms = dragonflyinstant.Instant(dragonflyduration.Millisecond)

func formedEvent(members ...string) dragonflygroupevent.Event {
	o := dragonflygrouporder.Order{Kind: dragonflygrouporder.Form, Group: 7, Fence: 6}
	for _, id := range members {
		o.Members = append(o.Members, dragonflymember.Member{Instance: id})
	}
	return dragonflygroupevent.Event{Kind: dragonflygroupevent.Formed, Order: o, Self: members[0]}
}

var holdsEvent = dragonflygroupevent.Event{Kind: dragonflygroupevent.EngineHoldsGroup, HoldsGroup: true}

func ackEvent(member string, sequence uint64) dragonflygroupevent.Event {
	return dragonflygroupevent.Event{Kind: dragonflygroupevent.Acked, Ack: dragonflyheartbeatack.Ack{
		Group: 7, Fence: 6, Member: member, Sequence: sequence, State: dragonflyheartbeatack.Ready}}
}

// step returns the lease after the event ev at t.
func step(l dragonflylease.Lease, t dragonflyinstant.Instant, ev dragonflygroupevent.Event) dragonflylease.Lease {
	next, _ := l.Step(t, ev)
	return next
}

// assertLeaseEnd checks the time until which the gate is open.
func assertLeaseEnd(l dragonflylease.Lease, end dragonflyinstant.Instant) {
	So(l.Gate().ValidUntil, ShouldEqual, end)
}

func TestLease(t *testing.T) {
	three := step(step(dragonflylease.Lease{}, 1000*ms, formedEvent("a", "b", "c")), 1000*ms, holdsEvent)

	Convey("The lease counts from the oldest of the heartbeats that the members acknowledged last", t, func() {
		l := step(three, 1100*ms, ackEvent("b", 1))
		assertLeaseEnd(l, 0)
		l = step(l, 1700*ms, ackEvent("c", 1)) // also sends the third heartbeats
		assertLeaseEnd(l, 2200*ms)
		l = step(l, 1750*ms, ackEvent("b", 3))
		assertLeaseEnd(l, 2200*ms)
		l = step(l, 1800*ms, ackEvent("c", 3))
		assertLeaseEnd(l, 2900*ms)
	})
	Convey("The head of a group of one may relay after it has stood still, one with members only as long as they grant it", t, func() {
		l := step(step(dragonflylease.Lease{}, 1000*ms, formedEvent("a")), 1000*ms, holdsEvent)
		assertLeaseEnd(l, (1000 * ms).Add(dragonflylease.SoleDuration))
		So(l.Gate().Allows(5000*ms, 7, 6), ShouldBeTrue)
		So(l.Gate().Allows((1000*ms).Add(dragonflylease.SoleDuration), 7, 6), ShouldBeFalse)
		l = step(step(three, 1100*ms, ackEvent("b", 1)), 1100*ms, ackEvent("c", 1))
		So(l.Gate().Allows(2199*ms, 7, 6), ShouldBeTrue)
		So(l.Gate().Allows(2200*ms, 7, 6), ShouldBeFalse)
	})
	Convey("The remaining lease sent to a member includes extensions by later acknowledgements of the others", t, func() {
		l := step(three, 1100*ms, ackEvent("b", 1))
		l = step(l, 1110*ms, ackEvent("c", 1))
		_, acts := l.Step(1600*ms, dragonflygroupevent.Event{Kind: dragonflygroupevent.Tick})
		remaining := map[string]dragonflyduration.Duration{}
		for _, a := range acts {
			remaining[a.Member.Instance] = a.Heartbeat.Remaining
		}
		So(remaining, ShouldResemble, map[string]dragonflyduration.Duration{
			"b": 1100 * dragonflyduration.Millisecond, "c": 1090 * dragonflyduration.Millisecond,
		})
	})
	Convey("Acknowledgements that are repeated, late, of another fence or of a non-member do not renew the lease", t, func() {
		l := step(step(three, 1100*ms, ackEvent("b", 1)), 1100*ms, ackEvent("c", 1))
		for range 4 {
			l = step(l, 1500*ms, ackEvent("b", 1))
		}
		assertLeaseEnd(l, 2200*ms)
		foreign := ackEvent("b", 2)
		foreign.Ack.Fence = 5
		assertLeaseEnd(step(l, 1600*ms, foreign), 2200*ms)
		assertLeaseEnd(step(l, 1600*ms, ackEvent("d", 2)), 2200*ms)
		late := step(l, 2800*ms, ackEvent("b", 1))
		So(late.Ready(), ShouldBeFalse)
	})
	Convey("A refusal closes the gate at once, and an older acknowledgement does not reopen it", t, func() {
		l := step(step(three, 1100*ms, ackEvent("b", 1)), 1100*ms, ackEvent("c", 1))
		l = step(l, 1400*ms, dragonflygroupevent.Event{Kind: dragonflygroupevent.Tick})
		refusal := ackEvent("b", 2)
		refusal.Ack.State = dragonflyheartbeatack.Refused
		l = step(step(l, 1500*ms, refusal), 1510*ms, ackEvent("b", 1))
		assertLeaseEnd(l, 0)
	})
	Convey("The gate is closed while the head's own engine does not hold the group", t, func() {
		l := step(step(three, 1100*ms, ackEvent("b", 1)), 1100*ms, ackEvent("c", 1))
		assertLeaseEnd(step(l, 1200*ms, dragonflygroupevent.Event{Kind: dragonflygroupevent.EngineHoldsGroup}), 0)
	})
	Convey("Heartbeats report the head as drained only once it admits no more requests", t, func() {
		leaving := ackEvent("b", 1)
		leaving.Ack.State = dragonflyheartbeatack.Leaving
		l := step(three, 1100*ms, leaving)
		l = step(l, 1100*ms, dragonflygroupevent.Event{Kind: dragonflygroupevent.RequestsCounted})
		_, acts := l.Step(1500*ms, dragonflygroupevent.Event{Kind: dragonflygroupevent.Tick})
		So(acts[0].Heartbeat.Drained, ShouldBeFalse)
		l = step(l, 1500*ms, dragonflygroupevent.Event{Kind: dragonflygroupevent.RequestsCounted, Closed: true})
		_, acts = l.Step(1900*ms, dragonflygroupevent.Event{Kind: dragonflygroupevent.Tick})
		So(acts[0].Heartbeat.Drained, ShouldBeTrue)
	})
	Convey("Random acknowledgements result in the same end of the lease as in the reference model", t, func() {
		rapid.Check(t, func(t *rapid.T) { checkAgainstReference(t, three) })
	})
}

// checkAgainstReference compares the end of the lease after each step with one that it
// computes from the sending times of all heartbeats and all acknowledgements.
func checkAgainstReference(t *rapid.T, l dragonflylease.Lease) {
	type heartbeat struct {
		member   string
		sequence uint64
	}
	now := 1000 * ms
	sent := map[heartbeat]dragonflyinstant.Instant{{"b", 1}: now, {"c", 1}: now}
	acked := map[string]uint64{}
	granted := map[string]dragonflyinstant.Instant{}
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		now += dragonflyinstant.Instant(rapid.IntRange(0, 700).Draw(t, "ms")) * ms
		b := heartbeat{rapid.SampledFrom([]string{"b", "c"}).Draw(t, "member"), rapid.Uint64Range(1, 12).Draw(t, "sequence")}
		next, acts := l.Step(now, ackEvent(b.member, b.sequence))
		l = next
		if at, ok := sent[b]; ok && b.sequence > acked[b.member] {
			acked[b.member] = b.sequence
			if now.Sub(at) <= dragonflylease.Duration {
				granted[b.member] = max(granted[b.member], at)
			}
		}
		for _, a := range acts {
			if a.Kind == dragonflygroupaction.Send {
				sent[heartbeat{a.Member.Instance, a.Heartbeat.Sequence}] = now
			}
		}
		want := dragonflyinstant.Instant(0)
		if granted["b"] != 0 && granted["c"] != 0 {
			want = min(granted["b"], granted["c"]).Add(dragonflylease.Duration)
		}
		if got := l.ValidUntil(); got != want && (got.After(now) || want.After(now)) {
			t.Fatalf("lease ends at %d, want %d", got, want)
		}
	}
}

func ExampleLease_Step() {
	l := dragonflylease.Lease{}
	l, acts := l.Step(1000*ms, formedEvent("a", "b"))
	fmt.Println(acts[0].Member.Instance, acts[0].Heartbeat.Sequence)
	l, _ = l.Step(1000*ms, holdsEvent)
	l, _ = l.Step(1030*ms, ackEvent("b", 1))
	fmt.Println(l.Ready(), l.Gate().ValidUntil/ms)
	// Output:
	// b 1
	// true 2200
}
