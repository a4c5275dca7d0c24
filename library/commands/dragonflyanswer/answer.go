// Package dragonflyanswer assembles the answer to one request from the frames of its
// attempts. The caller gets every token once and in order, although attempts fail,
// overlap and send late frames.
package dragonflyanswer

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflylist"
	"dragonflyrelay.example/library/values/dragonflyanswerverdict"
	"dragonflyrelay.example/library/values/dragonflyframe"
)

// ReasonGap is the reason for ending an attempt that skipped a token.
const ReasonGap = "gap-in-answer"

// Answer is the state of one request's answer. The zero value waits for the
// first attempt, whose number is 1, of a request that isn't idempotent.
type Answer struct {
	endedAttempts int
	delivered     dragonflylist.List[string]
	ended         bool
	firstToken    dragonflyinstant.Instant
	idempotent    bool
	mayHaveSent   bool
}

// WithIdempotent returns the answer of a request that, if v is true, may be sent
// again although an upstream may have run it.
func (a Answer) WithIdempotent(v bool) Answer {
	a.idempotent = v
	return a
}

// Attempt returns the number of the current attempt. Frames of others are dropped.
func (a Answer) Attempt() int { return a.endedAttempts + 1 }

// Delivered returns a copy of the tokens that were delivered to the caller.
func (a Answer) Delivered() []string { return a.delivered.Items() }

// Tokens returns the tokens that were delivered to the caller, without a copy.
func (a Answer) Tokens() dragonflylist.List[string] { return a.delivered }

// FirstToken returns when the first token arrived; 0 means not yet.
func (a Answer) FirstToken() dragonflyinstant.Instant { return a.firstToken }

// Ended reports whether the answer has ended, complete or not.
func (a Answer) Ended() bool { return a.ended }

// Step returns the answer after the frame f, which arrived at now, and the verdict on
// f, if there is one.
func (a Answer) Step(now dragonflyinstant.Instant, f dragonflyframe.Frame) (Answer, []dragonflyanswerverdict.Verdict) {
	if a.ended || f.Attempt != a.Attempt() {
		return a, verdict(dragonflyanswerverdict.Verdict{Kind: dragonflyanswerverdict.Drop})
	}
	switch f.Kind {
	case dragonflyframe.Started:
		a.mayHaveSent = true
		return a, nil
	case dragonflyframe.Token:
		return a.token(now, f)
	case dragonflyframe.Done:
		return a.done(f)
	case dragonflyframe.Response:
		a.ended = true
		return a, verdict(dragonflyanswerverdict.Verdict{Kind: dragonflyanswerverdict.Finish})
	case dragonflyframe.Refused:
		if a.mayHaveSent && !a.idempotent {
			// A refusal after the start is contradictory, so the call may have run.
			return a.failed(f.Reason, true)
		}
		return a.nextAttempt(dragonflyanswerverdict.Verdict{Kind: dragonflyanswerverdict.Retry, Reason: f.Reason})
	default:
		return a.failed(f.Reason, f.MayHaveRun)
	}
}

func (a Answer) token(now dragonflyinstant.Instant, f dragonflyframe.Frame) (Answer, []dragonflyanswerverdict.Verdict) {
	switch {
	case f.Index < a.delivered.Len():
		return a, verdict(dragonflyanswerverdict.Verdict{Kind: dragonflyanswerverdict.Drop})
	case f.Index > a.delivered.Len():
		return a.failed(ReasonGap, true)
	}
	if a.firstToken == 0 {
		a.firstToken = now
	}
	a.delivered = a.delivered.With(f.Text)
	return a, verdict(dragonflyanswerverdict.Verdict{Kind: dragonflyanswerverdict.Deliver, Text: f.Text})
}

func (a Answer) done(f dragonflyframe.Frame) (Answer, []dragonflyanswerverdict.Verdict) {
	if f.Index != a.delivered.Len() {
		return a.failed(ReasonGap, true)
	}
	a.ended = true
	return a, verdict(dragonflyanswerverdict.Verdict{Kind: dragonflyanswerverdict.Finish})
}

// failed returns the verdict on an attempt that failed. A request that can't have run
// is retried. Otherwise an idempotent one is resumed after the delivered tokens, and
// any other one fails.
func (a Answer) failed(reason string, ran bool) (Answer, []dragonflyanswerverdict.Verdict) {
	if !ran && !a.mayHaveSent {
		return a.nextAttempt(dragonflyanswerverdict.Verdict{Kind: dragonflyanswerverdict.Retry, Reason: reason})
	}
	if a.idempotent {
		return a.nextAttempt(dragonflyanswerverdict.Verdict{Kind: dragonflyanswerverdict.Resume, Reason: reason})
	}
	a.ended = true
	return a, verdict(dragonflyanswerverdict.Verdict{Kind: dragonflyanswerverdict.Fail, Reason: reason, MayHaveRun: true})
}

func (a Answer) nextAttempt(v dragonflyanswerverdict.Verdict) (Answer, []dragonflyanswerverdict.Verdict) {
	a.endedAttempts++
	return a, verdict(v)
}

func verdict(v dragonflyanswerverdict.Verdict) []dragonflyanswerverdict.Verdict {
	return []dragonflyanswerverdict.Verdict{v}
}
