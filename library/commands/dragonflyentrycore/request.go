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

// request is one request in progress. It isn't modified once it is in the map. The
// map holds pointers because it copies up to 32 neighbouring values on every change.
type request struct {
	work   dragonflywork.Work
	answer dragonflyanswer.Answer
	claim  dragonflyclaim.Claim
	// routeKey is the key of the current attempt's route, or "" without an attempt.
	routeKey string
	// started is set if the current attempt was sent to the upstream.
	started bool
	// mayHaveRun is set if an upstream may have run the request in any attempt.
	mayHaveRun bool
	// losses counts the attempts that failed after they were started.
	losses int
	// retry is set if an agent has received the last attempt, so that the next one
	// counts as a retry; lastLost is set if the last one failed and wasn't refused.
	retry, lastLost bool
	tried           []string
	sentAt          dragonflyinstant.Instant
	lastFrameAt     dragonflyinstant.Instant
	// waiting is set while the request waits for a route, at most until waitUntil,
	// which bounds all waits since the last token together.
	waiting   bool
	waitUntil dragonflyinstant.Instant
	deadline  dragonflyinstant.Instant
	reason    string // of the last refusal or failure
	// retryAfter is the delay that the last refusal suggested.
	retryAfter dragonflyduration.Duration
	// result is the End action that is held back until the claim is settled.
	result *dragonflyentryaction.Action
	// callerDone is set if the caller has been answered or has disconnected.
	callerDone bool
}

func newRequest(now dragonflyinstant.Instant, ev dragonflyentryevent.Event) request {
	rq := request{work: ev.Work}
	rq.work.Request = ev.Request
	rq.answer = dragonflyanswer.Answer{}.WithIdempotent(ev.Work.Idempotent)
	if ev.ClaimKey != "" {
		rq.claim = dragonflyclaim.New(ev.ClaimKey, ev.Fingerprint, ev.Request)
	}
	if ev.Deadline > 0 {
		rq.deadline = now.Add(ev.Deadline)
	}
	return rq
}

// affinity returns the prompt, whose start decides on the preferred routes. Calls to
// services share no prefix, so they are spread by their request id.
func (rq request) affinity() string {
	if rq.work.Kind == dragonflywork.Completion {
		return rq.work.Prompt
	}
	return rq.work.Request
}

// remaining returns the time until the deadline, at least 1 ns; 0 means no deadline.
func (rq request) remaining(now dragonflyinstant.Instant) dragonflyduration.Duration {
	if rq.deadline == 0 {
		return 0
	}
	return max(rq.deadline.Sub(now), 1)
}

func (rq request) expired(now dragonflyinstant.Instant) bool {
	return rq.deadline != 0 && !rq.deadline.After(now)
}

// withTried returns the request with key added to the routes it has tried.
func (rq request) withTried(key string) request {
	rq.tried = append(append([]string(nil), rq.tried...), key)
	return rq
}

// end returns a, which has an outcome and a reason, as the End action of the request.
func (rq request) end(a dragonflyentryaction.Action) dragonflyentryaction.Action {
	a.Kind, a.Request, a.Tokens = dragonflyentryaction.End, rq.work.Request, rq.answer.Tokens()
	a.RetryAfter = rq.retryAfter
	return a
}

// incomplete returns the End action of a request without a complete answer. Its
// outcome is NotRun only if no attempt can have reached an upstream.
func (rq request) incomplete(reason string) dragonflyentryaction.Action {
	a := dragonflyentryaction.Action{Outcome: dragonflyentryaction.Unknown, Reason: reason}
	switch {
	case !rq.mayHaveRun:
		a.Outcome = dragonflyentryaction.NotRun
	case rq.work.Idempotent:
		a.Outcome = dragonflyentryaction.Failed
	}
	return rq.end(a)
}

// cancel returns the action that closes the stream of the current attempt.
func (rq request) cancel() dragonflyentryaction.Action {
	return dragonflyentryaction.Action{Kind: dragonflyentryaction.Cancel, Request: rq.work.Request, Attempt: rq.answer.Attempt()}
}

func (rq request) forget() dragonflyentryaction.Action {
	return dragonflyentryaction.Action{Kind: dragonflyentryaction.Forget, Request: rq.work.Request}
}

func (rq request) record(event, detail string) dragonflyentryaction.Action {
	return dragonflyentryaction.Action{Kind: dragonflyentryaction.LogOccurrence, Occurrence: dragonflyoccurrence.Occurrence{
		Event: event, Request: rq.work.Request, Group: rq.work.Group,
		Detail: "attempt " + strconv.Itoa(rq.answer.Attempt()) + detail,
	}}
}
