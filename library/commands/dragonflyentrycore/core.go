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
	// DefaultStallTimeout is the silence between tokens after which a completion is
	// taken for lost. It exceeds a group's lease (1.2 s) and the detection of a
	// silent engine by its agent.
	DefaultStallTimeout = 3 * dragonflyduration.Second
	// startedTimeout and queuedTimeout are the silences allowed before the first
	// token, after and before the start, if the class has no target.
	startedTimeout = 10 * dragonflyduration.Second
	queuedTimeout  = 30 * dragonflyduration.Second
	// firstTokenTargets is the silence before the first token in targets of the
	// class, at least the stall time. Such a request has missed its target by
	// far, and moving it repeats at most its prefill.
	firstTokenTargets = 8
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
	routing      dragonflyrouting.Routing
	requests     dragonflymap.Map[string, *request] // by request id; see flight
	inFlight     dragonflymap.Map[string, int]      // by workspace
	routeWait    dragonflyduration.Duration
	stallTimeout dragonflyduration.Duration
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

// WithStallTimeout returns the core that takes a completion for lost after a silence
// of v between tokens; 0 means DefaultStallTimeout.
func (c Core) WithStallTimeout(v dragonflyduration.Duration) Core {
	c.stallTimeout = v
	return c
}

// Routing returns the state of the routing.
func (c Core) Routing() dragonflyrouting.Routing { return c.routing }

// InFlight returns the number of requests in progress, including claimed calls
// whose caller has its answer while the claim is being settled.
func (c Core) InFlight() int { return c.requests.Len() }

// Step decides on ev at now.
func (c Core) Step(now dragonflyinstant.Instant, ev dragonflyentryevent.Event) (next Core, acts []dragonflyentryaction.Action) {
	switch ev.Kind {
	case dragonflyentryevent.Begin:
		return c.begin(now, ev)
	case dragonflyentryevent.Learn:
		c, _ = c.stepRouting(now, dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Learn, Table: ev.Table, SentAt: ev.SentAt})
		return c.forEach(now, Core.findRouteIfWaiting)
	case dragonflyentryevent.Tick:
		return c.forEach(now, Core.tick)
	}
	f, ok := c.request(ev.Request)
	if !ok {
		return c, nil
	}
	switch ev.Kind {
	case dragonflyentryevent.Piece:
		return c.handleFrame(now, f, ev.Piece)
	case dragonflyentryevent.Proposed:
		return c.stepClaim(now, f, dragonflyclaimevent.Event{Kind: dragonflyclaimevent.Proposed, Result: ev.Result})
	case dragonflyentryevent.Vanish:
		return c.disconnect(now, f)
	}
	return c, nil
}

// forEach applies step to every flight.
func (c Core) forEach(now dragonflyinstant.Instant, step func(Core, dragonflyinstant.Instant, request) (Core, []dragonflyentryaction.Action)) (Core, []dragonflyentryaction.Action) {
	var acts []dragonflyentryaction.Action
	for _, f := range c.requests.All() {
		next, more := step(c, now, *f)
		c, acts = next, append(acts, more...)
	}
	return c, acts
}

// stepRouting steps the routing.
func (c Core) stepRouting(now dragonflyinstant.Instant, ev dragonflyroutingevent.Event) (Core, []dragonflyroutingaction.Action) {
	next, acts := c.routing.Step(now, ev)
	c.routing = next
	return c, acts
}

func (c Core) begin(now dragonflyinstant.Instant, ev dragonflyentryevent.Event) (Core, []dragonflyentryaction.Action) {
	if _, ok := c.requests.Get(ev.Request); ok {
		return c, nil
	}
	f := newRequest(now, ev)
	n, _ := c.inFlight.Get(f.work.Workspace)
	if ev.MaxInFlight > 0 && n >= ev.MaxInFlight {
		return c, []dragonflyentryaction.Action{f.incomplete(dragonflyentryaction.ReasonWorkspaceLimit), f.forget()}
	}
	c.inFlight = c.inFlight.With(f.work.Workspace, n+1)
	c, _ = c.stepRouting(now, dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Arrive, Class: f.work.Class})
	c = c.withRequest(f)
	if f.claim.Active() {
		return c.stepClaim(now, f, dragonflyclaimevent.Event{Kind: dragonflyclaimevent.Begin})
	}
	return c.findRoute(now, f)
}

func (c Core) request(id string) (f request, ok bool) {
	p, ok := c.requests.Get(id)
	if !ok {
		return f, false
	}
	return *p, true
}

func (c Core) withRequest(f request) Core {
	c.requests = c.requests.With(f.work.Request, &f)
	return c
}

// withoutRequest removes a flight that has ended.
func (c Core) withoutRequest(f request) (Core, dragonflyentryaction.Action) {
	c.requests = c.requests.Without(f.work.Request)
	n, _ := c.inFlight.Get(f.work.Workspace)
	if n <= 1 {
		c.inFlight = c.inFlight.Without(f.work.Workspace)
	} else {
		c.inFlight = c.inFlight.With(f.work.Workspace, n-1)
	}
	return c, f.forget()
}

// silenceTimeout returns how long the current attempt may say nothing.
func (c Core) silenceTimeout(f request) dragonflyduration.Duration {
	stall := c.stallTimeout
	if stall <= 0 {
		stall = DefaultStallTimeout
	}
	switch {
	case f.answer.Tokens().Len() > len(f.work.Delivered):
		return stall
	case f.work.FirstToken > 0:
		return max(stall, firstTokenTargets*f.work.FirstToken)
	case f.started:
		return startedTimeout
	default:
		return queuedTimeout
	}
}
