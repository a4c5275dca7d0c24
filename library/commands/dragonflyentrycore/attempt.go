package dragonflyentrycore

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyanswerverdict"
	"dragonflyrelay.example/library/values/dragonflyclaimevent"
	"dragonflyrelay.example/library/values/dragonflyentryaction"
	"dragonflyrelay.example/library/values/dragonflypiece"
	"dragonflyrelay.example/library/values/dragonflyroute"
	"dragonflyrelay.example/library/values/dragonflyroutingaction"
	"dragonflyrelay.example/library/values/dragonflyroutingevent"
	"dragonflyrelay.example/library/values/dragonflywork"
)

// findRoute asks for a route for the next attempt of f and sends it there, or lets f
// wait until its time for that is over.
func (c Core) findRoute(now dragonflyinstant.Instant, f request) (Core, []dragonflyentryaction.Action) {
	switch {
	case f.losses >= maxLosses:
		return c.finish(now, f, f.incomplete(dragonflyentryaction.ReasonLosses))
	case f.answer.Attempt() > maxAttempts:
		return c.finish(now, f, f.incomplete(dragonflyentryaction.ReasonAttempts))
	}
	c, acts := c.stepRouting(now, dragonflyroutingevent.Event{
		Kind: dragonflyroutingevent.Want, Class: f.work.Class, Model: f.work.Model, Service: f.work.Service,
		Affinity: f.affinity(), Remaining: f.remaining(now), Tried: f.tried,
		Retry: f.retry, Forced: f.lastLost,
	})
	if acts[0].Kind == dragonflyroutingaction.Use {
		return c.send(now, f, acts[0].Route)
	}
	if f.waitUntil == 0 {
		wait := c.routeWait
		if wait <= 0 {
			wait = DefaultRouteWait
		}
		f.waitUntil = now.Add(wait)
	}
	f.waiting = true
	if now.Before(f.waitUntil) {
		return c.withRequest(f), nil
	}
	if f.reason == "" {
		f.reason = acts[0].Reason
	}
	return c.finish(now, f, f.incomplete(f.reason))
}

func (c Core) findRouteIfWaiting(now dragonflyinstant.Instant, f request) (Core, []dragonflyentryaction.Action) {
	if !f.waiting {
		return c, nil
	}
	return c.findRoute(now, f)
}

// send makes the next attempt of f on r.
func (c Core) send(now dragonflyinstant.Instant, f request, r dragonflyroute.Route) (Core, []dragonflyentryaction.Action) {
	f.waiting, f.started, f.routeKey, f.sentAt, f.lastFrameAt = false, false, r.Key, now, now
	f.work.Attempt, f.work.Group, f.work.Fence = f.answer.Attempt(), r.Group, r.Fence
	f.work.Delivered = f.answer.Delivered()
	f.work.Deadline = f.remaining(now)
	f.work.ConfigVersion = c.routing.Config().Version()
	f.work.ConfirmationAge, _ = c.routing.ConfirmationAge(now)
	return c.withRequest(f), []dragonflyentryaction.Action{
		f.note("attempt-sent", " to "+r.Instance),
		{Kind: dragonflyentryaction.Send, Request: f.work.Request, Attempt: f.work.Attempt, Address: r.Address, Work: f.work},
	}
}

// handleFrame decides on a piece of f's answer.
func (c Core) handleFrame(now dragonflyinstant.Instant, f request, p dragonflypiece.Piece) (Core, []dragonflyentryaction.Action) {
	if f.routeKey == "" || p.Attempt != f.answer.Attempt() {
		return c, nil // It belongs to an attempt that no longer counts.
	}
	if p.Load.Limit > 0 {
		c, _ = c.stepRouting(now, dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Sample, Route: f.routeKey, Load: p.Load})
	}
	f.lastFrameAt = now
	switch {
	case p.Kind == dragonflypiece.Started:
		f.started, f.mayHaveRun = true, true
	case p.Kind == dragonflypiece.Token, p.Kind == dragonflypiece.Done, p.Kind == dragonflypiece.Response, p.Ran:
		f.started, f.mayHaveRun = f.started || p.Kind == dragonflypiece.Token, true
	}
	next, verdicts := f.answer.Step(now, p)
	old := f
	f.answer = next
	c = c.withRequest(f)
	if len(verdicts) == 0 {
		return c, nil
	}
	return c.decide(now, old, f, p, verdicts[0])
}

// decide carries out the verdict on p; old is the flight before it.
func (c Core) decide(now dragonflyinstant.Instant, old, f request, p dragonflypiece.Piece, v dragonflyanswerverdict.Verdict) (Core, []dragonflyentryaction.Action) {
	switch v.Kind {
	case dragonflyanswerverdict.Deliver:
		f.waitUntil = 0
		c = c.withRequest(f)
		if f.callerDone {
			return c, nil
		}
		return c, []dragonflyentryaction.Action{{Kind: dragonflyentryaction.Progress, Request: f.work.Request, Tokens: f.answer.Tokens()}}
	case dragonflyanswerverdict.Finish:
		return c.complete(now, f, p)
	case dragonflyanswerverdict.Retry, dragonflyanswerverdict.Resume:
		return c.reroute(now, old, f, p, v)
	case dragonflyanswerverdict.Fail:
		c, f = c.endAttempt(now, f, dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Fail})
		f.mayHaveRun = true
		return c.finish(now, f, f.incomplete(v.Reason))
	}
	return c, nil
}

// endAttempt ends the current attempt of f in the routing.
func (c Core) endAttempt(now dragonflyinstant.Instant, f request, ev dragonflyroutingevent.Event) (Core, request) {
	ev.Route = f.routeKey
	c, _ = c.stepRouting(now, ev)
	f.routeKey = ""
	return c.withRequest(f), f
}

// complete ends f with its whole answer.
func (c Core) complete(now dragonflyinstant.Instant, f request, p dragonflypiece.Piece) (Core, []dragonflyentryaction.Action) {
	ev := dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Succeed}
	if at := f.answer.FirstToken(); at.After(f.sentAt) {
		ev.FirstToken = at.Sub(f.sentAt)
	}
	c, f = c.endAttempt(now, f, ev)
	return c.finish(now, f, f.end(dragonflyentryaction.Action{
		Outcome: dragonflyentryaction.Whole, Status: p.Status, Headers: p.Headers, Body: p.Body,
	}))
}

// reroute moves f to another route after a refusal or a failure.
func (c Core) reroute(now dragonflyinstant.Instant, old, f request, p dragonflypiece.Piece, v dragonflyanswerverdict.Verdict) (Core, []dragonflyentryaction.Action) {
	f = f.withTried(f.routeKey)
	f.reason, f.retryAfter = v.Reason, p.RetryAfter
	f.lastLost = p.Kind != dragonflypiece.Refused
	f.retry = f.lastLost || !notSent(p)
	if f.lastLost && old.started {
		f.losses++
	}
	acts := []dragonflyentryaction.Action{old.note("attempt-failed", ": "+v.Reason), old.cancel()}
	if !f.lastLost {
		acts = []dragonflyentryaction.Action{old.note("attempt-refused", ": "+v.Reason)}
	}
	c, f = c.endAttempt(now, f, routingEvent(p))
	if f.callerDone || f.expired(now) {
		next, more := c.finish(now, f, f.incomplete(dragonflyentryaction.ReasonDeadline))
		return next, append(acts, more...)
	}
	next, more := c.findRoute(now, f)
	return next, append(acts, more...)
}

// notSent reports whether p stands for an attempt that never left the entry.
func notSent(p dragonflypiece.Piece) bool {
	return p.Reason == dragonflyentryaction.ReasonNoConnection || p.Reason == dragonflyentryaction.ReasonEntryBusy
}

// routingEvent tells the routing what p says of its route. An entry without a free
// worker says nothing, and a refused connection is a failure of the route.
func routingEvent(p dragonflypiece.Piece) dragonflyroutingevent.Event {
	switch {
	case p.Kind != dragonflypiece.Refused || p.Reason == dragonflyentryaction.ReasonNoConnection:
		return dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Fail}
	case p.Reason == dragonflyentryaction.ReasonEntryBusy:
		return dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Abandon}
	default:
		return dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Refuse, Reason: p.Reason, RetryAfter: p.RetryAfter}
	}
}

// tick ends what has taken too long and lets claims and waits go on.
func (c Core) tick(now dragonflyinstant.Instant, f request) (Core, []dragonflyentryaction.Action) {
	if f.claim.Active() {
		var acts []dragonflyentryaction.Action
		c, acts = c.stepClaim(now, f, dragonflyclaimevent.Event{Kind: dragonflyclaimevent.Tick})
		next, ok := c.request(f.work.Request)
		if !ok || len(acts) > 0 {
			return c, acts
		}
		f = next
	}
	switch {
	case f.routeKey != "" && f.expired(now):
		return c.expire(now, f)
	case f.waiting && f.expired(now):
		return c.finish(now, f, f.incomplete(dragonflyentryaction.ReasonDeadline))
	case f.routeKey != "" && f.work.Kind == dragonflywork.Completion && now.Sub(f.lastFrameAt) > c.silenceTimeout(f):
		return c.handleFrame(now, f, dragonflypiece.Piece{
			Kind: dragonflypiece.Failed, Attempt: f.answer.Attempt(), Reason: dragonflyentryaction.ReasonStalled, Ran: true,
		})
	default:
		return c.findRouteIfWaiting(now, f)
	}
}

// expire ends f at its deadline. An attempt in progress may have run.
func (c Core) expire(now dragonflyinstant.Instant, f request) (Core, []dragonflyentryaction.Action) {
	acts := []dragonflyentryaction.Action{f.cancel()}
	c, f = c.endAttempt(now, f, dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Abandon})
	f.mayHaveRun = true
	next, more := c.finish(now, f, f.incomplete(dragonflyentryaction.ReasonDeadline))
	return next, append(acts, more...)
}
