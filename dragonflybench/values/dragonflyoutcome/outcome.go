// Package dragonflyoutcome tells how a request of a generated load ended.
package dragonflyoutcome

import (
	"dragonflyrelay.example/dragonflybench/values/dragonflyrequest"
	"dragonflyrelay.example/library/common/dragonflyduration"
)

// kind tells how a request ended.
type kind uint8

// Kinds of outcomes.
const (
	// Completed is a complete answer with every token as expected.
	Completed kind = iota + 1
	// Refused is a refusal that says that the request has not run.
	Refused
	// Failed is any other error, or an answer that broke off.
	Failed
	// Wrong is an answer with a token that is not the expected one.
	Wrong
	// Short is an answer that ended as if complete, but with too few tokens.
	Short
)

// Kinds lists all kinds.
var Kinds = [...]kind{Completed, Refused, Failed, Wrong, Short}

// Name returns the name of a kind in results.
func (k kind) Name() string {
	return [...]string{"", "whole", "refused-not-run", "failed", "wrong", "short"}[k]
}

// Outcome tells how one request ended.
type Outcome struct {
	// Request is the request.
	Request dragonflyrequest.Request
	// Kind tells how it ended.
	Kind kind
	// Lateness is how long after its arrival the request was sent.
	Lateness dragonflyduration.Duration
	// FirstToken is the time from sending to the first token, 0 if none came.
	FirstToken dragonflyduration.Duration
	// Gaps are the times between the tokens after it.
	Gaps []dragonflyduration.Duration
	// Tokens is the number of tokens that were as expected.
	Tokens int
	// Detail tells what went wrong.
	Detail string
}

// With returns o with the kind and the detail of its end.
func (o Outcome) With(k kind, detail string) Outcome {
	o.Kind, o.Detail = k, detail
	return o
}

// FirstTokenSinceArrival returns the time from arrival to the first token, which counts
// the generator's own lateness.
func (o Outcome) FirstTokenSinceArrival() dragonflyduration.Duration {
	return o.Lateness + o.FirstToken
}

// MeetsTarget reports whether the request met its class's target: whole, the first
// token in time, and 95 in 100 of its gaps in time.
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
