// Package dragonflycontrolaction is what the composed core of a control instance
// asks its shell to do.
package dragonflycontrolaction

import (
	"dragonflyrelay.example/library/values/dragonflyconsensusaction"
	"dragonflyrelay.example/library/values/dragonflyresult"
)

// kind tells what is asked for.
type kind uint8

// Kinds of actions.
const (
	// Consensus asks for the Persist or Send of Consensus.
	Consensus kind = iota + 1
	// Answer gives Result to the proposal Request. If Leader is set, the proposal
	// was not appended and is to be sent there.
	Answer
)

// Action is one thing to do. Only the fields of its kind are set.
type Action struct {
	// Kind tells what is asked for.
	Kind kind
	// Consensus is the action of the consensus core.
	Consensus dragonflyconsensusaction.Action
	// Request identifies a proposal within the process.
	Request uint64
	// Result is what became of the proposal.
	Result dragonflyresult.Result
	// Leader names the leader to ask instead, "" if none.
	Leader string
}
