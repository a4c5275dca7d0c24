package dragonflyagentcore_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyagentcore"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyadmissionaction"
	"dragonflyrelay.example/library/values/dragonflyadmissionevent"
	"dragonflyrelay.example/library/values/dragonflyagentaction"
	"dragonflyrelay.example/library/values/dragonflyagentevent"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflyframe"
	"dragonflyrelay.example/library/values/dragonflygroupaction"
	"dragonflyrelay.example/library/values/dragonflygroupevent"
	"dragonflyrelay.example/library/values/dragonflygrouporder"
	"dragonflyrelay.example/library/values/dragonflyheartbeatack"
	"dragonflyrelay.example/library/values/dragonflymember"
	"dragonflyrelay.example/library/values/dragonflyorders"
	"dragonflyrelay.example/library/values/dragonflywork"
	"dragonflyrelay.example/library/values/dragonflyzone"
	. "github.com/smartystreets/goconvey/convey"
)

const ms = dragonflyduration.Millisecond

// agent is one core and the simulated engine on its instance.
type agent struct {
	core           dragonflyagentcore.Core
	group, fence   uint64
	dead, isolated bool
	decided        map[uint64]string
}

// cluster drives several agents on one clock. Messages are delivered without
// delay.
type cluster struct {
	now    dragonflyinstant.Instant
	agents []*agent
	order  dragonflygrouporder.Order
	config dragonflyconfig.Config
	lastID uint64
}

func newCluster(n int) *cluster {
	c := &cluster{now: dragonflyinstant.Instant(1000 * ms), config: dragonflyconfig.Config{}.WithVersion(1)}
	for i := range n {
		c.agents = append(c.agents, &agent{core: dragonflyagentcore.Core{}.WithSelf(name(i)), decided: map[uint64]string{}})
	}
	return c
}

func name(i int) string { return fmt.Sprintf("i%d", i) }

// run advances the clock by d in steps of 50 ms. Once a second every agent
// receives an announcement of its engine and, unless isolated, orders from control.
func (c *cluster) run(d dragonflyduration.Duration) {
	for end := c.now.Add(d); c.now < end; c.now = c.now.Add(50 * ms) {
		for _, a := range c.agents {
			if a.dead {
				continue
			}
			if c.now%dragonflyinstant.Instant(dragonflyduration.Second) == 0 {
				c.announce(a)
				if !a.isolated {
					c.step(a, dragonflyagentevent.Event{Kind: dragonflyagentevent.OrdersReceived, SentAt: c.now,
						Orders: dragonflyorders.Orders{Config: c.config, HasConfig: true, Order: c.order}})
				}
			}
			c.step(a, dragonflyagentevent.Event{Kind: dragonflyagentevent.Tick})
		}
	}
}

func (c *cluster) announce(a *agent) {
	c.stepGroup(a, dragonflygroupevent.Event{Kind: dragonflygroupevent.Announced, Announcement: dragonflyannouncement.Announcement{
		Kind: dragonflyannouncement.Engine, State: dragonflyannouncement.Ready, Zone: "zona-a", ColdLimit: 2, Group: a.group, Fence: a.fence}})
}

func (c *cluster) stepGroup(a *agent, ev dragonflygroupevent.Event) (ack dragonflyheartbeatack.Ack) {
	return c.step(a, dragonflyagentevent.Event{Kind: dragonflyagentevent.Group, Group: ev})
}

// step passes one event to the agent and carries out the actions.
func (c *cluster) step(a *agent, ev dragonflyagentevent.Event) (ack dragonflyheartbeatack.Ack) {
	next, acts := a.core.Step(c.now, ev)
	a.core = next
	for _, act := range acts {
		if act.Kind == dragonflyagentaction.Admission {
			switch d := act.Admission; d.Kind {
			case dragonflyadmissionaction.Start:
				a.decided[d.ID] += "started"
			case dragonflyadmissionaction.Refuse:
				a.decided[d.ID] += d.Reason
			}
			continue
		}
		switch g := act.Group; g.Kind {
		case dragonflygroupaction.Answer:
			ack = g.Ack
		case dragonflygroupaction.Send:
			c.sendHeartbeat(a, g)
		case dragonflygroupaction.Load:
			a.group, a.fence = g.Order.Group, g.Order.Fence
			c.completeOrder(a, g)
		case dragonflygroupaction.Unload:
			a.group = 0
			c.completeOrder(a, g)
		}
	}
	return ack
}

func (c *cluster) completeOrder(a *agent, g dragonflygroupaction.Action) {
	c.stepGroup(a, dragonflygroupevent.Event{Kind: dragonflygroupevent.OrderResolved, Fence: g.Order.Fence, Outcome: dragonflygroupevent.Done})
	c.announce(a)
}

func (c *cluster) sendHeartbeat(head *agent, g dragonflygroupaction.Action) {
	for i, a := range c.agents {
		if name(i) == g.Member.Instance && !a.dead {
			ack := c.stepGroup(a, dragonflygroupevent.Event{Kind: dragonflygroupevent.HeartbeatReceived, Heartbeat: g.Heartbeat})
			c.stepGroup(head, dragonflygroupevent.Event{Kind: dragonflygroupevent.Acked, Ack: ack})
		}
	}
}

// orderGroup orders all agents into one group, whose head is the first.
func (c *cluster) orderGroup(group uint64) {
	c.order = dragonflygrouporder.Order{Kind: dragonflygrouporder.Form, Group: group, Fence: group}
	for i := range c.agents {
		c.order.Members = append(c.order.Members, dragonflymember.Member{Instance: name(i)})
	}
}

// offer submits a completion to the head and returns its id.
func (c *cluster) offer(group uint64) uint64 {
	c.lastID++
	w := dragonflywork.Work{Kind: dragonflywork.Completion, Group: group, Fence: group, Class: "live", ConfirmationAge: dragonflyduration.Minute}
	c.step(c.agents[0], dragonflyagentevent.Event{Kind: dragonflyagentevent.Admission,
		Admission: dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.Offered, ID: c.lastID, Work: w}})
	return c.lastID
}

func (c *cluster) finish(id uint64) {
	c.step(c.agents[0], dragonflyagentevent.Event{Kind: dragonflyagentevent.Admission,
		Admission: dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.Finished, ID: id}})
}

// assertDecision checks that the head decides want on new work for the group.
func (c *cluster) assertDecision(group uint64, want string) uint64 {
	id := c.offer(group)
	So(c.agents[0].decided[id], ShouldEqual, want)
	return id
}

func TestCore(t *testing.T) {
	newServingCluster := func() *cluster {
		c := newCluster(8)
		c.orderGroup(7)
		c.run(4000 * ms)
		So(c.agents[0].core.Report().GroupReady, ShouldBeTrue)
		return c
	}
	Convey("Eight agents form one group and its head accepts work", t, func() {
		c := newServingCluster()
		id := c.assertDecision(7, "started")
		c.assertDecision(6, dragonflyframe.ReasonWrongGroup)
		So(c.agents[0].core.Report().Load.InFlight, ShouldEqual, 1)
		c.finish(id)
		So(c.agents[0].core.Report().Load.InFlight, ShouldEqual, 0)
	})
	Convey("A group stops within the lease when it loses a member, and the survivors form a new one", t, func() {
		c := newServingCluster()
		c.agents[3].dead = true
		c.run(1200 * ms)
		c.assertDecision(7, dragonflyframe.ReasonNoLease)
		So(c.agents[0].core.Report().LostMembers, ShouldResemble, []string{"i3"})
		survivors := append(c.agents[:3:3], c.agents[4:]...)
		c.orderGroup(8)
		c.order.Members = append(c.order.Members[:3:3], c.order.Members[4:]...)
		c.run(1200 * ms) // the next report follows within 1 s
		for _, a := range survivors {
			So(a.core.Report().Group, ShouldEqual, 8)
		}
		c.assertDecision(8, "started")
	})
	Convey("A leaving member stays until the head has finished the running requests", t, func() {
		c := newServingCluster()
		id := c.assertDecision(7, "started")
		c.stepGroup(c.agents[5], dragonflygroupevent.Event{Kind: dragonflygroupevent.Leave})
		c.run(500 * ms)
		c.assertDecision(7, dragonflyframe.ReasonLeaving)
		c.run(10_000 * ms)
		So(c.agents[0].core.Group().Lease().Ready(), ShouldBeTrue)
		So(c.agents[5].core.Group().Membership().ShutdownComplete(), ShouldBeFalse)
		c.finish(id)
		c.run(3000 * ms)
		So(c.agents[5].core.Group().Membership().ShutdownComplete(), ShouldBeTrue)
	})
	Convey("An agent refuses work when the configuration from control takes its zone out", t, func() {
		c := newServingCluster()
		c.config = c.config.WithVersion(2).WithZone(dragonflyzone.Zone{}.WithName("zona-a").WithOut(true))
		c.run(1000 * ms)
		c.assertDecision(7, dragonflyframe.ReasonZoneOut)
	})
	Convey("An agent that is isolated from control refuses work after 3 s, and its group keeps its lease", t, func() {
		c := newServingCluster()
		for _, a := range c.agents {
			a.isolated = true
		}
		c.run(3100 * ms)
		c.assertDecision(7, dragonflyframe.ReasonStaleConfig)
		So(c.agents[0].core.Group().Lease().Ready(), ShouldBeTrue)
	})
}
