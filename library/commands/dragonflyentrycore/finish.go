package dragonflyentrycore

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyclaimaction"
	"dragonflyrelay.example/library/values/dragonflyclaimevent"
	"dragonflyrelay.example/library/values/dragonflyentryaction"
	"dragonflyrelay.example/library/values/dragonflyroutingevent"
)

// finish ends rq with the End action a: at once or, for a claimed call that was
// allowed to run, after the claim has been settled.
func (c Core) finish(now dragonflyinstant.Instant, rq request, a dragonflyentryaction.Action) (Core, []dragonflyentryaction.Action) {
	rq.waiting = false
	if !rq.claim.Active() {
		return c.answer(rq, a)
	}
	rq.result = &a
	ev := dragonflyclaimevent.Event{Kind: dragonflyclaimevent.Unknown}
	switch a.Outcome {
	case dragonflyentryaction.Completed:
		ev = dragonflyclaimevent.Event{Kind: dragonflyclaimevent.Answered, Status: a.Status, Headers: a.Headers, Body: a.Body}
	case dragonflyentryaction.NotRun:
		ev.Kind = dragonflyclaimevent.NotRun
	}
	return c.stepClaim(now, rq, ev)
}

// answer sends the End action a to the caller of rq and removes rq, unless its claim
// is still being settled.
func (c Core) answer(rq request, a dragonflyentryaction.Action) (Core, []dragonflyentryaction.Action) {
	var acts []dragonflyentryaction.Action
	if !rq.callerDone {
		acts = []dragonflyentryaction.Action{rq.record("request-ended", " "+a.Reason), a}
	}
	rq.callerDone = true
	if rq.claim.Active() && !rq.claim.Ended() {
		return c.withRequest(rq), acts
	}
	c, forget := c.withoutRequest(rq)
	return c, append(acts, forget)
}

// stepClaim applies ev to the claim of rq and carries out the claim's actions.
func (c Core) stepClaim(now dragonflyinstant.Instant, rq request, ev dragonflyclaimevent.Event) (Core, []dragonflyentryaction.Action) {
	next, claimActs := rq.claim.Step(now, ev)
	rq.claim = next
	c = c.withRequest(rq)
	var acts []dragonflyentryaction.Action
	for _, a := range claimActs {
		if rq, ok := c.request(rq.work.Request); ok {
			next, more := c.claimAction(now, rq, a)
			c, acts = next, append(acts, more...)
		}
	}
	if rq, ok := c.request(rq.work.Request); ok && rq.claim.Ended() && rq.callerDone {
		next, forget := c.withoutRequest(rq)
		c, acts = next, append(acts, forget)
	}
	return c, acts
}

func (c Core) claimAction(now dragonflyinstant.Instant, rq request, a dragonflyclaimaction.Action) (Core, []dragonflyentryaction.Action) {
	switch a.Kind {
	case dragonflyclaimaction.Propose:
		return c, []dragonflyentryaction.Action{{Kind: dragonflyentryaction.Propose, Request: rq.work.Request, Change: a.Change}}
	case dragonflyclaimaction.Run:
		if rq.callerDone || rq.expired(now) {
			return c.finish(now, rq, rq.incomplete(dragonflyentryaction.ReasonDeadline))
		}
		return c.findRoute(now, rq)
	case dragonflyclaimaction.Refuse:
		return c.answer(rq, rq.incomplete(a.Reason))
	case dragonflyclaimaction.Replay:
		return c.answer(rq, rq.end(dragonflyentryaction.Action{Outcome: dragonflyentryaction.Replayed, Result: a.Result}))
	default:
		return c.answer(rq, *rq.result)
	}
}

// disconnect ends rq after its caller has disconnected. A claimed call continues, so
// that a retry with the same idempotency key finds the answer, unless it is still
// waiting for a route.
func (c Core) disconnect(now dragonflyinstant.Instant, rq request) (Core, []dragonflyentryaction.Action) {
	if rq.claim.Active() {
		rq.callerDone = true
		if rq.waiting {
			return c.finish(now, rq, rq.incomplete(dragonflyentryaction.ReasonDisconnected))
		}
		return c.withRequest(rq), nil
	}
	var acts []dragonflyentryaction.Action
	if rq.routeKey != "" {
		acts = append(acts, rq.cancel())
		c, rq = c.endAttempt(now, rq, dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Abandon})
	}
	c, forget := c.withoutRequest(rq)
	return c, append(acts, rq.record("request-ended", " "+dragonflyentryaction.ReasonDisconnected), forget)
}
