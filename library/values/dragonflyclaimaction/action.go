// Package dragonflyclaimaction defines the actions that the core of a claimed
// call, which is a call with an idempotency key, requests.
package dragonflyclaimaction

import (
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyresult"
)

// kind is the type of an action.
type kind uint8

// Kinds of actions.
const (
	// Propose sends Change to control.
	Propose kind = iota + 1
	// Run sends the call to an upstream; it is requested at most once.
	Run
	// Refuse answers that the call has not run and will not.
	Refuse
	// Replay returns the stored answer, or the reason why there is none.
	Replay
	// Deliver permits sending the answer of the call to the caller.
	Deliver
)

// Action is one output of the core of a claimed call.
type Action struct {
	// Kind determines which of the fields below are set.
	Kind kind
	// Change is the change of Propose; its At is set when it is sent.
	Change dragonflychange.Change
	// Result is the result that Replay returns: ClaimStored, ClaimInProgress,
	// ClaimUnknown or ClaimMismatch.
	Result dragonflyresult.Result
	// Reason is the cause of Refuse.
	Reason string
}
