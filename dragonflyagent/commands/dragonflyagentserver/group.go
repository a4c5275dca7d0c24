package dragonflyagentserver

import (
	"context"
	"log/slog"
	"slices"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/commands/dragonflygroupcore"
	"dragonflyrelay.example/library/commands/dragonflymembership"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyduty"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyconditions"
	"dragonflyrelay.example/library/values/dragonflygroupaction"
	"dragonflyrelay.example/library/values/dragonflygroupevent"
	"dragonflyrelay.example/library/values/dragonflygrouporder"
	"dragonflyrelay.example/library/values/dragonflyheartbeatack"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
	"github.com/pkg/errors"
)

// groupTick is the time between ticks of the group duty. It bounds how late a
// heartbeat is sent and a promise is found to be over.
const groupTick = 50 * dragonflyduration.Millisecond

// groupInput is an event for the group duty.
type groupInput struct {
	ev dragonflygroupevent.Event
	// ack takes the answer to a heartbeat.
	ack chan<- dragonflyheartbeatack.Ack
	// left is told when a graceful shutdown is complete.
	left chan<- struct{}
}

// groupOutput is an action of the group core with what belongs to its event.
type groupOutput struct {
	act dragonflygroupaction.Action
	ack chan<- dragonflyheartbeatack.Ack
}

// grouper is what the group duty owns beside its core.
type grouper struct {
	s       *Server
	left    chan<- struct{}
	gone    bool
	senders map[string]*sender
	told    dragonflyconditions.Conditions
	state   string
	outline outline
}

// outline is what control should hear of at once when it changes.
type outline struct {
	lapsed              bool
	state               string
	ready, alive, leave bool
	lost                int
}

// groupDuty steps membership and lease.
func (s *Server) groupDuty() *dragonflyduty.Duty[dragonflygroupcore.Core, groupInput, groupOutput] {
	g := &grouper{s: s, senders: map[string]*sender{}}
	return &dragonflyduty.Duty[dragonflygroupcore.Core, groupInput, groupOutput]{
		In:    s.groupRing,
		State: dragonflygroupcore.Core{}.WithSelf(s.Settings.Instance).WithEpoch(s.Incarnation),
		Step:  g.step,
		Act:   g.act,
		Publish: func(c dragonflygroupcore.Core) {
			g.publish(c)
		},
		Tick:   func() groupInput { return groupInput{ev: dragonflygroupevent.Event{Kind: dragonflygroupevent.Tick}} },
		Period: groupTick,
		Clock:  s.Clock,
	}
}

func (g *grouper) step(c dragonflygroupcore.Core, now dragonflyinstant.Instant, in groupInput) (dragonflygroupcore.Core, []groupOutput) {
	if in.left != nil {
		g.left = in.left
	}
	next, acts := c.Step(now, in.ev)
	out := make([]groupOutput, len(acts))
	for i, a := range acts {
		out[i] = groupOutput{a, in.ack}
	}
	return next, out
}

// publish shows the new state to the other duties, before any action on it.
func (g *grouper) publish(c dragonflygroupcore.Core) {
	g.s.gate.Store(c.Gate())
	g.s.group.Store(c)
	if state := stateName(c.Membership()); state != g.state {
		g.state = state
		g.s.occur(dragonflyoccurrence.Occurrence{Event: "membership-" + state, Group: c.Membership().Group().Group})
	}
	o := outline{state: g.state, ready: c.Lease().Ready(), alive: c.Membership().Alive(), leave: c.Leaving(), lapsed: c.Report().GroupLeaseLapsed}
	if c.Lease().HasGroup() {
		o.lost = len(c.Lease().LostMembers())
	}
	if o != g.outline {
		g.outline = o
		_ = g.s.reportRing.TryPut(struct{}{})
	}
	cond := c.Conditions(dragonflyconditions.Conditions{})
	if !sameConditions(cond, g.told) && g.s.admitRing.TryPut(admitInput{merge: func(old dragonflyconditions.Conditions) dragonflyconditions.Conditions {
		return c.Conditions(old)
	}}) == nil {
		g.told = cond
	}
	// The shutdown goes on one step later, when the actions of leaving have been
	// carried out.
	if g.left != nil && g.gone {
		g.left <- struct{}{}
		g.left = nil
	}
	g.gone = c.Membership().ShutdownComplete()
}

func sameConditions(a, b dragonflyconditions.Conditions) bool {
	return slices.Equal(a.Zones, b.Zones) && a.Announcement == b.Announcement && a.Alive == b.Alive && a.Gate == b.Gate && a.Leaving == b.Leaving
}

func (g *grouper) act(_ context.Context, out groupOutput) {
	a := out.act
	switch a.Kind {
	case dragonflygroupaction.Answer:
		out.ack <- a.Ack
	case dragonflygroupaction.Send:
		g.send(a)
	case dragonflygroupaction.Load, dragonflygroupaction.Unload:
		_ = g.s.orderRing.TryPut(engineOrder{load: a.Kind == dragonflygroupaction.Load, order: a.Order})
	case dragonflygroupaction.Join:
		g.note("group-joined", a.Order)
	case dragonflygroupaction.Release:
		g.note("group-released", a.Order)
	case dragonflygroupaction.Reject:
		counters.Add("orders-rejected", 1)
		g.s.occur(dragonflyoccurrence.Occurrence{Event: "order-rejected", Group: a.Order.Group, Detail: a.Reason})
	}
}

func (g *grouper) note(event string, o dragonflygrouporder.Order) {
	counters.Add(event, 1)
	slog.Info(event, "instance", g.s.Settings.Instance, "group", o.Group, "fence", o.Fence)
	g.s.occur(dragonflyoccurrence.Occurrence{Event: event, Group: o.Group})
}

// heartbeat answers the heartbeat of a head.
func (s *Server) heartbeat(ctx context.Context, req []byte) (res []byte, err error) {
	h, err := dragonflycodec.UnmarshalHeartbeat(req)
	if err != nil {
		return nil, err
	}
	counters.Add("heartbeats-heard", 1)
	ack := make(chan dragonflyheartbeatack.Ack, 1)
	in := groupInput{ev: dragonflygroupevent.Event{Kind: dragonflygroupevent.HeartbeatReceived, Heartbeat: h}, ack: ack}
	if err := s.groupRing.Put(ctx, in); err != nil {
		return nil, err
	}
	select {
	case a := <-ack:
		return dragonflycodec.MarshalAck(a)
	case <-ctx.Done():
		return nil, errors.WithMessage(ctx.Err(), "answer heartbeat")
	}
}

func stateName(m dragonflymembership.Membership) string {
	switch m.State() {
	case dragonflymembership.Free:
		return "free"
	case dragonflymembership.Joining:
		return "joining"
	case dragonflymembership.Member:
		return "member"
	case dragonflymembership.Releasing:
		return "releasing"
	default:
		return "unknown"
	}
}
