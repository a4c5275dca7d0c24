package dragonflyentrycore

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyanswerverdict"
	"dragonflyrelay.example/library/values/dragonflyclaimevent"
	"dragonflyrelay.example/library/values/dragonflyentryaction"
	"dragonflyrelay.example/library/values/dragonflyframe"
	"dragonflyrelay.example/library/values/dragonflyroute"
	"dragonflyrelay.example/library/values/dragonflyroutingaction"
	"dragonflyrelay.example/library/values/dragonflyroutingevent"
	"dragonflyrelay.example/library/values/dragonflywork"
)

// findRoute selects a route for the next attempt of rq and sends it there. Without a
// route rq waits up to the route wait and then fails.
func (c Core) findRoute(now dragonflyinstant.Instant, rq request) (Core, []dragonflyentryaction.Action) {
	switch {
	case rq.losses >= maxLosses:
		return c.finish(now, rq, rq.incomplete(dragonflyentryaction.ReasonLosses))
	case rq.answer.Attempt() > maxAttempts:
		return c.finish(now, rq, rq.incomplete(dragonflyentryaction.ReasonAttempts))
	}
	c, acts := c.stepRouting(now, dragonflyroutingevent.Event{
		Kind: dragonflyroutingevent.SelectRoute, Class: rq.work.Class, Model: rq.work.Model, Service: rq.work.Service,
		Affinity: rq.affinity(), Remaining: rq.remaining(now), Tried: rq.tried,
		Retry: rq.retry, Forced: rq.lastLost,
	})
	if acts[0].Kind == dragonflyroutingaction.Use {
		return c.send(now, rq, acts[0].Route)
	}
	if rq.waitUntil == 0 {
		wait := c.routeWait
		if wait <= 0 {
			wait = DefaultRouteWait
		}
		rq.waitUntil = now.Add(wait)
	}
	rq.waiting = true
	if now.Before(rq.waitUntil) {
		return c.withRequest(rq), nil
	}
	if rq.reason == "" {
		rq.reason = acts[0].Reason
	}
	return c.finish(now, rq, rq.incomplete(rq.reason))
}

func (c Core) findRouteIfWaiting(now dragonflyinstant.Instant, rq request) (Core, []dragonflyentryaction.Action) {
	if !rq.waiting {
		return c, nil
	}
	return c.findRoute(now, rq)
}

// send starts the next attempt of rq on the route r.
func (c Core) send(now dragonflyinstant.Instant, rq request, r dragonflyroute.Route) (Core, []dragonflyentryaction.Action) {
	rq.waiting, rq.started, rq.routeKey, rq.sentAt, rq.lastFrameAt = false, false, r.Key, now, now
	rq.work.Attempt, rq.work.Group, rq.work.Fence = rq.answer.Attempt(), r.Group, r.Fence
	rq.work.Delivered = rq.answer.Delivered()
	rq.work.Deadline = rq.remaining(now)
	rq.work.ConfigVersion = c.routing.Config().Version()
	rq.work.ConfirmationAge, _ = c.routing.ConfirmationAge(now)
	return c.withRequest(rq), []dragonflyentryaction.Action{
		rq.record("attempt-sent", " to "+r.Instance),
		{Kind: dragonflyentryaction.Send, Request: rq.work.Request, Attempt: rq.work.Attempt, Address: r.Address, Work: rq.work},
	}
}

// handleFrame handles the frame f of rq's answer.
func (c Core) handleFrame(now dragonflyinstant.Instant, rq request, f dragonflyframe.Frame) (Core, []dragonflyentryaction.Action) {
	if rq.routeKey == "" || f.Attempt != rq.answer.Attempt() {
		return c, nil // The frame belongs to an attempt that was replaced.
	}
	if f.Load.Limit > 0 {
		c, _ = c.stepRouting(now, dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Sample, Route: rq.routeKey, Load: f.Load})
	}
	rq.lastFrameAt = now
	switch {
	case f.Kind == dragonflyframe.Started:
		rq.started, rq.mayHaveRun = true, true
	case f.Kind == dragonflyframe.Token, f.Kind == dragonflyframe.Done, f.Kind == dragonflyframe.Response, f.MayHaveRun:
		rq.started, rq.mayHaveRun = rq.started || f.Kind == dragonflyframe.Token, true
	}
	next, verdicts := rq.answer.Step(now, f)
	old := rq
	rq.answer = next
	c = c.withRequest(rq)
	if len(verdicts) == 0 {
		return c, nil
	}
	return c.applyVerdict(now, old, rq, f, verdicts[0])
}

// applyVerdict carries out the verdict v on the frame f; old is the request before f.
func (c Core) applyVerdict(now dragonflyinstant.Instant, old, rq request, f dragonflyframe.Frame, v dragonflyanswerverdict.Verdict) (Core, []dragonflyentryaction.Action) {
	switch v.Kind {
	case dragonflyanswerverdict.Deliver:
		rq.waitUntil = 0
		c = c.withRequest(rq)
		if rq.callerDone {
			return c, nil
		}
		return c, []dragonflyentryaction.Action{{Kind: dragonflyentryaction.Progress, Request: rq.work.Request, Tokens: rq.answer.Tokens()}}
	case dragonflyanswerverdict.Finish:
		return c.complete(now, rq, f)
	case dragonflyanswerverdict.Retry, dragonflyanswerverdict.Resume:
		return c.reroute(now, old, rq, f, v)
	case dragonflyanswerverdict.Fail:
		c, rq = c.endAttempt(now, rq, dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Fail})
		rq.mayHaveRun = true
		return c.finish(now, rq, rq.incomplete(v.Reason))
	}
	return c, nil
}

// endAttempt reports the end of rq's current attempt to the routing as ev.
func (c Core) endAttempt(now dragonflyinstant.Instant, rq request, ev dragonflyroutingevent.Event) (Core, request) {
	ev.Route = rq.routeKey
	c, _ = c.stepRouting(now, ev)
	rq.routeKey = ""
	return c.withRequest(rq), rq
}

// complete ends rq with its complete answer.
func (c Core) complete(now dragonflyinstant.Instant, rq request, f dragonflyframe.Frame) (Core, []dragonflyentryaction.Action) {
	ev := dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Succeed}
	if at := rq.answer.FirstToken(); at.After(rq.sentAt) {
		ev.FirstToken = at.Sub(rq.sentAt)
	}
	c, rq = c.endAttempt(now, rq, ev)
	return c.finish(now, rq, rq.end(dragonflyentryaction.Action{
		Outcome: dragonflyentryaction.Completed, Status: f.Status, Headers: f.Headers, Body: f.Body,
	}))
}

// reroute looks for another route for rq after its attempt was refused or failed.
func (c Core) reroute(now dragonflyinstant.Instant, old, rq request, f dragonflyframe.Frame, v dragonflyanswerverdict.Verdict) (Core, []dragonflyentryaction.Action) {
	rq = rq.withTried(rq.routeKey)
	rq.reason, rq.retryAfter = v.Reason, f.RetryAfter
	rq.lastLost = f.Kind != dragonflyframe.Refused
	rq.retry = rq.lastLost || !notSent(f)
	if rq.lastLost && old.started {
		rq.losses++
	}
	acts := []dragonflyentryaction.Action{old.record("attempt-failed", ": "+v.Reason), old.cancel()}
	if !rq.lastLost {
		acts = []dragonflyentryaction.Action{old.record("attempt-refused", ": "+v.Reason)}
	}
	c, rq = c.endAttempt(now, rq, routingEvent(f))
	if rq.callerDone || rq.expired(now) {
		next, more := c.finish(now, rq, rq.incomplete(dragonflyentryaction.ReasonDeadline))
		return next, append(acts, more...)
	}
	next, more := c.findRoute(now, rq)
	return next, append(acts, more...)
}

// notSent reports whether f refuses an attempt that the entry never sent.
func notSent(f dragonflyframe.Frame) bool {
	return f.Reason == dragonflyentryaction.ReasonNoConnection || f.Reason == dragonflyentryaction.ReasonEntryBusy
}

// routingEvent returns the event that f means for its route. A refused connection is
// a failure of the route; an entry without a free worker implies nothing about it.
func routingEvent(f dragonflyframe.Frame) dragonflyroutingevent.Event {
	switch {
	case f.Kind != dragonflyframe.Refused || f.Reason == dragonflyentryaction.ReasonNoConnection:
		return dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Fail}
	case f.Reason == dragonflyentryaction.ReasonEntryBusy:
		return dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Abandon}
	default:
		return dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Refuse, Reason: f.Reason, RetryAfter: f.RetryAfter}
	}
}

// tick applies the timeouts of rq, steps its claim and retries its search for a route.
func (c Core) tick(now dragonflyinstant.Instant, rq request) (Core, []dragonflyentryaction.Action) {
	if rq.claim.Active() {
		var acts []dragonflyentryaction.Action
		c, acts = c.stepClaim(now, rq, dragonflyclaimevent.Event{Kind: dragonflyclaimevent.Tick})
		next, ok := c.request(rq.work.Request)
		if !ok || len(acts) > 0 {
			return c, acts
		}
		rq = next
	}
	switch {
	case rq.routeKey != "" && rq.expired(now):
		return c.expire(now, rq)
	case rq.waiting && rq.expired(now):
		return c.finish(now, rq, rq.incomplete(dragonflyentryaction.ReasonDeadline))
	case rq.routeKey != "" && rq.work.Kind == dragonflywork.Completion && c.silence(now, rq) > c.silenceTimeout(rq):
		return c.handleFrame(now, rq, dragonflyframe.Frame{
			Kind: dragonflyframe.Failed, Attempt: rq.answer.Attempt(), Reason: dragonflyentryaction.ReasonStalled, MayHaveRun: true,
		})
	default:
		return c.findRouteIfWaiting(now, rq)
	}
}

// expire ends rq, whose deadline has passed during an attempt. The upstream may have
// run that attempt.
func (c Core) expire(now dragonflyinstant.Instant, rq request) (Core, []dragonflyentryaction.Action) {
	acts := []dragonflyentryaction.Action{rq.cancel()}
	c, rq = c.endAttempt(now, rq, dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Abandon})
	rq.mayHaveRun = true
	next, more := c.finish(now, rq, rq.incomplete(dragonflyentryaction.ReasonDeadline))
	return next, append(acts, more...)
}
