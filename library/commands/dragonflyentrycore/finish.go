package dragonflyentrycore

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyclaimaction"
	"dragonflyrelay.example/library/values/dragonflyclaimevent"
	"dragonflyrelay.example/library/values/dragonflyentryaction"
	"dragonflyrelay.example/library/values/dragonflyroutingevent"
)

// finish ends f with a, at once or, for a claimed call that was let go, after
// the claim has been settled.
func (c Core) finish(now dragonflyinstant.Instant, f request, a dragonflyentryaction.Action) (Core, []dragonflyentryaction.Action) {
	f.waiting = false
	if !f.claim.Active() {
		return c.answer(f, a)
	}
	f.result = &a
	ev := dragonflyclaimevent.Event{Kind: dragonflyclaimevent.Unknown}
	switch a.Outcome {
	case dragonflyentryaction.Whole:
		ev = dragonflyclaimevent.Event{Kind: dragonflyclaimevent.Answered, Status: a.Status, Headers: a.Headers, Body: a.Body}
	case dragonflyentryaction.NotRun:
		ev.Kind = dragonflyclaimevent.NotRun
	}
	return c.stepClaim(now, f, ev)
}

// answer gives the caller the end a of f and removes f unless its claim goes on.
func (c Core) answer(f request, a dragonflyentryaction.Action) (Core, []dragonflyentryaction.Action) {
	var acts []dragonflyentryaction.Action
	if !f.callerDone {
		acts = []dragonflyentryaction.Action{f.note("request-ended", " "+a.Reason), a}
	}
	f.callerDone = true
	if f.claim.Active() && !f.claim.Ended() {
		return c.withRequest(f), acts
	}
	c, forget := c.withoutRequest(f)
	return c, append(acts, forget)
}

// stepClaim steps the claim of f and carries out what it asks for.
func (c Core) stepClaim(now dragonflyinstant.Instant, f request, ev dragonflyclaimevent.Event) (Core, []dragonflyentryaction.Action) {
	next, claimActs := f.claim.Step(now, ev)
	f.claim = next
	c = c.withRequest(f)
	var acts []dragonflyentryaction.Action
	for _, a := range claimActs {
		if f, ok := c.request(f.work.Request); ok {
			next, more := c.claimAction(now, f, a)
			c, acts = next, append(acts, more...)
		}
	}
	if f, ok := c.request(f.work.Request); ok && f.claim.Ended() && f.callerDone {
		next, forget := c.withoutRequest(f)
		c, acts = next, append(acts, forget)
	}
	return c, acts
}

func (c Core) claimAction(now dragonflyinstant.Instant, f request, a dragonflyclaimaction.Action) (Core, []dragonflyentryaction.Action) {
	switch a.Kind {
	case dragonflyclaimaction.Propose:
		return c, []dragonflyentryaction.Action{{Kind: dragonflyentryaction.Propose, Request: f.work.Request, Change: a.Change}}
	case dragonflyclaimaction.Run:
		if f.callerDone || f.expired(now) {
			return c.finish(now, f, f.incomplete(dragonflyentryaction.ReasonDeadline))
		}
		return c.findRoute(now, f)
	case dragonflyclaimaction.Refuse:
		return c.answer(f, f.incomplete(a.Reason))
	case dragonflyclaimaction.Replay:
		return c.answer(f, f.end(dragonflyentryaction.Action{Outcome: dragonflyentryaction.Replayed, Result: a.Result}))
	default:
		return c.answer(f, *f.result)
	}
}

// disconnect ends f after its caller has gone away. A claimed call goes on, so that
// a repeat finds its answer.
func (c Core) disconnect(now dragonflyinstant.Instant, f request) (Core, []dragonflyentryaction.Action) {
	if f.claim.Active() {
		f.callerDone = true
		if f.waiting {
			return c.finish(now, f, f.incomplete(dragonflyentryaction.ReasonVanished))
		}
		return c.withRequest(f), nil
	}
	var acts []dragonflyentryaction.Action
	if f.routeKey != "" {
		acts = append(acts, f.cancel())
		c, f = c.endAttempt(now, f, dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Abandon})
	}
	c, forget := c.withoutRequest(f)
	return c, append(acts, f.note("request-ended", " "+dragonflyentryaction.ReasonVanished), forget)
}
