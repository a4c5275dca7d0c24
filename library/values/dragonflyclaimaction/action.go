// Package dragonflyclaimaction is what the core of a claimed call asks for.
package dragonflyclaimaction

import (
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyresult"
)

// kind tells what an Action asks for.
type kind uint8

// Kinds of actions.
const (
	// Propose sends Change to control.
	Propose kind = iota + 1
	// Run lets the call go to an upstream; it is asked for at most once.
	Run
	// Refuse answers that the call has not run and will not.
	Refuse
	// Replay answers with the stored answer, or tells why there is none.
	Replay
	// Deliver lets the answer of the call go to the caller.
	Deliver
)

// Action is one output of the core of a claimed call.
type Action struct {
	// Kind tells which of the fields below count.
	Kind kind
	// Change is the change of Propose; its At is set by the shell.
	Change dragonflychange.Change
	// Result is the result behind Replay: ClaimStored, ClaimInProgress,
	// ClaimUnknown or ClaimMismatch.
	Result dragonflyresult.Result
	// Reason is the reason of Refuse.
	Reason string
}
