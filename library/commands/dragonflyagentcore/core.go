// Package dragonflyagentcore combines the decisions of one agent, namely
// membership, lease and admission, in a single state machine. The agent program
// runs each part in a goroutine of its own; this core is for callers that need an
// agent without goroutines.
package dragonflyagentcore

import (
	"dragonflyrelay.example/library/commands/dragonflyadmission"
	"dragonflyrelay.example/library/commands/dragonflygroupcore"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyadmissionaction"
	"dragonflyrelay.example/library/values/dragonflyadmissionevent"
	"dragonflyrelay.example/library/values/dragonflyagentaction"
	"dragonflyrelay.example/library/values/dragonflyagentevent"
	"dragonflyrelay.example/library/values/dragonflyconditions"
	"dragonflyrelay.example/library/values/dragonflyconfirmedconfig"
	"dragonflyrelay.example/library/values/dragonflygroupaction"
	"dragonflyrelay.example/library/values/dragonflygroupevent"
	"dragonflyrelay.example/library/values/dragonflyreport"
)

// Core is the state of one agent. The zero value, once it has its instance, is an
// agent that has just started.
type Core struct {
	group      dragonflygroupcore.Core
	admission  dragonflyadmission.Admission
	confirmed  dragonflyconfirmedconfig.ConfirmedConfig
	conditions dragonflyconditions.Conditions
}

// WithSelf returns the core of the instance with the given id.
func (c Core) WithSelf(instance string) Core {
	c.group = c.group.WithSelf(instance)
	return c
}

// WithEpoch returns the core of the process with the given epoch, which must be
// higher than that of any earlier process of the instance.
func (c Core) WithEpoch(epoch uint64) Core {
	c.group = c.group.WithEpoch(epoch)
	return c
}

// WithAdmission returns the core with the given admission and its policies and
// bounds.
func (c Core) WithAdmission(a dragonflyadmission.Admission) Core {
	c.admission = a
	return c
}

// WithServeWithoutControl returns a core that, if v is true, continues to serve
// when its configuration has not been confirmed for 3 s.
func (c Core) WithServeWithoutControl(v bool) Core {
	c.conditions.ServeWithoutControl = v
	return c
}

// Group returns the state of membership and lease.
func (c Core) Group() dragonflygroupcore.Core { return c.group }

// Admission returns the state of the queue and its concurrency limit.
func (c Core) Admission() dragonflyadmission.Admission { return c.admission }

// Report returns the agent's report to control. The caller adds the incarnation
// and the address.
func (c Core) Report() dragonflyreport.Report {
	r := c.group.Report()
	r.Load = c.admission.Load()
	r.ConfigVersion = c.confirmed.Config().Version()
	return r
}

// Step handles one event and returns the next state and the resulting actions.
func (c Core) Step(now dragonflyinstant.Instant, ev dragonflyagentevent.Event) (Core, []dragonflyagentaction.Action) {
	var acts []dragonflyagentaction.Action
	switch ev.Kind {
	case dragonflyagentevent.Group:
		c, acts = c.stepGroup(now, ev.Group)
	case dragonflyagentevent.Admission:
		c, acts = c.stepAdmission(now, ev.Admission)
	case dragonflyagentevent.OrdersReceived:
		c.confirmed = c.confirmed.WithOrders(ev.SentAt, ev.Orders)
		c, acts = c.stepGroup(now, dragonflygroupevent.Event{Kind: dragonflygroupevent.Ordered, Order: ev.Orders.Order})
	default:
		c, acts = c.stepGroup(now, dragonflygroupevent.Event{Kind: dragonflygroupevent.Tick})
		next, more := c.stepAdmission(now, dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.Tick})
		c, acts = next, append(acts, more...)
	}
	// Within the same step, admission receives the conditions that result from
	// the group state, and the group whether any requests remain.
	next, more := c.stepAdmission(now, dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.ConditionsChanged, Conditions: c.confirmed.Conditions(c.group.Conditions(c.conditions))})
	c, acts = next, append(acts, more...)
	l := c.admission.Load()
	c, more = c.stepGroup(now, dragonflygroupevent.Event{Kind: dragonflygroupevent.RequestsCounted, Count: l.InFlight + l.Queued, Closed: c.admission.Closed()})
	return c, append(acts, more...)
}

func (c Core) stepGroup(now dragonflyinstant.Instant, ev dragonflygroupevent.Event) (Core, []dragonflyagentaction.Action) {
	next, acts := c.group.Step(now, ev)
	c.group = next
	return c, wrap(acts, func(a dragonflygroupaction.Action) dragonflyagentaction.Action {
		return dragonflyagentaction.Action{Kind: dragonflyagentaction.Group, Group: a}
	})
}

func (c Core) stepAdmission(now dragonflyinstant.Instant, ev dragonflyadmissionevent.Event) (Core, []dragonflyagentaction.Action) {
	next, acts := c.admission.Step(now, ev)
	c.admission = next
	return c, wrap(acts, func(a dragonflyadmissionaction.Action) dragonflyagentaction.Action {
		return dragonflyagentaction.Action{Kind: dragonflyagentaction.Admission, Admission: a}
	})
}

func wrap[A any](acts []A, f func(A) dragonflyagentaction.Action) []dragonflyagentaction.Action {
	out := make([]dragonflyagentaction.Action, len(acts))
	for i, a := range acts {
		out[i] = f(a)
	}
	return out
}
