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

// groupTick is the time between ticks of the group duty. It bounds the delay of
// a heartbeat and of the detection that a member's promise
// to belong to no other group has expired.
const groupTick = 50 * dragonflyduration.Millisecond

// groupInput is an event for the group duty.
type groupInput struct {
	ev dragonflygroupevent.Event
	// ack receives the answer to a heartbeat.
	ack chan<- dragonflyheartbeatack.Ack
	// shutdownDone receives a value when a graceful shutdown is complete.
	shutdownDone chan<- struct{}
}

// groupOutput is an action of the group core with the ack channel of the event
// that caused it.
type groupOutput struct {
	act dragonflygroupaction.Action
	ack chan<- dragonflyheartbeatack.Ack
}

// groupDutyState is the state of the group duty outside of its core.
type groupDutyState struct {
	s                *Server
	shutdownDone     chan<- struct{}
	shutdownComplete bool
	senders          map[string]*sender
	published        dragonflyconditions.Conditions
	state            string
	urgentState      urgentState
}

// urgentState is the part of the state whose changes are reported to control at
// once.
type urgentState struct {
	leaseLapsed           bool
	state                 string
	ready, alive, leaving bool
	lostMembers           int
}

// groupDuty returns the duty that runs the membership and lease core.
func (s *Server) groupDuty() *dragonflyduty.Duty[dragonflygroupcore.Core, groupInput, groupOutput] {
	g := &groupDutyState{s: s, senders: map[string]*sender{}}
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

func (g *groupDutyState) step(c dragonflygroupcore.Core, now dragonflyinstant.Instant, in groupInput) (dragonflygroupcore.Core, []groupOutput) {
	if in.shutdownDone != nil {
		g.shutdownDone = in.shutdownDone
	}
	next, acts := c.Step(now, in.ev)
	out := make([]groupOutput, len(acts))
	for i, a := range acts {
		out[i] = groupOutput{a, in.ack}
	}
	return next, out
}

// publish stores the new state for the other duties, before any of its actions
// is carried out.
func (g *groupDutyState) publish(c dragonflygroupcore.Core) {
	g.s.gate.Store(c.Gate())
	g.s.group.Store(c)
	if state := stateName(c.Membership()); state != g.state {
		g.state = state
		g.s.addOccurrence(dragonflyoccurrence.Occurrence{Event: "membership-" + state, Group: c.Membership().Group().Group})
	}
	o := urgentState{state: g.state, ready: c.Lease().Ready(), alive: c.Membership().Alive(), leaving: c.Leaving(), leaseLapsed: c.Report().GroupLeaseLapsed}
	if c.Lease().HasGroup() {
		o.lostMembers = len(c.Lease().LostMembers())
	}
	if o != g.urgentState {
		g.urgentState = o
		_ = g.s.reportRing.TryPut(struct{}{})
	}
	cond := c.Conditions(dragonflyconditions.Conditions{})
	if !sameConditions(cond, g.published) && g.s.admitRing.TryPut(admitInput{merge: func(old dragonflyconditions.Conditions) dragonflyconditions.Conditions {
		return c.Conditions(old)
	}}) == nil {
		g.published = cond
	}
	// Completion is signalled one step later, after the actions of leaving have
	// been carried out.
	if g.shutdownDone != nil && g.shutdownComplete {
		g.shutdownDone <- struct{}{}
		g.shutdownDone = nil
	}
	g.shutdownComplete = c.Membership().ShutdownComplete()
}

func sameConditions(a, b dragonflyconditions.Conditions) bool {
	return slices.Equal(a.Zones, b.Zones) && a.Announcement == b.Announcement && a.Alive == b.Alive && a.Gate == b.Gate && a.Leaving == b.Leaving
}

func (g *groupDutyState) act(_ context.Context, out groupOutput) {
	a := out.act
	switch a.Kind {
	case dragonflygroupaction.Answer:
		out.ack <- a.Ack
	case dragonflygroupaction.Send:
		g.send(a)
	case dragonflygroupaction.Load, dragonflygroupaction.Unload:
		_ = g.s.orderRing.TryPut(engineOrder{load: a.Kind == dragonflygroupaction.Load, order: a.Order})
	case dragonflygroupaction.Join:
		g.record("group-joined", a.Order)
	case dragonflygroupaction.Release:
		g.record("group-released", a.Order)
	case dragonflygroupaction.Reject:
		counters.Add("orders-rejected", 1)
		g.s.addOccurrence(dragonflyoccurrence.Occurrence{Event: "order-rejected", Group: a.Order.Group, Detail: a.Reason})
	}
}

func (g *groupDutyState) record(event string, o dragonflygrouporder.Order) {
	counters.Add(event, 1)
	slog.Info(event, "instance", g.s.Settings.Instance, "group", o.Group, "fence", o.Fence)
	g.s.addOccurrence(dragonflyoccurrence.Occurrence{Event: event, Group: o.Group})
}

// handleHeartbeat passes a head's heartbeat to the group duty and returns the
// encoded acknowledgement.
func (s *Server) handleHeartbeat(ctx context.Context, req []byte) (res []byte, err error) {
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
