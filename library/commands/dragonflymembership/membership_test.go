package dragonflymembership_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflymembership"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflygroupaction"
	"dragonflyrelay.example/library/values/dragonflygroupevent"
	"dragonflyrelay.example/library/values/dragonflygrouporder"
	"dragonflyrelay.example/library/values/dragonflyheartbeat"
	"dragonflyrelay.example/library/values/dragonflyheartbeatack"
	"dragonflyrelay.example/library/values/dragonflymember"
	. "github.com/smartystreets/goconvey/convey"
)

const second = dragonflyinstant.Instant(dragonflyduration.Second)

var tick = dragonflygroupevent.Event{Kind: dragonflygroupevent.Tick}

func order(group, fence uint64, members ...string) dragonflygroupevent.Event {
	o := dragonflygrouporder.Order{Kind: dragonflygrouporder.Form, Group: group, Fence: fence}
	for _, id := range members {
		o.Members = append(o.Members, dragonflymember.Member{Instance: id})
	}
	return dragonflygroupevent.Event{Kind: dragonflygroupevent.Ordered, Order: o}
}

func announced(group, fence uint64) dragonflygroupevent.Event {
	return dragonflygroupevent.Event{Kind: dragonflygroupevent.Announced, Announcement: dragonflyannouncement.Announcement{
		Kind: dragonflyannouncement.Engine, State: dragonflyannouncement.Ready, Group: group, Fence: fence}}
}

func settled(fence uint64, load dragonflygroupevent.Event) dragonflygroupevent.Event {
	load.Kind, load.Fence = dragonflygroupevent.OrderResolved, fence
	return load
}

func heard(group, fence uint64, echo dragonflyinstant.Instant) dragonflygroupevent.Event {
	return dragonflygroupevent.Event{Kind: dragonflygroupevent.HeartbeatReceived, Heartbeat: dragonflyheartbeat.Heartbeat{
		Group: group, Fence: fence, Head: "a", Sequence: 1, EchoSentAt: echo, Remaining: dragonflyduration.Second}}
}

// run feeds the events one second apart, from 10 s on, and returns the last
// actions.
func run(m dragonflymembership.Membership, evs ...dragonflygroupevent.Event) (dragonflymembership.Membership, []dragonflygroupaction.Action) {
	var acts []dragonflygroupaction.Action
	for i, ev := range evs {
		m, acts = m.Step((10+dragonflyinstant.Instant(i))*second, ev)
	}
	return m, acts
}

// assertRejected guards against an order that is obeyed although it must not be.
func assertRejected(m dragonflymembership.Membership, ev dragonflygroupevent.Event, reason string) {
	next, acts := m.Step(100*second, ev)
	So(acts, ShouldNotBeEmpty)
	So(acts[0].Kind, ShouldEqual, dragonflygroupaction.Reject)
	So(acts[0].Reason, ShouldEqual, reason)
	So(next.Group(), ShouldResemble, m.Group())
}

// assertAck guards against a wrong answer to a heartbeat.
func assertAck(acts []dragonflygroupaction.Action, state any) {
	So(acts, ShouldNotBeEmpty)
	So(acts[0].Kind, ShouldEqual, dragonflygroupaction.Answer)
	So(acts[0].Ack.State, ShouldEqual, state)
}

// assertLoads guards against a load order that is missing or not asked for.
func assertLoads(acts []dragonflygroupaction.Action, want int) {
	n := 0
	for _, a := range acts {
		if a.Kind == dragonflygroupaction.Load {
			n++
		}
	}
	So(n, ShouldEqual, want)
}

func TestMembership(t *testing.T) {
	fresh := dragonflymembership.Membership{}.WithSelf("b")
	free, _ := run(fresh, announced(0, 5), tick, announced(0, 5))
	joining, _ := run(free, tick, tick, tick, order(7, 6, "a", "b"))
	unknown := dragonflygroupevent.Event{Outcome: dragonflygroupevent.Unknown}
	done := dragonflygroupevent.Event{Outcome: dragonflygroupevent.Done}

	Convey("Late, foreign and early orders are rejected", t, func() {
		assertRejected(free, order(7, 5, "a", "b"), dragonflymembership.ReasonOldFence)
		assertRejected(free, order(7, 6, "a", "c"), dragonflymembership.ReasonNotMember)
		unheard, _ := run(fresh, tick, tick, tick)
		assertRejected(unheard, order(7, 6, "a", "b"), dragonflymembership.ReasonUnannounced)
		assertRejected(joining, order(6, 5, "a", "b"), dragonflymembership.ReasonOldFence)
		left, _ := run(free, dragonflygroupevent.Event{Kind: dragonflygroupevent.Leave})
		assertRejected(left, order(7, 6, "a", "b"), dragonflymembership.ReasonLeaving)
	})
	Convey("A repeated order changes nothing", t, func() {
		next, acts := joining.Step(20*second, order(7, 6, "a", "b"))
		So(acts, ShouldBeEmpty)
		So(next.State(), ShouldEqual, dragonflymembership.Joining)
	})
	Convey("An order for a dissolved group does not bring it back", t, func() {
		m, _ := run(joining, settled(6, done), dragonflygroupevent.Event{Kind: dragonflygroupevent.Ordered,
			Order: dragonflygrouporder.Order{Kind: dragonflygrouporder.Dissolve, Group: 7, Fence: 6}}, tick)
		So(m.State(), ShouldEqual, dragonflymembership.Free)
		assertRejected(m, order(7, 6, "a", "b"), dragonflymembership.ReasonOldFence)
	})
	Convey("Only the engine's announcement makes a member, not its answer to the order", t, func() {
		m, _ := run(joining, announced(0, 5), settled(6, done))
		So(m.State(), ShouldEqual, dragonflymembership.Joining)
		m, _ = run(m, announced(7, 6))
		So(m.State(), ShouldEqual, dragonflymembership.Member)
	})
	Convey("While the outcome of an order is unknown nothing is ordered until the engine says what it holds", t, func() {
		m, acts := run(joining, settled(6, unknown), tick, tick)
		So(m.State(), ShouldEqual, dragonflymembership.Unknown)
		assertLoads(acts, 0)
		m, acts = run(m, announced(0, 5))
		assertLoads(acts, 1)
		So(m.State(), ShouldEqual, dragonflymembership.Joining)
		m, acts = run(m, settled(6, unknown), announced(7, 6))
		assertLoads(acts, 0)
		So(m.State(), ShouldEqual, dragonflymembership.Member)
	})
	Convey("An engine that does not hold the group keeps its member from being ready", t, func() {
		m, acts := run(joining, settled(6, done), heard(7, 6, 0))
		assertAck(acts, dragonflyheartbeatack.Joining)
		m, acts = run(m, announced(7, 6), heard(7, 6, 0))
		assertAck(acts, dragonflyheartbeatack.Ready)
		_, acts = run(m, announced(7, 6), dragonflygroupevent.Event{Kind: dragonflygroupevent.UpstreamLost}, heard(7, 6, 0))
		assertAck(acts, dragonflyheartbeatack.Joining)
		_, acts = run(m, announced(7, 6), tick, tick, tick, heard(7, 6, 0))
		assertAck(acts, dragonflyheartbeatack.Joining)
		m, acts = run(m, announced(0, 0))
		assertLoads(acts, 1)
		So(m.State(), ShouldEqual, dragonflymembership.Joining)
	})
	Convey("An engine that executed a newer order makes the agent leave the older group", t, func() {
		m, _ := run(joining, settled(6, done), announced(7, 6), announced(9, 8), tick, tick)
		So(m.Group().Kind, ShouldEqual, 0)
		So(m.Highest(), ShouldEqual, 8)
	})
	Convey("An echo of a time that this process did not send says nothing about the lease", t, func() {
		m, _ := run(joining, settled(6, done), announced(7, 6), heard(7, 6, 11*second))
		So(m.AliveUntil(), ShouldEqual, 0)
		m, _ = m.Step(13*second, heard(7, 6, 12*second))
		So(m.AliveUntil(), ShouldEqual, (13 * second).Add(-50*dragonflyduration.Millisecond))
	})
	Convey("A head that releases its member frees it at once, but not a head of an earlier process", t, func() {
		beat := heard(7, 6, 0)
		beat.Heartbeat.Epoch = 5
		m, _ := run(joining, settled(6, done), announced(7, 6), beat)
		release := heard(7, 6, 0)
		release.Heartbeat.Released, release.Heartbeat.Epoch = true, 4
		late, _ := m.Step(12*second+1, release)
		So(late.Group().Group, ShouldEqual, 7)
		So(late.PromisedUntil(), ShouldEqual, m.PromisedUntil())
		release.Heartbeat.Epoch = 5
		free, _ := m.Step(12*second+1, release)
		So(free.Group().Kind, ShouldEqual, 0)
		next, _ := free.Step(12*second+2, order(8, 7, "a", "b"))
		So(next.Group().Group, ShouldEqual, 8)
	})
	Convey("An engine without a group is unloaded after a minute, not before", t, func() {
		m, _ := run(joining, settled(6, done), announced(7, 6), dragonflygroupevent.Event{Kind: dragonflygroupevent.Ordered,
			Order: dragonflygrouporder.Order{Kind: dragonflygrouporder.Dissolve, Group: 7}})
		So(m.State(), ShouldEqual, dragonflymembership.Free)
		m, acts := m.Step(71*second, announced(7, 6))
		So(acts, ShouldBeEmpty)
		_, acts = m.Step(73*second, announced(7, 6))
		So(acts, ShouldHaveLength, 1)
		So(acts[0].Kind, ShouldEqual, dragonflygroupaction.Unload)
		So(acts[0].Order.Group, ShouldEqual, 7)
	})
	Convey("Heartbeats of strangers promise nothing", t, func() {
		for _, ev := range []dragonflygroupevent.Event{heard(8, 6, 0), heard(7, 5, 0)} {
			m, acts := joining.Step(20*second, ev)
			assertAck(acts, dragonflyheartbeatack.Refused)
			So(m.PromisedUntil(), ShouldBeLessThan, 20*second)
		}
	})
	Convey("A plain service joins no group", t, func() {
		svc := announced(0, 0)
		svc.Announcement.Kind = dragonflyannouncement.Service
		m, _ := run(fresh, svc, tick, tick)
		assertRejected(m, order(7, 6, "a", "b"), dragonflymembership.ReasonService)
	})
}

func ExampleMembership_Step() {
	m := dragonflymembership.Membership{}.WithSelf("b")
	for i, ev := range []dragonflygroupevent.Event{
		announced(0, 0),       // 10 s: the engine holds nothing
		order(7, 6, "a", "b"), // 11 s: accepted; the quiet period is not over
		tick,                  // 12 s: joins and orders the engine to load
		announced(7, 6),       // 13 s: the engine holds the group
	} {
		var acts []dragonflygroupaction.Action
		m, acts = m.Step((10+dragonflyinstant.Instant(i))*second, ev)
		fmt.Println(m.Group().Group, m.Holds(), len(acts))
	}
	// Output:
	// 0 false 0
	// 0 false 0
	// 7 false 2
	// 7 true 0
}
