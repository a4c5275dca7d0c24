// Package dragonflyagentaction defines the actions that the core of an agent
// requests from the code that runs it.
package dragonflyagentaction

import (
	"dragonflyrelay.example/library/values/dragonflyadmissionaction"
	"dragonflyrelay.example/library/values/dragonflygroupaction"
)

// kind is the component of the agent that an action comes from.
type kind uint8

// Kinds of actions.
const (
	// Group is an action of the group membership or the group lease.
	Group kind = iota + 1
	// Admission is a decision of the admission core.
	Admission
)

// Action is one output of the core of an agent. Only the field of its kind is set.
type Action struct {
	// Kind is the component that the action comes from.
	Kind kind
	// Group is the action of kind Group.
	Group dragonflygroupaction.Action
	// Admission is the decision of kind Admission.
	Admission dragonflyadmissionaction.Action
}
