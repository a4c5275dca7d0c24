// Package dragonflyengineaction describes the actions that the core of a stand-in
// engine decides on.
package dragonflyengineaction

import "dragonflyrelay.example/library/common/dragonflyinstant"

// kind is the kind of an Action.
type kind uint8

// Kinds of actions.
const (
	// Accept reports to the caller that its request runs or its order was accepted.
	Accept kind = iota + 1
	// Refuse reports to the caller that its request has not run or its order was
	// refused.
	Refuse
	// Token sends the token at Index.
	Token
	// Finish ends a complete answer of Index tokens.
	Finish
	// Break ends an incomplete answer.
	Break
	// Wake schedules a Tick for the time At.
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
	// Kind is the kind of the action.
	Kind kind
	// ID is the id of the request, or of the call with an order.
	ID string
	// Index is the token's index, or the number of tokens of Finish.
	Index int
	// Reason is the reason of Refuse or Break.
	Reason string
	// At is the time of Wake.
	At dragonflyinstant.Instant
}
