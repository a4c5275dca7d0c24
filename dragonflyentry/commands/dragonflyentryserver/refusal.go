package dragonflyentryserver

import (
	"strconv"
	"time"

	"dragonflyrelay.example/dragonflyentry/queries/dragonflyreply"
	"dragonflyrelay.example/library/values/dragonflyentryaction"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"github.com/cloudwego/hertz/pkg/app"
)

const jsonContentType = "application/json; charset=utf-8"

// Types of errors in JSON.
const (
	kindInvalid     = "invalid_request_error"
	kindUnavailable = "unavailable_error"
	kindFailed      = "upstream_error"
)

// Values of the header dragonfly-outcome.
const (
	outcomeNotRun  = "not-run"
	outcomeFailed  = "failed"
	outcomeUnknown = "unknown"
)

// apiError is an error as the caller gets it. The zero value is none.
type apiError struct {
	status  int
	kind    string
	code    string
	message string
	// outcome is outcomeNotRun if it is "".
	outcome string
	// retryAfter is set for 429 and 503; less than a second counts as one.
	retryAfter time.Duration
}

func notRunError(status int, code, message string) apiError {
	return apiError{status: status, kind: kindUnavailable, code: code, message: message}
}

func (f apiError) outcomeOrDefault() string {
	if f.outcome == "" {
		return outcomeNotRun
	}
	return f.outcome
}

func (f apiError) body() []byte { return dragonflyreply.Error(f.message, f.kind, f.code, "") }

// event is the body of f in a stream, which cannot carry the outcome as a header.
func (f apiError) event() []byte {
	return dragonflyreply.Error(f.message, f.kind, f.code, f.outcomeOrDefault())
}

// writeError answers with f.
func writeError(c *app.RequestContext, f apiError) {
	c.Header(headerOutcome, f.outcomeOrDefault())
	if f.status == 429 || f.status == 503 {
		seconds := max((f.retryAfter+time.Second-1)/time.Second, 1)
		c.Header("Retry-After", strconv.Itoa(int(seconds)))
	}
	c.Data(f.status, jsonContentType, f.body())
}

// endError returns the error of a request that ended with a.
func endError(a dragonflyentryaction.Action) apiError {
	f := apiError{status: 503, kind: kindUnavailable, code: a.Reason, retryAfter: time.Duration(a.RetryAfter)}
	switch a.Outcome {
	case dragonflyentryaction.NotRun:
		f.message = "the request has not run: " + a.Reason
		if a.Reason == dragonflyentryaction.ReasonWorkspaceLimit {
			f.status = 429
		}
	case dragonflyentryaction.Failed:
		f.status, f.kind, f.outcome = 502, kindFailed, outcomeFailed
		f.message = "the answer could not be completed: " + a.Reason
	case dragonflyentryaction.Replayed:
		return claimError(a.Result)
	default:
		f.status, f.kind, f.outcome = 502, kindFailed, outcomeUnknown
		f.message = "it is unknown whether the call has run: " + a.Reason
	}
	if f.status == 502 && a.Reason == dragonflyentryaction.ReasonDeadline {
		f.status = 504
	}
	return f
}

// claimError returns the error of a call whose idempotency key is taken. A
// call in progress may be running, so its outcome is unknown.
func claimError(r dragonflyresult.Result) apiError {
	switch r.Outcome {
	case dragonflyresult.ClaimInProgress:
		return apiError{status: 409, kind: kindInvalid, code: "in-progress", outcome: outcomeUnknown,
			message: "a call with this idempotency key is in progress"}
	case dragonflyresult.ClaimMismatch:
		return apiError{status: 422, kind: kindInvalid, code: "key-mismatch",
			message: "the idempotency key was used with another method, path or body"}
	default:
		return apiError{status: 409, kind: kindFailed, code: "outcome-unknown", outcome: outcomeUnknown,
			message: "it is unknown whether the first call with this idempotency key has run"}
	}
}

// outcomeName names the outcome of a in the counters.
func outcomeName(a dragonflyentryaction.Action) string {
	switch a.Outcome {
	case dragonflyentryaction.Completed:
		return "whole"
	case dragonflyentryaction.NotRun:
		return outcomeNotRun
	case dragonflyentryaction.Failed:
		return outcomeFailed
	case dragonflyentryaction.Replayed:
		return "replayed"
	default:
		return outcomeUnknown
	}
}

func quote(s string) string { return strconv.Quote(s[:min(len(s), 64)]) }
