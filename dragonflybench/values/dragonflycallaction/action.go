// Package dragonflycallaction describes how a stand-in for a plain service ends a call.
package dragonflycallaction

import "dragonflyrelay.example/library/common/dragonflyduration"

// kind is the kind of an Action.
type kind uint8

// Kinds of actions.
const (
	// Answer ends the call with status 200.
	Answer kind = iota + 1
	// Fail ends the call with status 500.
	Fail
	// Drop closes the connection without an answer.
	Drop
)

// Action is the decision how to end the call CallID after Delay.
type Action struct {
	// Kind is the way in which the call ends.
	Kind kind
	// CallID identifies the call among those in progress.
	CallID uint64
	// Run is the number of runs of this request id, including this call.
	Run int
	// Delay is the duration of the call.
	Delay dragonflyduration.Duration
}
