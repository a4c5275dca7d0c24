// Package dragonflyoutcome describes the end of a request of a generated load.
package dragonflyoutcome

import (
	"dragonflyrelay.example/dragonflybench/values/dragonflyrequest"
	"dragonflyrelay.example/library/common/dragonflyduration"
)

// kind is the kind of an Outcome.
type kind uint8

// Kinds of outcomes.
const (
	// Completed is a complete answer with every token as expected.
	Completed kind = iota + 1
	// Refused is a refusal that states that the request has not run.
	Refused
	// Failed is any other error, or an answer that was interrupted.
	Failed
	// Wrong is an answer with an unexpected token.
	Wrong
	// Short is an answer that ended like a complete one, but with too few tokens.
	Short
)

// Kinds lists all kinds of outcomes.
var Kinds = [...]kind{Completed, Refused, Failed, Wrong, Short}

// Name returns the name of the kind in results.
func (k kind) Name() string {
	return [...]string{"", "whole", "refused-not-run", "failed", "wrong", "short"}[k]
}

// Outcome is the outcome of one request.
type Outcome struct {
	// Request is the request.
	Request dragonflyrequest.Request
	// Kind is the kind of the outcome.
	Kind kind
	// Lateness is how long after its arrival the request was sent.
	Lateness dragonflyduration.Duration
	// FirstToken is the time from sending to the first token, or 0 without a token.
	FirstToken dragonflyduration.Duration
	// Gaps lists the times between consecutive tokens.
	Gaps []dragonflyduration.Duration
	// Tokens is the number of correct tokens.
	Tokens int
	// Detail describes the error.
	Detail string
}

// With returns o with the given kind and detail.
func (o Outcome) With(k kind, detail string) Outcome {
	o.Kind, o.Detail = k, detail
	return o
}

// FirstTokenSinceArrival returns the time from arrival to the first token, which counts
// the generator's own lateness.
func (o Outcome) FirstTokenSinceArrival() dragonflyduration.Duration {
	return o.Lateness + o.FirstToken
}

// MeetsTarget reports whether the request met the target of its class: the answer is
// complete, the first token was in time, and so were 95 in 100 of the gaps.
func (o Outcome) MeetsTarget() bool {
	if o.Kind != Completed || o.Request.FirstToken > 0 && o.FirstTokenSinceArrival() > o.Request.FirstToken {
		return false
	}
	if o.Request.Gap == 0 {
		return true
	}
	over := 0
	for _, g := range o.Gaps {
		if g > o.Request.Gap {
			over++
		}
	}
	return over*20 <= len(o.Gaps)
}
