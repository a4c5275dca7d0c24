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

func formed(members ...string) dragonflygroupevent.Event {
	o := dragonflygrouporder.Order{Kind: dragonflygrouporder.Form, Group: 7, Fence: 6}
	for _, id := range members {
		o.Members = append(o.Members, dragonflymember.Member{Instance: id})
	}
	return dragonflygroupevent.Event{Kind: dragonflygroupevent.Formed, Order: o, Self: members[0]}
}

var holds = dragonflygroupevent.Event{Kind: dragonflygroupevent.EngineHoldsGroup, HoldsGroup: true}

func ack(member string, sequence uint64) dragonflygroupevent.Event {
	return dragonflygroupevent.Event{Kind: dragonflygroupevent.Acked, Ack: dragonflyheartbeatack.Ack{
		Group: 7, Fence: 6, Member: member, Sequence: sequence, State: dragonflyheartbeatack.Ready}}
}

// step feeds one event at t.
func step(l dragonflylease.Lease, t dragonflyinstant.Instant, ev dragonflygroupevent.Event) dragonflylease.Lease {
	next, _ := l.Step(t, ev)
	return next
}

// assertEnd guards against a lease that ends too late or too early.
func assertEnd(l dragonflylease.Lease, end dragonflyinstant.Instant) {
	So(l.Gate().ValidUntil, ShouldEqual, end)
}

func TestLease(t *testing.T) {
	three := step(step(dragonflylease.Lease{}, 1000*ms, formed("a", "b", "c")), 1000*ms, holds)

	Convey("The lease counts from the sending of the heartbeat that the slowest member acknowledged", t, func() {
		l := step(three, 1100*ms, ack("b", 1))
		assertEnd(l, 0)
		l = step(l, 1700*ms, ack("c", 1)) // also makes the third heartbeats
		assertEnd(l, 2200*ms)
		l = step(l, 1750*ms, ack("b", 3))
		assertEnd(l, 2200*ms)
		l = step(l, 1800*ms, ack("c", 3))
		assertEnd(l, 2900*ms)
	})
	Convey("A member is told the lease as later acknowledgements of the others have extended it", t, func() {
		l := step(three, 1100*ms, ack("b", 1))
		l = step(l, 1110*ms, ack("c", 1))
		_, acts := l.Step(1600*ms, dragonflygroupevent.Event{Kind: dragonflygroupevent.Tick})
		remaining := map[string]dragonflyduration.Duration{}
		for _, a := range acts {
			remaining[a.Member.Instance] = a.Heartbeat.Remaining
		}
		So(remaining, ShouldResemble, map[string]dragonflyduration.Duration{
			"b": 1100 * dragonflyduration.Millisecond, "c": 1090 * dragonflyduration.Millisecond,
		})
	})
	Convey("Acknowledgements that are repeated, overtaken, too late or of another group renew nothing", t, func() {
		l := step(step(three, 1100*ms, ack("b", 1)), 1100*ms, ack("c", 1))
		for range 4 {
			l = step(l, 1500*ms, ack("b", 1))
		}
		assertEnd(l, 2200*ms)
		foreign := ack("b", 2)
		foreign.Ack.Fence = 5
		assertEnd(step(l, 1600*ms, foreign), 2200*ms)
		assertEnd(step(l, 1600*ms, ack("d", 2)), 2200*ms)
		late := step(l, 2800*ms, ack("b", 1))
		So(late.Ready(), ShouldBeFalse)
	})
	Convey("A refusal closes the gate at once and is not undone by an older answer", t, func() {
		l := step(step(three, 1100*ms, ack("b", 1)), 1100*ms, ack("c", 1))
		l = step(l, 1400*ms, dragonflygroupevent.Event{Kind: dragonflygroupevent.Tick})
		no := ack("b", 2)
		no.Ack.State = dragonflyheartbeatack.Refused
		l = step(step(l, 1500*ms, no), 1510*ms, ack("b", 1))
		assertEnd(l, 0)
	})
	Convey("The gate is closed while the head's own engine does not hold the group", t, func() {
		l := step(step(three, 1100*ms, ack("b", 1)), 1100*ms, ack("c", 1))
		assertEnd(step(l, 1200*ms, dragonflygroupevent.Event{Kind: dragonflygroupevent.EngineHoldsGroup}), 0)
	})
	Convey("Drained is told only once no request can be admitted any more", t, func() {
		leaving := ack("b", 1)
		leaving.Ack.State = dragonflyheartbeatack.Leaving
		l := step(three, 1100*ms, leaving)
		l = step(l, 1100*ms, dragonflygroupevent.Event{Kind: dragonflygroupevent.RequestsCounted})
		_, acts := l.Step(1500*ms, dragonflygroupevent.Event{Kind: dragonflygroupevent.Tick})
		So(acts[0].Heartbeat.Drained, ShouldBeFalse)
		l = step(l, 1500*ms, dragonflygroupevent.Event{Kind: dragonflygroupevent.RequestsCounted, Closed: true})
		_, acts = l.Step(1900*ms, dragonflygroupevent.Event{Kind: dragonflygroupevent.Tick})
		So(acts[0].Heartbeat.Drained, ShouldBeTrue)
	})
	Convey("Random acknowledgements give the end that a naive list of send times gives", t, func() {
		rapid.Check(t, func(t *rapid.T) { checkAgainstNaive(t, three) })
	})
}

// checkAgainstNaive keeps every heartbeat and every acknowledgement and computes
// the end of the lease from scratch after each step.
func checkAgainstNaive(t *rapid.T, l dragonflylease.Lease) {
	type beat struct {
		member   string
		sequence uint64
	}
	now := 1000 * ms
	sent := map[beat]dragonflyinstant.Instant{{"b", 1}: now, {"c", 1}: now}
	acked := map[string]uint64{}
	granted := map[string]dragonflyinstant.Instant{}
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		now += dragonflyinstant.Instant(rapid.IntRange(0, 700).Draw(t, "ms")) * ms
		b := beat{rapid.SampledFrom([]string{"b", "c"}).Draw(t, "member"), rapid.Uint64Range(1, 12).Draw(t, "sequence")}
		next, acts := l.Step(now, ack(b.member, b.sequence))
		l = next
		if at, ok := sent[b]; ok && b.sequence > acked[b.member] {
			acked[b.member] = b.sequence
			if now.Sub(at) <= dragonflylease.Duration {
				granted[b.member] = max(granted[b.member], at)
			}
		}
		for _, a := range acts {
			if a.Kind == dragonflygroupaction.Send {
				sent[beat{a.Member.Instance, a.Heartbeat.Sequence}] = now
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
	l, acts := l.Step(1000*ms, formed("a", "b"))
	fmt.Println(acts[0].Member.Instance, acts[0].Heartbeat.Sequence)
	l, _ = l.Step(1000*ms, holds)
	l, _ = l.Step(1030*ms, ack("b", 1))
	fmt.Println(l.Ready(), l.Gate().ValidUntil/ms)
	// Output:
	// b 1
	// true 2200
}
