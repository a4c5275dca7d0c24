// Package dragonflyentrycore composes the cores of an entry: routing, the answers
// of all requests in progress, and the claims of calls with an idempotency key. A
// Core is stepped by one goroutine.
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
	// watch period, so that a route that becomes ready in the meantime is used.
	DefaultRouteWait = 1500 * dragonflyduration.Millisecond
	// DefaultStallTimeout is the time without a token after which a completion in
	// progress is considered lost. It exceeds a group's lease (1.2 s) and the time
	// in which an agent detects that its engine has stopped responding.
	DefaultStallTimeout = 3 * dragonflyduration.Second
	// startedTimeout and queuedTimeout bound the time without a frame before the
	// first token, after and before the start of the attempt respectively, if the
	// class has no target for the first token.
	startedTimeout = 10 * dragonflyduration.Second
	queuedTimeout  = 30 * dragonflyduration.Second
	// maxTickGap is the time between two ticks after which the process has stood still.
	// Ticks are much more frequent, and it is less than the stall timeout.
	maxTickGap = dragonflyduration.Second
	// firstTokenTargets is the time allowed without a frame before the first token,
	// in multiples of the class's first-token target; it is at least the stall
	// timeout. A request that waits longer has missed its target by far, and moving
	// it repeats at most its prefill.
	firstTokenTargets = 8
	// maxAttempts bounds the attempts at one request, so that a request that
	// crashes its upstreams cannot reach all of them.
	maxAttempts = 8
	// maxLosses bounds the attempts that fail after they were started, since the
	// request itself may be what crashes the upstream. Four cover a second loss
	// right after a repair, with one to spare.
	maxLosses = 4
)

// Core is the state of an entry. The zero value has no route.
type Core struct {
	routing      dragonflyrouting.Routing
	requests     dragonflymap.Map[string, *request] // by request id; see request
	inFlight     dragonflymap.Map[string, int]      // by workspace
	routeWait    dragonflyduration.Duration
	stallTimeout dragonflyduration.Duration
	tickedAt     dragonflyinstant.Instant // the latest tick, 0 before the first one
	resumedAt    dragonflyinstant.Instant // when the process last stood still until, 0 if it has not
}

// WithRouting returns the core with the routing v.
func (c Core) WithRouting(v dragonflyrouting.Routing) Core {
	c.routing = v
	return c
}

// WithRouteWait returns the core whose requests wait up to v for a route; 0
// means DefaultRouteWait.
func (c Core) WithRouteWait(v dragonflyduration.Duration) Core {
	c.routeWait = v
	return c
}

// WithStallTimeout returns the core that considers a completion lost if no token
// follows the previous one within v; 0 means DefaultStallTimeout.
func (c Core) WithStallTimeout(v dragonflyduration.Duration) Core {
	c.stallTimeout = v
	return c
}

// Routing returns the state of the routing.
func (c Core) Routing() dragonflyrouting.Routing { return c.routing }

// InFlight returns the number of requests in progress, including claimed calls
// that have been answered but whose claim is not settled yet.
func (c Core) InFlight() int { return c.requests.Len() }

// Step returns the core after the event ev, which occurred at now, and the actions
// to carry out.
func (c Core) Step(now dragonflyinstant.Instant, ev dragonflyentryevent.Event) (next Core, acts []dragonflyentryaction.Action) {
	switch ev.Kind {
	case dragonflyentryevent.Begin:
		return c.begin(now, ev)
	case dragonflyentryevent.ReceiveTable:
		c, _ = c.stepRouting(now, dragonflyroutingevent.Event{Kind: dragonflyroutingevent.ReceiveTable, Table: ev.Table, SentAt: ev.SentAt})
		return c.forEach(now, Core.findRouteIfWaiting)
	case dragonflyentryevent.Tick:
		if c.tickedAt != 0 && now.Sub(c.tickedAt) > maxTickGap {
			c.resumedAt = now
		}
		c.tickedAt = now
		return c.forEach(now, Core.tick)
	}
	rq, ok := c.request(ev.Request)
	if !ok {
		return c, nil
	}
	switch ev.Kind {
	case dragonflyentryevent.Frame:
		return c.handleFrame(now, rq, ev.Frame)
	case dragonflyentryevent.Proposed:
		return c.stepClaim(now, rq, dragonflyclaimevent.Event{Kind: dragonflyclaimevent.Proposed, Result: ev.Result})
	case dragonflyentryevent.Disconnect:
		return c.disconnect(now, rq)
	}
	return c, nil
}

// forEach applies step to every request in progress.
func (c Core) forEach(now dragonflyinstant.Instant, step func(Core, dragonflyinstant.Instant, request) (Core, []dragonflyentryaction.Action)) (Core, []dragonflyentryaction.Action) {
	var acts []dragonflyentryaction.Action
	for _, rq := range c.requests.All() {
		next, more := step(c, now, *rq)
		c, acts = next, append(acts, more...)
	}
	return c, acts
}

// stepRouting applies ev to the routing and returns the resulting actions.
func (c Core) stepRouting(now dragonflyinstant.Instant, ev dragonflyroutingevent.Event) (Core, []dragonflyroutingaction.Action) {
	next, acts := c.routing.Step(now, ev)
	c.routing = next
	return c, acts
}

func (c Core) begin(now dragonflyinstant.Instant, ev dragonflyentryevent.Event) (Core, []dragonflyentryaction.Action) {
	if _, ok := c.requests.Get(ev.Request); ok {
		return c, nil
	}
	rq := newRequest(now, ev)
	n, _ := c.inFlight.Get(rq.work.Workspace)
	if ev.MaxInFlight > 0 && n >= ev.MaxInFlight {
		return c, []dragonflyentryaction.Action{rq.incomplete(dragonflyentryaction.ReasonWorkspaceLimit), rq.forget()}
	}
	c.inFlight = c.inFlight.With(rq.work.Workspace, n+1)
	c, _ = c.stepRouting(now, dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Arrive, Class: rq.work.Class})
	c = c.withRequest(rq)
	if rq.claim.Active() {
		return c.stepClaim(now, rq, dragonflyclaimevent.Event{Kind: dragonflyclaimevent.Begin})
	}
	return c.findRoute(now, rq)
}

func (c Core) request(id string) (rq request, ok bool) {
	p, ok := c.requests.Get(id)
	if !ok {
		return rq, false
	}
	return *p, true
}

func (c Core) withRequest(rq request) Core {
	c.requests = c.requests.With(rq.work.Request, &rq)
	return c
}

// withoutRequest removes rq, which has ended, and returns the action that releases it.
func (c Core) withoutRequest(rq request) (Core, dragonflyentryaction.Action) {
	c.requests = c.requests.Without(rq.work.Request)
	n, _ := c.inFlight.Get(rq.work.Workspace)
	if n <= 1 {
		c.inFlight = c.inFlight.Without(rq.work.Workspace)
	} else {
		c.inFlight = c.inFlight.With(rq.work.Workspace, n-1)
	}
	return c, rq.forget()
}

// silence returns the time since the latest frame of rq, without the time for which the
// process has stood still: frames that came meanwhile may not have been read yet.
func (c Core) silence(now dragonflyinstant.Instant, rq request) dragonflyduration.Duration {
	return now.Sub(max(rq.lastFrameAt, c.resumedAt))
}

// silenceTimeout returns how long the current attempt of rq may send no frame.
func (c Core) silenceTimeout(rq request) dragonflyduration.Duration {
	stall := c.stallTimeout
	if stall <= 0 {
		stall = DefaultStallTimeout
	}
	switch {
	case rq.answer.Tokens().Len() > len(rq.work.Delivered):
		return stall
	case rq.work.FirstToken > 0:
		return max(stall, firstTokenTargets*rq.work.FirstToken)
	case rq.started:
		return startedTimeout
	default:
		return queuedTimeout
	}
}
