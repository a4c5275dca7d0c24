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
func (c Core) finish(now dragonflyinstant.Instant, f flight, a dragonflyentryaction.Action) (Core, []dragonflyentryaction.Action) {
	f.waiting = false
	if !f.claim.Active() {
		return c.answer(f, a)
	}
	f.result = &a
	ev := dragonflyclaimevent.Event{Kind: dragonflyclaimevent.Unknown}
	switch a.Outcome {
	case dragonflyentryaction.Completed:
		ev = dragonflyclaimevent.Event{Kind: dragonflyclaimevent.Answered, Status: a.Status, Headers: a.Headers, Body: a.Body}
	case dragonflyentryaction.NotRun:
		ev.Kind = dragonflyclaimevent.NotRun
	}
	return c.stepClaim(now, f, ev)
}

// answer gives the caller the end a of f and removes f unless its claim goes on.
func (c Core) answer(f flight, a dragonflyentryaction.Action) (Core, []dragonflyentryaction.Action) {
	var acts []dragonflyentryaction.Action
	if !f.answered {
		acts = []dragonflyentryaction.Action{f.note("request-ended", " "+a.Reason), a}
	}
	f.answered = true
	if f.claim.Active() && !f.claim.Over() {
		return c.with(f), acts
	}
	c, forget := c.without(f)
	return c, append(acts, forget)
}

// stepClaim steps the claim of f and carries out what it asks for.
func (c Core) stepClaim(now dragonflyinstant.Instant, f flight, ev dragonflyclaimevent.Event) (Core, []dragonflyentryaction.Action) {
	next, claimActs := f.claim.Step(now, ev)
	f.claim = next
	c = c.with(f)
	var acts []dragonflyentryaction.Action
	for _, a := range claimActs {
		if f, ok := c.flight(f.work.Request); ok {
			next, more := c.claimAction(now, f, a)
			c, acts = next, append(acts, more...)
		}
	}
	if f, ok := c.flight(f.work.Request); ok && f.claim.Over() && f.answered {
		next, forget := c.without(f)
		c, acts = next, append(acts, forget)
	}
	return c, acts
}

func (c Core) claimAction(now dragonflyinstant.Instant, f flight, a dragonflyclaimaction.Action) (Core, []dragonflyentryaction.Action) {
	switch a.Kind {
	case dragonflyclaimaction.Propose:
		return c, []dragonflyentryaction.Action{{Kind: dragonflyentryaction.Propose, Request: f.work.Request, Change: a.Change}}
	case dragonflyclaimaction.Run:
		if f.answered || f.expired(now) {
			return c.finish(now, f, f.lost(dragonflyentryaction.ReasonDeadline))
		}
		return c.seek(now, f)
	case dragonflyclaimaction.Refuse:
		return c.answer(f, f.lost(a.Reason))
	case dragonflyclaimaction.Replay:
		return c.answer(f, f.end(dragonflyentryaction.Action{Outcome: dragonflyentryaction.Replayed, Result: a.Result}))
	default:
		return c.answer(f, *f.result)
	}
}

// vanish ends f after its caller has gone away. A claimed call goes on, so that
// a repeat finds its answer.
func (c Core) vanish(now dragonflyinstant.Instant, f flight) (Core, []dragonflyentryaction.Action) {
	if f.claim.Active() {
		f.answered = true
		if f.waiting {
			return c.finish(now, f, f.lost(dragonflyentryaction.ReasonDisconnected))
		}
		return c.with(f), nil
	}
	var acts []dragonflyentryaction.Action
	if f.route != "" {
		acts = append(acts, f.cancel())
		c, f = c.leave(now, f, dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Abandon})
	}
	c, forget := c.without(f)
	return c, append(acts, f.note("request-ended", " "+dragonflyentryaction.ReasonDisconnected), forget)
}
