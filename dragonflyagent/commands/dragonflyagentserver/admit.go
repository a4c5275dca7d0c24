package dragonflyagentserver

import (
	"context"

	"dragonflyrelay.example/library/commands/dragonflyadmission"
	"dragonflyrelay.example/library/commands/dragonflyfairqueue"
	"dragonflyrelay.example/library/commands/dragonflylimit"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyduty"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyadmissionaction"
	"dragonflyrelay.example/library/values/dragonflyadmissionevent"
	"dragonflyrelay.example/library/values/dragonflyconditions"
	"dragonflyrelay.example/library/values/dragonflygroupevent"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
)

// admitTick is the time between ticks of the admission duty. It is the most by which
// an adjustment of the concurrency limit, due every 250 ms, can be late.
const admitTick = 50 * dragonflyduration.Millisecond

// admitInput is an event for the admission duty, or a change of its conditions.
type admitInput struct {
	ev dragonflyadmissionevent.Event
	// merge, if not nil, returns the changed conditions; ev is then ignored.
	merge func(dragonflyconditions.Conditions) dragonflyconditions.Conditions
	// decision receives Start or Refuse for an offered request.
	decision chan<- dragonflyadmissionaction.Action
}

// admitDutyState is the state of the admission duty outside of its core.
type admitDutyState struct {
	s              *Server
	conditions     dragonflyconditions.Conditions
	decisions      map[uint64]chan<- dragonflyadmissionaction.Action
	published      dragonflygroupevent.Event // the latest event sent to the group duty
	adoptedVersion uint64                    // the latest configuration version passed to Server.Adopted
}

// admitDuty returns the duty that runs the admission core.
func (s *Server) admitDuty() *dragonflyduty.Duty[dragonflyadmission.Admission, admitInput, dragonflyadmissionaction.Action] {
	a := &admitDutyState{s: s, decisions: map[uint64]chan<- dragonflyadmissionaction.Action{}}
	a.conditions.ServeWithoutControl = s.Settings.ServeWithoutControl
	return &dragonflyduty.Duty[dragonflyadmission.Admission, admitInput, dragonflyadmissionaction.Action]{
		In: s.admitRing,
		State: dragonflyadmission.Admission{}.
			WithLimit(dragonflylimit.Limit{Ceiling: s.Settings.MaxConcurrency}).
			WithQueue(dragonflyfairqueue.Queue{Capacity: s.Settings.Queue}),
		Step:    a.step,
		Act:     a.act,
		Publish: a.publish,
		Tick: func() admitInput {
			return admitInput{ev: dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.Tick}}
		},
		Period: admitTick,
		Clock:  s.Clock,
	}
}

func (a *admitDutyState) step(c dragonflyadmission.Admission, now dragonflyinstant.Instant, in admitInput) (dragonflyadmission.Admission, []dragonflyadmissionaction.Action) {
	ev := in.ev
	if in.merge != nil {
		a.conditions = in.merge(a.conditions)
		ev = dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.ConditionsChanged, Conditions: a.conditions}
	}
	switch ev.Kind {
	case dragonflyadmissionevent.Offered:
		a.decisions[ev.ID] = in.decision
	case dragonflyadmissionevent.Cancelled:
		delete(a.decisions, ev.ID)
	}
	return c.Step(now, ev)
}

// publish stores the load and reports a new configuration version to Server.Adopted.
// It notifies the group duty when the agent becomes idle or busy, or admission closes
// or opens, which decides when a group can be left. If the group ring is full, it
// tries again at the next tick.
func (a *admitDutyState) publish(c dragonflyadmission.Admission) {
	if v := a.conditions.Config.Version(); v != a.adoptedVersion {
		a.adoptedVersion = v
		if a.s.Adopted != nil {
			a.s.Adopted(v)
		}
	}
	l := c.Load()
	a.s.load.Store(l)
	ev := dragonflygroupevent.Event{Kind: dragonflygroupevent.RequestsCounted, Count: l.InFlight + l.Queued, Closed: c.Closed()}
	if (ev.Count == 0) == (a.published.Count == 0) && ev.Closed == a.published.Closed && a.published.Kind != 0 {
		return
	}
	if a.s.groupRing.TryPut(groupInput{ev: ev}) == nil {
		a.published = ev
	}
}

func (a *admitDutyState) act(_ context.Context, act dragonflyadmissionaction.Action) {
	switch act.Kind {
	case dragonflyadmissionaction.LimitChanged:
		counters.Add("limit-"+act.Reason, 1)
		a.s.addOccurrence(dragonflyoccurrence.Occurrence{Event: "limit-" + act.Reason})
	case dragonflyadmissionaction.Start, dragonflyadmissionaction.Refuse:
		if d, ok := a.decisions[act.ID]; ok {
			delete(a.decisions, act.ID)
			d <- act
		}
	}
}
