// Package dragonflycallaction is what a stand-in for a plain service decides about a call.
package dragonflycallaction

import "dragonflyrelay.example/library/common/dragonflyduration"

// kind tells how a call ends.
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

// Action tells how to end the call at Place after Delay.
type Action struct {
	// Kind tells how the call ends.
	Kind kind
	// CallID tells the calls in progress apart.
	CallID uint64
	// Run is how often this request id has run, this call included.
	Run int
	// Delay is the time of the call.
	Delay dragonflyduration.Duration
}
