// Package dragonflyentryaction defines the actions that the composed core of an
// entry requests from the code that runs it.
package dragonflyentryaction

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflylist"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"dragonflyrelay.example/library/values/dragonflywork"
)

// kind is the type of an action.
type kind uint8

// Kinds of actions.
const (
	// Send opens a stream to Address and sends Work.
	Send kind = iota + 1
	// Cancel ends the stream of Work's request and attempt.
	Cancel
	// Progress carries all tokens of the caller's answer so far.
	Progress
	// End ends the caller's answer.
	End
	// Propose sends Change to control.
	Propose
	// LogOccurrence writes Occurrence to the timeline.
	LogOccurrence
	// Forget is the last action of a request, whose state may be dropped.
	Forget
)

// outcome is the result of a request.
type outcome uint8

// Outcomes of End.
const (
	// Completed means that the answer is complete.
	Completed outcome = iota + 1
	// NotRun means that no upstream has run the request or ever will.
	NotRun
	// Failed means that an idempotent request may have run, but has no complete
	// answer. The caller may retry it.
	Failed
	// Unknown means that a request that is not idempotent may have run, but has
	// no complete answer.
	Unknown
	// Replayed carries the result of an earlier call with the same idempotency key.
	Replayed
)

// Reasons of an End that is not Completed, in addition to those of refusals.
const (
	ReasonWorkspaceLimit = "workspace-limit"
	ReasonDeadline       = "deadline"
	ReasonStalled        = "stalled"
	ReasonAttempts       = "too-many-attempts"
	ReasonDisconnected   = "caller-vanished"
	ReasonLosses         = "too-many-losses"
	// ReasonNoConnection and ReasonEntryBusy mean that the entry could not send the
	// attempt, so that no agent has received it.
	ReasonNoConnection = "no-connection"
	ReasonEntryBusy    = "entry-busy"
)

// Action is one output of the composed core. Only the fields of its kind are set.
type Action struct {
	// Kind determines which of the fields below are set.
	Kind kind
	// Request is the request id of all kinds but LogOccurrence.
	Request string
	// Attempt is the attempt of Send and Cancel.
	Attempt int
	// Address is the IP and port of the agent of Send.
	Address string
	// Work is the work of Send.
	Work dragonflywork.Work
	// Tokens holds all tokens of the answer so far, for Progress and End.
	Tokens dragonflylist.List[string]

	// Outcome is the result of the request.
	Outcome outcome
	// Reason is the cause of an End that is not Completed.
	Reason string
	// RetryAfter is the hint of NotRun when to retry; 0 means none.
	RetryAfter dragonflyduration.Duration
	// Status, Headers and Body are a service's answer.
	Status  int
	Headers [][2]string
	Body    []byte
	// Result is the result of Replayed.
	Result dragonflyresult.Result

	// Change is the change of Propose; its At is set when it is sent.
	Change dragonflychange.Change
	// Occurrence is the timeline entry of LogOccurrence.
	Occurrence dragonflyoccurrence.Occurrence
}
