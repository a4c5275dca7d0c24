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

func orderEvent(group, fence uint64, members ...string) dragonflygroupevent.Event {
	o := dragonflygrouporder.Order{Kind: dragonflygrouporder.Form, Group: group, Fence: fence}
	for _, id := range members {
		o.Members = append(o.Members, dragonflymember.Member{Instance: id})
	}
	return dragonflygroupevent.Event{Kind: dragonflygroupevent.Ordered, Order: o}
}

func announcementEvent(group, fence uint64) dragonflygroupevent.Event {
	return dragonflygroupevent.Event{Kind: dragonflygroupevent.Announced, Announcement: dragonflyannouncement.Announcement{
		Kind: dragonflyannouncement.Engine, State: dragonflyannouncement.Ready, Group: group, Fence: fence}}
}

// outcomeEvent returns the event that an order with the fencing number has resolved
// with the outcome of ev.
func outcomeEvent(fence uint64, ev dragonflygroupevent.Event) dragonflygroupevent.Event {
	ev.Kind, ev.Fence = dragonflygroupevent.OrderResolved, fence
	return ev
}

func heartbeatEvent(group, fence uint64, echo dragonflyinstant.Instant) dragonflygroupevent.Event {
	return dragonflygroupevent.Event{Kind: dragonflygroupevent.HeartbeatReceived, Heartbeat: dragonflyheartbeat.Heartbeat{
		Group: group, Fence: fence, Head: "a", Sequence: 1, EchoSentAt: echo, Remaining: dragonflyduration.Second}}
}

// run applies the events one second apart, starting at 10 s, and returns the actions
// of the last one.
func run(m dragonflymembership.Membership, evs ...dragonflygroupevent.Event) (dragonflymembership.Membership, []dragonflygroupaction.Action) {
	var acts []dragonflygroupaction.Action
	for i, ev := range evs {
		m, acts = m.Step((10+dragonflyinstant.Instant(i))*second, ev)
	}
	return m, acts
}

// assertRejected checks that the order in ev is rejected for the reason and leaves
// the group unchanged.
func assertRejected(m dragonflymembership.Membership, ev dragonflygroupevent.Event, reason string) {
	next, acts := m.Step(100*second, ev)
	So(acts, ShouldNotBeEmpty)
	So(acts[0].Kind, ShouldEqual, dragonflygroupaction.Reject)
	So(acts[0].Reason, ShouldEqual, reason)
	So(next.Group(), ShouldResemble, m.Group())
}

// assertAck checks that the first action answers a heartbeat with the state.
func assertAck(acts []dragonflygroupaction.Action, state any) {
	So(acts, ShouldNotBeEmpty)
	So(acts[0].Kind, ShouldEqual, dragonflygroupaction.Answer)
	So(acts[0].Ack.State, ShouldEqual, state)
}

// assertLoads checks the number of load orders among the actions.
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
	free, _ := run(fresh, announcementEvent(0, 5), tick, announcementEvent(0, 5))
	joining, _ := run(free, tick, tick, tick, orderEvent(7, 6, "a", "b"))
	unknown := dragonflygroupevent.Event{Outcome: dragonflygroupevent.Unknown}
	done := dragonflygroupevent.Event{Outcome: dragonflygroupevent.Done}

	Convey("Orders that are stale, for other members, before the first announcement or during a shutdown are rejected", t, func() {
		assertRejected(free, orderEvent(7, 5, "a", "b"), dragonflymembership.ReasonOldFence)
		assertRejected(free, orderEvent(7, 6, "a", "c"), dragonflymembership.ReasonNotMember)
		unannounced, _ := run(fresh, tick, tick, tick)
		assertRejected(unannounced, orderEvent(7, 6, "a", "b"), dragonflymembership.ReasonUnannounced)
		assertRejected(joining, orderEvent(6, 5, "a", "b"), dragonflymembership.ReasonOldFence)
		stopping, _ := run(free, dragonflygroupevent.Event{Kind: dragonflygroupevent.Leave})
		assertRejected(stopping, orderEvent(7, 6, "a", "b"), dragonflymembership.ReasonLeaving)
	})
	Convey("A repeated order changes nothing", t, func() {
		next, acts := joining.Step(20*second, orderEvent(7, 6, "a", "b"))
		So(acts, ShouldBeEmpty)
		So(next.State(), ShouldEqual, dragonflymembership.Joining)
	})
	Convey("A repeated order does not restore a dissolved group", t, func() {
		m, _ := run(joining, outcomeEvent(6, done), dragonflygroupevent.Event{Kind: dragonflygroupevent.Ordered,
			Order: dragonflygrouporder.Order{Kind: dragonflygrouporder.Dissolve, Group: 7, Fence: 6}}, tick)
		So(m.State(), ShouldEqual, dragonflymembership.Free)
		assertRejected(m, orderEvent(7, 6, "a", "b"), dragonflymembership.ReasonOldFence)
	})
	Convey("An agent is a member only once its engine announces the group, not when it accepts the order", t, func() {
		m, _ := run(joining, announcementEvent(0, 5), outcomeEvent(6, done))
		So(m.State(), ShouldEqual, dragonflymembership.Joining)
		m, _ = run(m, announcementEvent(7, 6))
		So(m.State(), ShouldEqual, dragonflymembership.Member)
	})
	Convey("After an order with unknown outcome, no order is sent until the engine announces what it holds", t, func() {
		m, acts := run(joining, outcomeEvent(6, unknown), tick, tick)
		So(m.State(), ShouldEqual, dragonflymembership.Unknown)
		assertLoads(acts, 0)
		m, acts = run(m, announcementEvent(0, 5))
		assertLoads(acts, 1)
		So(m.State(), ShouldEqual, dragonflymembership.Joining)
		m, acts = run(m, outcomeEvent(6, unknown), announcementEvent(7, 6))
		assertLoads(acts, 0)
		So(m.State(), ShouldEqual, dragonflymembership.Member)
	})
	Convey("A member is not ready while its engine does not hold the group or is lost or silent", t, func() {
		m, acts := run(joining, outcomeEvent(6, done), heartbeatEvent(7, 6, 0))
		assertAck(acts, dragonflyheartbeatack.Joining)
		m, acts = run(m, announcementEvent(7, 6), heartbeatEvent(7, 6, 0))
		assertAck(acts, dragonflyheartbeatack.Ready)
		_, acts = run(m, announcementEvent(7, 6), dragonflygroupevent.Event{Kind: dragonflygroupevent.UpstreamLost}, heartbeatEvent(7, 6, 0))
		assertAck(acts, dragonflyheartbeatack.Joining)
		_, acts = run(m, announcementEvent(7, 6), tick, tick, tick, heartbeatEvent(7, 6, 0))
		assertAck(acts, dragonflyheartbeatack.Joining)
		m, acts = run(m, announcementEvent(0, 0))
		assertLoads(acts, 1)
		So(m.State(), ShouldEqual, dragonflymembership.Joining)
	})
	Convey("The agent leaves its group when its engine has executed a newer order", t, func() {
		m, _ := run(joining, outcomeEvent(6, done), announcementEvent(7, 6), announcementEvent(9, 8), tick, tick)
		So(m.Group().Kind, ShouldEqual, 0)
		So(m.HighestFence(), ShouldEqual, 8)
	})
	Convey("An echoed time that this process did not send does not extend the lease", t, func() {
		m, _ := run(joining, outcomeEvent(6, done), announcementEvent(7, 6), heartbeatEvent(7, 6, 11*second))
		So(m.GroupAliveUntil(), ShouldEqual, 0)
		m, _ = m.Step(13*second, heartbeatEvent(7, 6, 12*second))
		So(m.GroupAliveUntil(), ShouldEqual, (13 * second).Add(-50*dragonflyduration.Millisecond))
	})
	Convey("A release by the head frees the member at once, a release by an earlier process of the head does not", t, func() {
		heartbeat := heartbeatEvent(7, 6, 0)
		heartbeat.Heartbeat.Epoch = 5
		m, _ := run(joining, outcomeEvent(6, done), announcementEvent(7, 6), heartbeat)
		release := heartbeatEvent(7, 6, 0)
		release.Heartbeat.Released, release.Heartbeat.Epoch = true, 4
		late, _ := m.Step(12*second+1, release)
		So(late.Group().Group, ShouldEqual, 7)
		So(late.PromisedUntil(), ShouldEqual, m.PromisedUntil())
		release.Heartbeat.Epoch = 5
		free, _ := m.Step(12*second+1, release)
		So(free.Group().Kind, ShouldEqual, 0)
		next, _ := free.Step(12*second+2, orderEvent(8, 7, "a", "b"))
		So(next.Group().Group, ShouldEqual, 8)
	})
	Convey("An engine without a group is unloaded after a minute and not earlier", t, func() {
		m, _ := run(joining, outcomeEvent(6, done), announcementEvent(7, 6), dragonflygroupevent.Event{Kind: dragonflygroupevent.Ordered,
			Order: dragonflygrouporder.Order{Kind: dragonflygrouporder.Dissolve, Group: 7}})
		So(m.State(), ShouldEqual, dragonflymembership.Free)
		m, acts := m.Step(71*second, announcementEvent(7, 6))
		So(acts, ShouldBeEmpty)
		_, acts = m.Step(73*second, announcementEvent(7, 6))
		So(acts, ShouldHaveLength, 1)
		So(acts[0].Kind, ShouldEqual, dragonflygroupaction.Unload)
		So(acts[0].Order.Group, ShouldEqual, 7)
	})
	Convey("Heartbeats of another group or fence are refused and renew no promise", t, func() {
		for _, ev := range []dragonflygroupevent.Event{heartbeatEvent(8, 6, 0), heartbeatEvent(7, 5, 0)} {
			m, acts := joining.Step(20*second, ev)
			assertAck(acts, dragonflyheartbeatack.Refused)
			So(m.PromisedUntil(), ShouldBeLessThan, 20*second)
		}
	})
	Convey("A plain service joins no group", t, func() {
		svc := announcementEvent(0, 0)
		svc.Announcement.Kind = dragonflyannouncement.Service
		m, _ := run(fresh, svc, tick, tick)
		assertRejected(m, orderEvent(7, 6, "a", "b"), dragonflymembership.ReasonService)
	})
}

func ExampleMembership_Step() {
	m := dragonflymembership.Membership{}.WithSelf("b")
	for i, ev := range []dragonflygroupevent.Event{
		announcementEvent(0, 0),    // 10 s: the engine holds nothing
		orderEvent(7, 6, "a", "b"), // 11 s: accepted; the initial promise has not expired
		tick,                       // 12 s: joins the group and sends a load order
		announcementEvent(7, 6),    // 13 s: the engine holds the group
	} {
		var acts []dragonflygroupaction.Action
		m, acts = m.Step((10+dragonflyinstant.Instant(i))*second, ev)
		fmt.Println(m.Group().Group, m.HoldsGroup(), len(acts))
	}
	// Output:
	// 0 false 0
	// 0 false 0
	// 7 false 2
	// 7 true 0
}
