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

// Values of the field type in the JSON of an error.
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

// apiError is an error response of the HTTP API. The zero value means no error.
type apiError struct {
	status  int
	kind    string
	code    string
	message string
	// outcome is the header dragonfly-outcome; "" means outcomeNotRun.
	outcome string
	// retryAfter is sent with status 429 and 503, rounded up to whole seconds and
	// at least 1 s.
	retryAfter time.Duration
}

func notRunError(status int, code, message string) apiError {
	return apiError{status: status, kind: kindUnavailable, code: code, message: message}
}

func (ae apiError) outcomeOrDefault() string {
	if ae.outcome == "" {
		return outcomeNotRun
	}
	return ae.outcome
}

func (ae apiError) body() []byte { return dragonflyreply.Error(ae.message, ae.kind, ae.code, "") }

// event returns the data of the error event of a stream. It includes the outcome,
// because the headers of the stream have already been sent.
func (ae apiError) event() []byte {
	return dragonflyreply.Error(ae.message, ae.kind, ae.code, ae.outcomeOrDefault())
}

// writeError sends ae as the response.
func writeError(c *app.RequestContext, ae apiError) {
	c.Header(headerOutcome, ae.outcomeOrDefault())
	if ae.status == 429 || ae.status == 503 {
		seconds := max((ae.retryAfter+time.Second-1)/time.Second, 1)
		c.Header("Retry-After", strconv.Itoa(int(seconds)))
	}
	c.Data(ae.status, jsonContentType, ae.body())
}

// endError returns the error response for a request that the action a ends without a
// complete answer.
func endError(a dragonflyentryaction.Action) apiError {
	ae := apiError{status: 503, kind: kindUnavailable, code: a.Reason, retryAfter: time.Duration(a.RetryAfter)}
	switch a.Outcome {
	case dragonflyentryaction.NotRun:
		ae.message = "the request has not run: " + a.Reason
		if a.Reason == dragonflyentryaction.ReasonWorkspaceLimit {
			ae.status = 429
		}
	case dragonflyentryaction.Failed:
		ae.status, ae.kind, ae.outcome = 502, kindFailed, outcomeFailed
		ae.message = "the answer could not be completed: " + a.Reason
	case dragonflyentryaction.Replayed:
		return claimError(a.Result)
	default:
		ae.status, ae.kind, ae.outcome = 502, kindFailed, outcomeUnknown
		ae.message = "it is unknown whether the call has run: " + a.Reason
	}
	if ae.status == 502 && a.Reason == dragonflyentryaction.ReasonDeadline {
		ae.status = 504
	}
	return ae
}

// claimError returns the error for a call whose idempotency key another call has
// claimed. A call in progress may be running, so its outcome is unknown.
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

// outcomeName returns the key of the outcome of a in the metric
// dragonfly-entry-outcomes.
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

// quote returns the first 64 bytes of s in quotes.
func quote(s string) string { return strconv.Quote(s[:min(len(s), 64)]) }
