package dragonflyentrycore

import (
	"strconv"

	"dragonflyrelay.example/library/commands/dragonflyanswer"
	"dragonflyrelay.example/library/commands/dragonflyclaim"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyentryaction"
	"dragonflyrelay.example/library/values/dragonflyentryevent"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
	"dragonflyrelay.example/library/values/dragonflywork"
)

// request is one request in progress. It is never written once it is in the map,
// which holds pointers because it copies up to 32 neighbours on every change.
type request struct {
	work   dragonflywork.Work
	answer dragonflyanswer.Answer
	claim  dragonflyclaim.Claim
	// routeKey is the key of the route of the current attempt, "" if there is none.
	routeKey string
	// started tells that the current attempt was sent to the upstream.
	started bool
	// mayHaveRun tells that an upstream may have run the request in any attempt.
	mayHaveRun bool
	// losses counts the attempts that broke after they were started.
	losses int
	// retry tells that an agent has seen the last attempt, and lastLost that
	// it broke rather than was refused.
	retry, lastLost bool
	tried           []string
	sentAt          dragonflyinstant.Instant
	lastFrameAt     dragonflyinstant.Instant
	// waiting tells that the request waits for a route, until waitUntil. The
	// bound holds for all waits since the last token.
	waiting   bool
	waitUntil dragonflyinstant.Instant
	deadline  dragonflyinstant.Instant
	reason    string // of the last refusal or failure
	// retryAfter is the hint of the last refusal.
	retryAfter dragonflyduration.Duration
	// result is the end that waits for the claim to be settled.
	result *dragonflyentryaction.Action
	// callerDone tells that the caller has its answer or has gone away.
	callerDone bool
}

func newRequest(now dragonflyinstant.Instant, ev dragonflyentryevent.Event) request {
	f := request{work: ev.Work}
	f.work.Request = ev.Request
	f.answer = dragonflyanswer.Answer{}.WithIdempotent(ev.Work.Idempotent)
	if ev.ClaimKey != "" {
		f.claim = dragonflyclaim.New(ev.ClaimKey, ev.Fingerprint, ev.Request)
	}
	if ev.Deadline > 0 {
		f.deadline = now.Add(ev.Deadline)
	}
	return f
}

// affinity is the start of the prompt. Calls to services share no prefix, so
// the request id spreads them.
func (f request) affinity() string {
	if f.work.Kind == dragonflywork.Completion {
		return f.work.Prompt
	}
	return f.work.Request
}

// remaining returns the time left, 0 if there is no bound.
func (f request) remaining(now dragonflyinstant.Instant) dragonflyduration.Duration {
	if f.deadline == 0 {
		return 0
	}
	return max(f.deadline.Sub(now), 1)
}

func (f request) expired(now dragonflyinstant.Instant) bool {
	return f.deadline != 0 && !f.deadline.After(now)
}

// withTried returns the flight with key among the routes it has been on.
func (f request) withTried(key string) request {
	f.tried = append(append([]string(nil), f.tried...), key)
	return f
}

// end completes a, which has an outcome and a reason, to the end of the request.
func (f request) end(a dragonflyentryaction.Action) dragonflyentryaction.Action {
	a.Kind, a.Request, a.Tokens = dragonflyentryaction.End, f.work.Request, f.answer.Tokens()
	a.RetryAfter = f.retryAfter
	return a
}

// incomplete returns the end of a request that gets no whole answer. It is NotRun only
// if no attempt can have reached an upstream.
func (f request) incomplete(reason string) dragonflyentryaction.Action {
	a := dragonflyentryaction.Action{Outcome: dragonflyentryaction.Unknown, Reason: reason}
	switch {
	case !f.mayHaveRun:
		a.Outcome = dragonflyentryaction.NotRun
	case f.work.Idempotent:
		a.Outcome = dragonflyentryaction.Failed
	}
	return f.end(a)
}

// cancel ends the stream of the current attempt.
func (f request) cancel() dragonflyentryaction.Action {
	return dragonflyentryaction.Action{Kind: dragonflyentryaction.Cancel, Request: f.work.Request, Attempt: f.answer.Attempt()}
}

func (f request) forget() dragonflyentryaction.Action {
	return dragonflyentryaction.Action{Kind: dragonflyentryaction.Forget, Request: f.work.Request}
}

func (f request) note(event, detail string) dragonflyentryaction.Action {
	return dragonflyentryaction.Action{Kind: dragonflyentryaction.Note, Occurrence: dragonflyoccurrence.Occurrence{
		Event: event, Request: f.work.Request, Group: f.work.Group,
		Detail: "attempt " + strconv.Itoa(f.answer.Attempt()) + detail,
	}}
}
