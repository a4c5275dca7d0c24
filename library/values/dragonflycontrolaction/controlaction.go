// Package dragonflycontrolaction defines the actions that the composed core of a
// control instance requests from the code that runs it.
package dragonflycontrolaction

import (
	"dragonflyrelay.example/library/values/dragonflyconsensusaction"
	"dragonflyrelay.example/library/values/dragonflyresult"
)

// kind is the type of an action.
type kind uint8

// Kinds of actions.
const (
	// Consensus executes the Persist or Send of the field Consensus.
	Consensus kind = iota + 1
	// Answer returns Result for the proposal Request. If Leader is set, the proposal
	// was not appended and must be sent there.
	Answer
)

// Action is one output of the core of a control instance. Only the fields of its
// kind are set.
type Action struct {
	// Kind is the type of the action.
	Kind kind
	// Consensus is the action of the consensus core.
	Consensus dragonflyconsensusaction.Action
	// Request identifies a proposal within the process.
	Request uint64
	// Result is the result of the proposal.
	Result dragonflyresult.Result
	// Leader names the leader that must get the proposal instead, "" if none.
	Leader string
}
