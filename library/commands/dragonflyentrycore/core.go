// Package dragonflyentrycore composes the cores of an entry: routing, the answers
// of all requests in progress, and the claims of calls. One goroutine steps it.
package dragonflyentrycore

import (
	"dragonflyrelay.example/library/commands/dragonflyrouting"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyclaimevent"
	"dragonflyrelay.example/library/values/dragonflyentryaction"
	"dragonflyrelay.example/library/values/dragonflyentryevent"
	"dragonflyrelay.example/library/values/dragonflyroutingaction"
	"dragonflyrelay.example/library/values/dragonflyroutingevent"
)

// Defaults of the zero Core.
const (
	// DefaultRouteWait is how long a request waits for a route. It spans a
	// watch period, so that a route that becomes ready is still used.
	DefaultRouteWait = 1500 * dragonflyduration.Millisecond
	// DefaultStall is the silence between tokens after which a completion is
	// taken for lost. It exceeds a group's lease (1.2 s) and the detection of a
	// silent engine by its agent.
	DefaultStall = 3 * dragonflyduration.Second
	// startSilence and queueSilence are the silences allowed before the first
	// token, after and before the start, if the class has no target.
	startSilence = 10 * dragonflyduration.Second
	queueSilence = 30 * dragonflyduration.Second
	// silenceTargets is the silence before the first token in targets of the
	// class, at least the stall time. Such a request has missed its target by
	// far, and moving it repeats at most its prefill.
	silenceTargets = 8
	// maxAttempts bounds the attempts at one request, so that a request that
	// breaks its upstreams cannot go round all of them.
	maxAttempts = 8
	// maxLosses bounds the attempts that break after they were started, since
	// the request itself may be what breaks the upstream. Four cover a second
	// loss right after a repair, with one to spare.
	maxLosses = 4
)

// Core is the state of an entry. The zero value knows no route.
type Core struct {
	routing   dragonflyrouting.Routing
	flights   dragonflymap.Map[string, *flight] // by request id; see flight
	inFlight  dragonflymap.Map[string, int]     // by workspace
	routeWait dragonflyduration.Duration
	stall     dragonflyduration.Duration
}

// WithRouting returns the core with the given routing.
func (c Core) WithRouting(v dragonflyrouting.Routing) Core {
	c.routing = v
	return c
}

// WithRouteWait returns the core whose requests wait for a route up to v; 0
// means DefaultRouteWait.
func (c Core) WithRouteWait(v dragonflyduration.Duration) Core {
	c.routeWait = v
	return c
}

// WithStall returns the core that takes a completion for lost after a silence
// of v between tokens; 0 means DefaultStall.
func (c Core) WithStall(v dragonflyduration.Duration) Core {
	c.stall = v
	return c
}

// Routing returns the state of the routing.
func (c Core) Routing() dragonflyrouting.Routing { return c.routing }

// InFlight returns the number of requests in progress, including claimed calls
// whose caller has its answer while the claim is being settled.
func (c Core) InFlight() int { return c.flights.Len() }

// Step decides on ev at now.
func (c Core) Step(now dragonflyinstant.Instant, ev dragonflyentryevent.Event) (next Core, acts []dragonflyentryaction.Action) {
	switch ev.Kind {
	case dragonflyentryevent.Begin:
		return c.begin(now, ev)
	case dragonflyentryevent.ReceiveTable:
		c, _ = c.route(now, dragonflyroutingevent.Event{Kind: dragonflyroutingevent.ReceiveTable, Table: ev.Table, SentAt: ev.SentAt})
		return c.each(now, Core.seekIfWaiting)
	case dragonflyentryevent.Tick:
		return c.each(now, Core.tick)
	}
	f, ok := c.flight(ev.Request)
	if !ok {
		return c, nil
	}
	switch ev.Kind {
	case dragonflyentryevent.Frame:
		return c.piece(now, f, ev.Frame)
	case dragonflyentryevent.Proposed:
		return c.stepClaim(now, f, dragonflyclaimevent.Event{Kind: dragonflyclaimevent.Proposed, Result: ev.Result})
	case dragonflyentryevent.Disconnect:
		return c.vanish(now, f)
	}
	return c, nil
}

// each applies step to every flight.
func (c Core) each(now dragonflyinstant.Instant, step func(Core, dragonflyinstant.Instant, flight) (Core, []dragonflyentryaction.Action)) (Core, []dragonflyentryaction.Action) {
	var acts []dragonflyentryaction.Action
	for _, f := range c.flights.All() {
		next, more := step(c, now, *f)
		c, acts = next, append(acts, more...)
	}
	return c, acts
}

// route steps the routing.
func (c Core) route(now dragonflyinstant.Instant, ev dragonflyroutingevent.Event) (Core, []dragonflyroutingaction.Action) {
	next, acts := c.routing.Step(now, ev)
	c.routing = next
	return c, acts
}

func (c Core) begin(now dragonflyinstant.Instant, ev dragonflyentryevent.Event) (Core, []dragonflyentryaction.Action) {
	if _, ok := c.flights.Get(ev.Request); ok {
		return c, nil
	}
	f := newFlight(now, ev)
	n, _ := c.inFlight.Get(f.work.Workspace)
	if ev.MaxInFlight > 0 && n >= ev.MaxInFlight {
		return c, []dragonflyentryaction.Action{f.lost(dragonflyentryaction.ReasonWorkspaceLimit), f.forget()}
	}
	c.inFlight = c.inFlight.With(f.work.Workspace, n+1)
	c, _ = c.route(now, dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Arrive, Class: f.work.Class})
	c = c.with(f)
	if f.claim.Active() {
		return c.stepClaim(now, f, dragonflyclaimevent.Event{Kind: dragonflyclaimevent.Begin})
	}
	return c.seek(now, f)
}

func (c Core) flight(id string) (f flight, ok bool) {
	p, ok := c.flights.Get(id)
	if !ok {
		return f, false
	}
	return *p, true
}

func (c Core) with(f flight) Core {
	c.flights = c.flights.With(f.work.Request, &f)
	return c
}

// without removes a flight that has ended.
func (c Core) without(f flight) (Core, dragonflyentryaction.Action) {
	c.flights = c.flights.Without(f.work.Request)
	n, _ := c.inFlight.Get(f.work.Workspace)
	if n <= 1 {
		c.inFlight = c.inFlight.Without(f.work.Workspace)
	} else {
		c.inFlight = c.inFlight.With(f.work.Workspace, n-1)
	}
	return c, f.forget()
}

// silence returns how long the current attempt may say nothing.
func (c Core) silence(f flight) dragonflyduration.Duration {
	stall := c.stall
	if stall <= 0 {
		stall = DefaultStall
	}
	switch {
	case f.answer.Tokens().Len() > len(f.work.Delivered):
		return stall
	case f.work.FirstToken > 0:
		return max(stall, silenceTargets*f.work.FirstToken)
	case f.started:
		return startSilence
	default:
		return queueSilence
	}
}
