// Package dragonflyentryaction is what the composed core of an entry asks for.
package dragonflyentryaction

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflylist"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"dragonflyrelay.example/library/values/dragonflywork"
)

// kind tells what an Action asks for.
type kind uint8

// Kinds of actions.
const (
	// Send opens a stream to Address and sends Work.
	Send kind = iota + 1
	// Cancel ends the stream of Work's request and attempt.
	Cancel
	// Progress shows the caller all tokens of its answer so far.
	Progress
	// End gives the caller the end of its answer.
	End
	// Propose sends Change to control.
	Propose
	// Record writes Occurrence to the time line.
	Record
	// Forget is the last action of a request.
	Forget
)

// outcome tells how a request ended.
type outcome uint8

// Outcomes of End.
const (
	// Completed tells that the answer is complete.
	Completed outcome = iota + 1
	// NotRun tells that no upstream has run the request, or ever will.
	NotRun
	// Failed tells that a request that may be repeated has no whole answer.
	Failed
	// Unknown tells that it is not known whether the call has run.
	Unknown
	// Replayed carries the result of a call with an idempotency key that was
	// made before.
	Replayed
)

// Reasons of an End that is not Whole, beside those of refusals.
const (
	ReasonWorkspaceLimit = "workspace-limit"
	ReasonDeadline       = "deadline"
	ReasonStalled        = "stalled"
	ReasonAttempts       = "too-many-attempts"
	ReasonDisconnected   = "caller-vanished"
	ReasonLosses         = "too-many-losses"
	// ReasonNoConnection and ReasonEntryBusy tell that the entry could not send
	// the attempt, so that no agent has seen it.
	ReasonNoConnection = "no-connection"
	ReasonEntryBusy    = "entry-busy"
)

// Action is one output of the composed core. Only the fields of its kind are set.
type Action struct {
	// Kind tells which of the fields below count.
	Kind kind
	// Request is the request id of all kinds but Note.
	Request string
	// Attempt is the attempt of Send and Cancel.
	Attempt int
	// Address is the IP and port of the agent of Send.
	Address string
	// Work is the work of Send.
	Work dragonflywork.Work
	// Tokens holds the answer so far, for Progress and End.
	Tokens dragonflylist.List[string]

	// Outcome tells how the request ended.
	Outcome outcome
	// Reason tells why an End is not Whole.
	Reason string
	// RetryAfter is a hint with NotRun; 0 means none.
	RetryAfter dragonflyduration.Duration
	// Status, Headers and Body are a service's answer.
	Status  int
	Headers [][2]string
	Body    []byte
	// Result is the result behind Replayed.
	Result dragonflyresult.Result

	// Change is the change of Propose; its At is set by the shell.
	Change dragonflychange.Change
	// Occurrence is the entry of Note.
	Occurrence dragonflyoccurrence.Occurrence
}
