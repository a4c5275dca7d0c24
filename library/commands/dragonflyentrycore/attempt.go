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

// seek asks for a route for the next attempt of f and sends it there, or lets f
// wait until its time for that is over.
func (c Core) seek(now dragonflyinstant.Instant, f flight) (Core, []dragonflyentryaction.Action) {
	switch {
	case f.losses >= maxLosses:
		return c.finish(now, f, f.lost(dragonflyentryaction.ReasonLosses))
	case f.answer.Attempt() > maxAttempts:
		return c.finish(now, f, f.lost(dragonflyentryaction.ReasonAttempts))
	}
	c, acts := c.route(now, dragonflyroutingevent.Event{
		Kind: dragonflyroutingevent.SelectRoute, Class: f.work.Class, Model: f.work.Model, Service: f.work.Service,
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
		return c.with(f), nil
	}
	if f.reason == "" {
		f.reason = acts[0].Reason
	}
	return c.finish(now, f, f.lost(f.reason))
}

func (c Core) seekIfWaiting(now dragonflyinstant.Instant, f flight) (Core, []dragonflyentryaction.Action) {
	if !f.waiting {
		return c, nil
	}
	return c.seek(now, f)
}

// send makes the next attempt of f on r.
func (c Core) send(now dragonflyinstant.Instant, f flight, r dragonflyroute.Route) (Core, []dragonflyentryaction.Action) {
	f.waiting, f.started, f.route, f.sentAt, f.lastPiece = false, false, r.Key, now, now
	f.work.Attempt, f.work.Group, f.work.Fence = f.answer.Attempt(), r.Group, r.Fence
	f.work.Delivered = f.answer.Delivered()
	f.work.Deadline = f.remaining(now)
	f.work.ConfigVersion = c.routing.Config().Version()
	f.work.ConfirmationAge, _ = c.routing.ConfirmationAge(now)
	return c.with(f), []dragonflyentryaction.Action{
		f.note("attempt-sent", " to "+r.Instance),
		{Kind: dragonflyentryaction.Send, Request: f.work.Request, Attempt: f.work.Attempt, Address: r.Address, Work: f.work},
	}
}

// piece decides on a piece of f's answer.
func (c Core) piece(now dragonflyinstant.Instant, f flight, p dragonflyframe.Frame) (Core, []dragonflyentryaction.Action) {
	if f.route == "" || p.Attempt != f.answer.Attempt() {
		return c, nil // It belongs to an attempt that no longer counts.
	}
	if p.Load.Limit > 0 {
		c, _ = c.route(now, dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Sample, Route: f.route, Load: p.Load})
	}
	f.lastPiece = now
	switch {
	case p.Kind == dragonflyframe.Started:
		f.started, f.ran = true, true
	case p.Kind == dragonflyframe.Token, p.Kind == dragonflyframe.Done, p.Kind == dragonflyframe.Response, p.MayHaveRun:
		f.started, f.ran = f.started || p.Kind == dragonflyframe.Token, true
	}
	next, verdicts := f.answer.Step(now, p)
	old := f
	f.answer = next
	c = c.with(f)
	if len(verdicts) == 0 {
		return c, nil
	}
	return c.decide(now, old, f, p, verdicts[0])
}

// decide carries out the verdict on p; old is the flight before it.
func (c Core) decide(now dragonflyinstant.Instant, old, f flight, p dragonflyframe.Frame, v dragonflyanswerverdict.Verdict) (Core, []dragonflyentryaction.Action) {
	switch v.Kind {
	case dragonflyanswerverdict.Deliver:
		f.waitUntil = 0
		c = c.with(f)
		if f.answered {
			return c, nil
		}
		return c, []dragonflyentryaction.Action{{Kind: dragonflyentryaction.Progress, Request: f.work.Request, Tokens: f.answer.Tokens()}}
	case dragonflyanswerverdict.Finish:
		return c.whole(now, f, p)
	case dragonflyanswerverdict.Retry, dragonflyanswerverdict.Resume:
		return c.again(now, old, f, p, v)
	case dragonflyanswerverdict.Fail:
		c, f = c.leave(now, f, dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Fail})
		f.ran = true
		return c.finish(now, f, f.lost(v.Reason))
	}
	return c, nil
}

// leave ends the current attempt of f in the routing.
func (c Core) leave(now dragonflyinstant.Instant, f flight, ev dragonflyroutingevent.Event) (Core, flight) {
	ev.Route = f.route
	c, _ = c.route(now, ev)
	f.route = ""
	return c.with(f), f
}

// whole ends f with its whole answer.
func (c Core) whole(now dragonflyinstant.Instant, f flight, p dragonflyframe.Frame) (Core, []dragonflyentryaction.Action) {
	ev := dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Succeed}
	if at := f.answer.FirstToken(); at.After(f.sentAt) {
		ev.FirstToken = at.Sub(f.sentAt)
	}
	c, f = c.leave(now, f, ev)
	return c.finish(now, f, f.end(dragonflyentryaction.Action{
		Outcome: dragonflyentryaction.Completed, Status: p.Status, Headers: p.Headers, Body: p.Body,
	}))
}

// again moves f to another route after a refusal or a failure.
func (c Core) again(now dragonflyinstant.Instant, old, f flight, p dragonflyframe.Frame, v dragonflyanswerverdict.Verdict) (Core, []dragonflyentryaction.Action) {
	f = f.withTried(f.route)
	f.reason, f.retryAfter = v.Reason, p.RetryAfter
	f.lastLost = p.Kind != dragonflyframe.Refused
	f.retry = f.lastLost || !notSent(p)
	if f.lastLost && old.started {
		f.losses++
	}
	acts := []dragonflyentryaction.Action{old.note("attempt-failed", ": "+v.Reason), old.cancel()}
	if !f.lastLost {
		acts = []dragonflyentryaction.Action{old.note("attempt-refused", ": "+v.Reason)}
	}
	c, f = c.leave(now, f, blame(p))
	if f.answered || f.expired(now) {
		next, more := c.finish(now, f, f.lost(dragonflyentryaction.ReasonDeadline))
		return next, append(acts, more...)
	}
	next, more := c.seek(now, f)
	return next, append(acts, more...)
}

// notSent reports whether p stands for an attempt that never left the entry.
func notSent(p dragonflyframe.Frame) bool {
	return p.Reason == dragonflyentryaction.ReasonNoConnection || p.Reason == dragonflyentryaction.ReasonEntryBusy
}

// blame tells the routing what p says of its route. An entry without a free
// worker says nothing, and a refused connection is a failure of the route.
func blame(p dragonflyframe.Frame) dragonflyroutingevent.Event {
	switch {
	case p.Kind != dragonflyframe.Refused || p.Reason == dragonflyentryaction.ReasonNoConnection:
		return dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Fail}
	case p.Reason == dragonflyentryaction.ReasonEntryBusy:
		return dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Abandon}
	default:
		return dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Refuse, Reason: p.Reason, RetryAfter: p.RetryAfter}
	}
}

// tick ends what has taken too long and lets claims and waits go on.
func (c Core) tick(now dragonflyinstant.Instant, f flight) (Core, []dragonflyentryaction.Action) {
	if f.claim.Active() {
		var acts []dragonflyentryaction.Action
		c, acts = c.stepClaim(now, f, dragonflyclaimevent.Event{Kind: dragonflyclaimevent.Tick})
		next, ok := c.flight(f.work.Request)
		if !ok || len(acts) > 0 {
			return c, acts
		}
		f = next
	}
	switch {
	case f.route != "" && f.expired(now):
		return c.expire(now, f)
	case f.waiting && f.expired(now):
		return c.finish(now, f, f.lost(dragonflyentryaction.ReasonDeadline))
	case f.route != "" && f.work.Kind == dragonflywork.Completion && now.Sub(f.lastPiece) > c.silence(f):
		return c.piece(now, f, dragonflyframe.Frame{
			Kind: dragonflyframe.Failed, Attempt: f.answer.Attempt(), Reason: dragonflyentryaction.ReasonStalled, MayHaveRun: true,
		})
	default:
		return c.seekIfWaiting(now, f)
	}
}

// expire ends f at its deadline. An attempt in progress may have run.
func (c Core) expire(now dragonflyinstant.Instant, f flight) (Core, []dragonflyentryaction.Action) {
	acts := []dragonflyentryaction.Action{f.cancel()}
	c, f = c.leave(now, f, dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Abandon})
	f.ran = true
	next, more := c.finish(now, f, f.lost(dragonflyentryaction.ReasonDeadline))
	return next, append(acts, more...)
}
