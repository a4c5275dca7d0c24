// Package dragonflyengineaction is what a stand-in engine decides.
package dragonflyengineaction

import "dragonflyrelay.example/library/common/dragonflyinstant"

// kind tells what an Action does.
type kind uint8

// Kinds of actions.
const (
	// Accept tells a caller that its request runs or an order was accepted.
	Accept kind = iota + 1
	// Refuse tells a caller that its request has not run or an order was refused.
	Refuse
	// Token sends the token at Index.
	Token
	// Finish ends a whole answer of Index tokens.
	Finish
	// Break ends an answer that is not whole.
	Break
	// Wake asks for a Tick at At.
	Wake
)

// Reasons of Refuse and Break.
const (
	ReasonNotReady        = "not-ready"
	ReasonNotHead         = "not-head"
	ReasonIncompleteGroup = "group-not-whole"
	ReasonQueueFull       = "queue-full"
	ReasonOldFence        = "old-fence"
	ReasonRefusing        = "refusing-orders"
	ReasonDuplicate       = "duplicate-request"
	ReasonUnloaded        = "unloaded"
)

// Action is one action. Only the fields of its kind are set.
type Action struct {
	// Kind tells what to do.
	Kind kind
	// ID names the request or the call.
	ID string
	// Index is the token's index, or the number of tokens of Finish.
	Index int
	// Reason tells why a request was refused or broke.
	Reason string
	// At is the time of Wake.
	At dragonflyinstant.Instant
}
