// Package dragonflyanswer assembles the answer to one request from the pieces of
// its attempts, so that the caller gets every token once and in order although
// attempts fail, overlap and answer late.
package dragonflyanswer

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflylist"
	"dragonflyrelay.example/library/values/dragonflyanswerverdict"
	"dragonflyrelay.example/library/values/dragonflypiece"
)

// ReasonGap is the reason of an attempt that skipped a token.
const ReasonGap = "gap-in-answer"

// Answer is the state of one request's answer. The zero value waits for the
// first attempt, whose number is 1, of a request that may not be repeated.
type Answer struct {
	endedAttempts int
	delivered     dragonflylist.List[string]
	ended         bool
	firstToken    dragonflyinstant.Instant
	idempotent    bool
	mayHaveSent   bool
}

// WithIdempotent returns the answer of a request that may be repeated after an
// upstream may have run it, if v is true.
func (a Answer) WithIdempotent(v bool) Answer {
	a.idempotent = v
	return a
}

// Attempt returns the number of the attempt whose pieces count.
func (a Answer) Attempt() int { return a.endedAttempts + 1 }

// Delivered returns a copy of the tokens that the caller has.
func (a Answer) Delivered() []string { return a.delivered.Items() }

// Tokens returns the tokens that the caller has, without copying them.
func (a Answer) Tokens() dragonflylist.List[string] { return a.delivered }

// FirstToken returns when the first token arrived, or 0 before.
func (a Answer) FirstToken() dragonflyinstant.Instant { return a.firstToken }

// Ended reports whether the answer has ended, whole or not.
func (a Answer) Ended() bool { return a.ended }

// Step decides on the piece p that arrived at now.
func (a Answer) Step(now dragonflyinstant.Instant, p dragonflypiece.Piece) (Answer, []dragonflyanswerverdict.Verdict) {
	if a.ended || p.Attempt != a.Attempt() {
		return a, verdict(dragonflyanswerverdict.Verdict{Kind: dragonflyanswerverdict.Drop})
	}
	switch p.Kind {
	case dragonflypiece.Started:
		a.mayHaveSent = true
		return a, nil
	case dragonflypiece.Token:
		return a.token(now, p)
	case dragonflypiece.Done:
		return a.done(p)
	case dragonflypiece.Response:
		a.ended = true
		return a, verdict(dragonflyanswerverdict.Verdict{Kind: dragonflyanswerverdict.Finish})
	case dragonflypiece.Refused:
		if a.mayHaveSent && !a.idempotent {
			// A refusal after the start contradicts itself and proves nothing.
			return a.failed(p.Reason, true)
		}
		return a.nextAttempt(dragonflyanswerverdict.Verdict{Kind: dragonflyanswerverdict.Retry, Reason: p.Reason})
	default:
		return a.failed(p.Reason, p.Ran)
	}
}

func (a Answer) token(now dragonflyinstant.Instant, p dragonflypiece.Piece) (Answer, []dragonflyanswerverdict.Verdict) {
	switch {
	case p.Index < a.delivered.Len():
		return a, verdict(dragonflyanswerverdict.Verdict{Kind: dragonflyanswerverdict.Drop})
	case p.Index > a.delivered.Len():
		return a.failed(ReasonGap, true)
	}
	if a.firstToken == 0 {
		a.firstToken = now
	}
	a.delivered = a.delivered.With(p.Text)
	return a, verdict(dragonflyanswerverdict.Verdict{Kind: dragonflyanswerverdict.Deliver, Text: p.Text})
}

func (a Answer) done(p dragonflypiece.Piece) (Answer, []dragonflyanswerverdict.Verdict) {
	if p.Index != a.delivered.Len() {
		return a.failed(ReasonGap, true)
	}
	a.ended = true
	return a, verdict(dragonflyanswerverdict.Verdict{Kind: dragonflyanswerverdict.Finish})
}

// failed decides on an attempt that broke. A request that may be repeated is
// resumed after the delivered tokens; any other one fails once it may have run.
func (a Answer) failed(reason string, ran bool) (Answer, []dragonflyanswerverdict.Verdict) {
	if !ran && !a.mayHaveSent {
		return a.nextAttempt(dragonflyanswerverdict.Verdict{Kind: dragonflyanswerverdict.Retry, Reason: reason})
	}
	if a.idempotent {
		return a.nextAttempt(dragonflyanswerverdict.Verdict{Kind: dragonflyanswerverdict.Resume, Reason: reason})
	}
	a.ended = true
	return a, verdict(dragonflyanswerverdict.Verdict{Kind: dragonflyanswerverdict.Fail, Reason: reason, Ran: true})
}

func (a Answer) nextAttempt(v dragonflyanswerverdict.Verdict) (Answer, []dragonflyanswerverdict.Verdict) {
	a.endedAttempts++
	return a, verdict(v)
}

func verdict(v dragonflyanswerverdict.Verdict) []dragonflyanswerverdict.Verdict {
	return []dragonflyanswerverdict.Verdict{v}
}
