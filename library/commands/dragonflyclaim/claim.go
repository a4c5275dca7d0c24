// Package dragonflyclaim takes a call with an idempotency key through its steps:
// claim, run, store or release. The call runs at most once, whatever fails.
package dragonflyclaim

import (
	"strconv"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyclaimaction"
	"dragonflyrelay.example/library/values/dragonflyclaimevent"
	"dragonflyrelay.example/library/values/dragonflyresult"
)

const (
	// claimTime bounds the wait for a claim. A new leader takes up to 2 s.
	claimTime = 3 * dragonflyduration.Second
	// settleTime bounds how long the caller waits for its answer to be stored.
	settleTime = 2 * dragonflyduration.Second
	// giveUpTime bounds how long a change is sent again after the caller has
	// its answer, so that no claim stays in progress over a short outage.
	giveUpTime = 30 * dragonflyduration.Second
	// resendTime is the least time between two sendings of a change.
	resendTime = 200 * dragonflyduration.Millisecond
	// MaxStoredBody is the largest body in bytes that control stores.
	MaxStoredBody = 64 << 10
)

// Reasons of a refusal.
const (
	ReasonNoQuorum = "no-quorum"
	ReasonInvalid  = "claim-invalid"
)

// Outcomes of a completed claim.
const (
	outcomeDone    = "done"
	outcomeUnknown = "unknown"
)

type phase uint8

const (
	idle phase = iota
	claiming
	running
	// settling waits for Complete or Release while the caller waits.
	settling
	// abandoning finds out about a claim that the caller no longer waits for.
	abandoning
	// closing sends Complete or Release on after the caller has its answer.
	closing
	over
)

// Claim is the state of one claimed call.
type Claim struct {
	key         string
	fingerprint string
	owner       string

	phase   phase
	change  dragonflychange.Change // the change that is on its way
	waiting bool                   // the result of change is awaited
	// uncertain tells that an earlier sending of the claim may still take
	// effect, so that a later NotRun says nothing about it.
	uncertain bool
	sentAt    dragonflyinstant.Instant
	deadline  dragonflyinstant.Instant // end of the phase
}

// New returns the claim of the call with the given fingerprint on key, made by
// the request owner.
func New(key, fingerprint, owner string) Claim {
	return Claim{key: key, fingerprint: fingerprint, owner: owner}
}

// Key returns the claim key of a triple: each part is preceded by its length in
// bytes and a colon, so that no two triples have the same key.
func Key(workspace, service, key string) string {
	out := ""
	for _, part := range []string{workspace, service, key} {
		out += strconv.Itoa(len(part)) + ":" + part
	}
	return out
}

// Over reports whether nothing more is to be done.
func (c Claim) Over() bool { return c.phase == over }

// Active reports whether there is a claim to take through its steps.
func (c Claim) Active() bool { return c.key != "" }

// Step decides on ev at now.
func (c Claim) Step(now dragonflyinstant.Instant, ev dragonflyclaimevent.Event) (Claim, []dragonflyclaimaction.Action) {
	switch {
	case ev.Kind == dragonflyclaimevent.Begin && c.phase == idle:
		c.phase, c.deadline = claiming, now.Add(claimTime)
		return c.propose(now, c.claimChange())
	case ev.Kind == dragonflyclaimevent.Proposed && c.waiting:
		c.waiting = false
		if ev.Result.Outcome == dragonflyresult.Unavailable {
			c.uncertain = true
		}
		return c.proposed(now, ev.Result)
	case ev.Kind == dragonflyclaimevent.Tick:
		return c.tick(now)
	case c.phase == running:
		return c.ran(now, ev)
	default:
		return c, nil
	}
}

func (c Claim) claimChange() dragonflychange.Change {
	return dragonflychange.Change{
		ID: c.owner + "-claim", Kind: dragonflychange.Claim,
		ClaimKey: c.key, Fingerprint: c.fingerprint, Owner: c.owner,
	}
}

func (c Claim) releaseChange() dragonflychange.Change {
	ch := c.claimChange()
	ch.ID, ch.Kind = c.owner+"-release", dragonflychange.Release
	return ch
}

func (c Claim) completeChange(outcome string) dragonflychange.Change {
	ch := c.claimChange()
	ch.ID, ch.Kind, ch.Outcome = c.owner+"-complete", dragonflychange.Complete, outcome
	return ch
}

func (c Claim) propose(now dragonflyinstant.Instant, ch dragonflychange.Change) (Claim, []dragonflyclaimaction.Action) {
	c.change, c.waiting, c.sentAt = ch, true, now
	return c, []dragonflyclaimaction.Action{{Kind: dragonflyclaimaction.Propose, Change: ch}}
}

// ran decides what to record of the call that was let go.
func (c Claim) ran(now dragonflyinstant.Instant, ev dragonflyclaimevent.Event) (Claim, []dragonflyclaimaction.Action) {
	c.phase, c.deadline = settling, now.Add(settleTime)
	switch {
	case ev.Kind == dragonflyclaimevent.NotRun:
		return c.propose(now, c.releaseChange())
	case ev.Kind == dragonflyclaimevent.Answered && len(ev.Body) <= MaxStoredBody:
		ch := c.completeChange(outcomeDone)
		ch.Status, ch.Headers, ch.Body = ev.Status, ev.Headers, ev.Body
		return c.propose(now, ch)
	default:
		return c.propose(now, c.completeChange(outcomeUnknown))
	}
}

func (c Claim) proposed(now dragonflyinstant.Instant, r dragonflyresult.Result) (Claim, []dragonflyclaimaction.Action) {
	switch c.phase {
	case claiming:
		return c.claimed(r)
	case abandoning:
		return c.abandoned(now, r)
	case settling, closing:
		if again(r) {
			return c, nil // The next tick sends the change again.
		}
		settled := c.phase == settling
		c.phase = over
		if settled {
			return c, act(dragonflyclaimaction.Action{Kind: dragonflyclaimaction.Deliver})
		}
	}
	return c, nil
}

// again reports whether the change must be sent again to take effect.
func again(r dragonflyresult.Result) bool {
	return r.Outcome == dragonflyresult.Unavailable || r.Outcome == dragonflyresult.NotRun
}

func (c Claim) claimed(r dragonflyresult.Result) (Claim, []dragonflyclaimaction.Action) {
	if again(r) && c.uncertain {
		return c, nil // The next tick sends the claim again under the same id.
	}
	switch r.Outcome {
	case dragonflyresult.ClaimGranted:
		c.phase = running
		return c, act(dragonflyclaimaction.Action{Kind: dragonflyclaimaction.Run})
	case dragonflyresult.ClaimStored, dragonflyresult.ClaimInProgress, dragonflyresult.ClaimUnknown, dragonflyresult.ClaimMismatch:
		c.phase = over
		return c, act(dragonflyclaimaction.Action{Kind: dragonflyclaimaction.Replay, Result: r})
	case dragonflyresult.NotRun:
		c.phase = over
		return c, act(dragonflyclaimaction.Action{Kind: dragonflyclaimaction.Refuse, Reason: ReasonNoQuorum})
	default:
		c.phase = over
		return c, act(dragonflyclaimaction.Action{Kind: dragonflyclaimaction.Refuse, Reason: ReasonInvalid})
	}
}

// abandoned releases a claim that was granted after the caller was refused.
func (c Claim) abandoned(now dragonflyinstant.Instant, r dragonflyresult.Result) (Claim, []dragonflyclaimaction.Action) {
	switch {
	case again(r):
		return c, nil
	case r.Outcome == dragonflyresult.ClaimGranted:
		c.phase = closing
		return c.propose(now, c.releaseChange())
	default:
		c.phase = over
		return c, nil
	}
}

// tick ends a phase whose time is over and sends a lost change again.
func (c Claim) tick(now dragonflyinstant.Instant) (Claim, []dragonflyclaimaction.Action) {
	var acts []dragonflyclaimaction.Action
	if c.deadline != 0 && now.After(c.deadline) {
		c, acts = c.expire(now)
	}
	resend := !c.waiting && now.Sub(c.sentAt) >= resendTime
	switch c.phase {
	case claiming, settling, abandoning, closing:
		if resend {
			next, more := c.propose(now, c.change)
			return next, append(acts, more...)
		}
	}
	return c, acts
}

// expire goes on without the caller: it is answered now, and the change is
// sent in the background.
func (c Claim) expire(now dragonflyinstant.Instant) (Claim, []dragonflyclaimaction.Action) {
	switch c.phase {
	case claiming:
		c.phase, c.deadline = abandoning, now.Add(giveUpTime)
		return c, act(dragonflyclaimaction.Action{Kind: dragonflyclaimaction.Refuse, Reason: ReasonNoQuorum})
	case settling:
		c.phase, c.deadline = closing, now.Add(giveUpTime)
		return c, act(dragonflyclaimaction.Action{Kind: dragonflyclaimaction.Deliver})
	case abandoning, closing:
		c.phase = over
	}
	return c, nil
}

func act(a dragonflyclaimaction.Action) []dragonflyclaimaction.Action {
	return []dragonflyclaimaction.Action{a}
}
