// Package dragonflyclaim coordinates a call with an idempotency key: it claims the key,
// lets the call run, and stores its answer or releases the claim. The call runs at
// most once, whatever fails.
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
	// claimTimeout bounds the wait for a claim. Electing a new leader takes up to 2 s.
	claimTimeout = 3 * dragonflyduration.Second
	// settleTimeout bounds how long the caller waits for its answer to be stored.
	settleTimeout = 2 * dragonflyduration.Second
	// backgroundTimeout bounds how long a change is resent after the caller has been
	// answered, so that no claim stays in progress because of a short outage.
	backgroundTimeout = 30 * dragonflyduration.Second
	// resendInterval is the minimum time between two proposals of a change.
	resendInterval = 200 * dragonflyduration.Millisecond
	// MaxStoredBody is the size in bytes of the largest body that control stores.
	MaxStoredBody = 64 << 10
)

// Reasons for a refusal.
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
	// settling waits for the result of Complete or Release before the caller is answered.
	settling
	// abandoning resolves a claim after the call has been refused.
	abandoning
	// closing resends Complete or Release after the caller has been answered.
	closing
	ended
)

// Claim is the state of one claimed call.
type Claim struct {
	key         string
	fingerprint string
	owner       string

	phase          phase
	change         dragonflychange.Change // the last change proposed
	awaitingResult bool                   // the result of change is pending
	// uncertain is set if an earlier proposal of the claim may still take effect,
	// so that a later NotRun doesn't mean that the claim isn't held.
	uncertain bool
	sentAt    dragonflyinstant.Instant
	deadline  dragonflyinstant.Instant // end of the phase
}

// New returns a claim on key for a call with the given fingerprint. The owner is the
// id of the request that makes the call.
func New(key, fingerprint, owner string) Claim {
	return Claim{key: key, fingerprint: fingerprint, owner: owner}
}

// Key returns the claim key of a workspace, a service and an idempotency key. Each part
// is preceded by its length in bytes and a colon, so that keys are unique.
func Key(workspace, service, key string) string {
	out := ""
	for _, part := range []string{workspace, service, key} {
		out += strconv.Itoa(len(part)) + ":" + part
	}
	return out
}

// Ended reports whether the claim needs no further steps.
func (c Claim) Ended() bool { return c.phase == ended }

// Active reports whether the call has a claim; the zero Claim has none.
func (c Claim) Active() bool { return c.key != "" }

// Step returns the claim after the event ev, which occurred at now, and the actions to
// carry out.
func (c Claim) Step(now dragonflyinstant.Instant, ev dragonflyclaimevent.Event) (Claim, []dragonflyclaimaction.Action) {
	switch {
	case ev.Kind == dragonflyclaimevent.Begin && c.phase == idle:
		c.phase, c.deadline = claiming, now.Add(claimTimeout)
		return c.propose(now, c.claimChange())
	case ev.Kind == dragonflyclaimevent.Proposed && c.awaitingResult:
		c.awaitingResult = false
		if ev.Result.Outcome == dragonflyresult.Unavailable {
			c.uncertain = true
		}
		return c.handleResult(now, ev.Result)
	case ev.Kind == dragonflyclaimevent.Tick:
		return c.tick(now)
	case c.phase == running:
		return c.recordOutcome(now, ev)
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
	c.change, c.awaitingResult, c.sentAt = ch, true, now
	return c, []dragonflyclaimaction.Action{{Kind: dragonflyclaimaction.Propose, Change: ch}}
}

// recordOutcome proposes the change that records the outcome of the call.
func (c Claim) recordOutcome(now dragonflyinstant.Instant, ev dragonflyclaimevent.Event) (Claim, []dragonflyclaimaction.Action) {
	c.phase, c.deadline = settling, now.Add(settleTimeout)
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

func (c Claim) handleResult(now dragonflyinstant.Instant, r dragonflyresult.Result) (Claim, []dragonflyclaimaction.Action) {
	switch c.phase {
	case claiming:
		return c.handleClaimResult(r)
	case abandoning:
		return c.handleAbandonedResult(now, r)
	case settling, closing:
		if mustResend(r) {
			return c, nil // A later tick resends the change.
		}
		settled := c.phase == settling
		c.phase = ended
		if settled {
			return c, actions(dragonflyclaimaction.Action{Kind: dragonflyclaimaction.Deliver})
		}
	}
	return c, nil
}

// mustResend reports whether the change must be resent, because it may not have taken
// effect.
func mustResend(r dragonflyresult.Result) bool {
	return r.Outcome == dragonflyresult.Unavailable || r.Outcome == dragonflyresult.NotRun
}

func (c Claim) handleClaimResult(r dragonflyresult.Result) (Claim, []dragonflyclaimaction.Action) {
	if mustResend(r) && c.uncertain {
		return c, nil // A later tick resends the claim with the same id.
	}
	switch r.Outcome {
	case dragonflyresult.ClaimGranted:
		c.phase = running
		return c, actions(dragonflyclaimaction.Action{Kind: dragonflyclaimaction.Run})
	case dragonflyresult.ClaimStored, dragonflyresult.ClaimInProgress, dragonflyresult.ClaimUnknown, dragonflyresult.ClaimMismatch:
		c.phase = ended
		return c, actions(dragonflyclaimaction.Action{Kind: dragonflyclaimaction.Replay, Result: r})
	case dragonflyresult.NotRun:
		c.phase = ended
		return c, actions(dragonflyclaimaction.Action{Kind: dragonflyclaimaction.Refuse, Reason: ReasonNoQuorum})
	default:
		c.phase = ended
		return c, actions(dragonflyclaimaction.Action{Kind: dragonflyclaimaction.Refuse, Reason: ReasonInvalid})
	}
}

// handleAbandonedResult releases a claim that was granted after the call was refused.
func (c Claim) handleAbandonedResult(now dragonflyinstant.Instant, r dragonflyresult.Result) (Claim, []dragonflyclaimaction.Action) {
	switch {
	case mustResend(r):
		return c, nil
	case r.Outcome == dragonflyresult.ClaimGranted:
		c.phase = closing
		return c.propose(now, c.releaseChange())
	default:
		c.phase = ended
		return c, nil
	}
}

// tick ends a phase that has timed out and resends a change whose result was lost.
func (c Claim) tick(now dragonflyinstant.Instant) (Claim, []dragonflyclaimaction.Action) {
	var acts []dragonflyclaimaction.Action
	if c.deadline != 0 && now.After(c.deadline) {
		c, acts = c.expire(now)
	}
	resend := !c.awaitingResult && now.Sub(c.sentAt) >= resendInterval
	switch c.phase {
	case claiming, settling, abandoning, closing:
		if resend {
			next, more := c.propose(now, c.change)
			return next, append(acts, more...)
		}
	}
	return c, acts
}

// expire ends a phase at its deadline. The caller is answered now, and the change is
// resent in the background for up to backgroundTimeout.
func (c Claim) expire(now dragonflyinstant.Instant) (Claim, []dragonflyclaimaction.Action) {
	switch c.phase {
	case claiming:
		c.phase, c.deadline = abandoning, now.Add(backgroundTimeout)
		return c, actions(dragonflyclaimaction.Action{Kind: dragonflyclaimaction.Refuse, Reason: ReasonNoQuorum})
	case settling:
		c.phase, c.deadline = closing, now.Add(backgroundTimeout)
		return c, actions(dragonflyclaimaction.Action{Kind: dragonflyclaimaction.Deliver})
	case abandoning, closing:
		c.phase = ended
	}
	return c, nil
}

func actions(a dragonflyclaimaction.Action) []dragonflyclaimaction.Action {
	return []dragonflyclaimaction.Action{a}
}
