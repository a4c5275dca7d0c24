// Package dragonflyagentaction is what the core of a whole agent asks its shell
// to do.
package dragonflyagentaction

import (
	"dragonflyrelay.example/library/values/dragonflyadmissionaction"
	"dragonflyrelay.example/library/values/dragonflygroupaction"
)

// kind tells which part of the agent acts.
type kind uint8

// Kinds of actions.
const (
	// Group is an action of membership or lease.
	Group kind = iota + 1
	// Admission is a decision of admission.
	Admission
)

// Action is one output. Only the field of its kind is set.
type Action struct {
	// Kind tells which part acts.
	Kind kind
	// Group belongs to Group.
	Group dragonflygroupaction.Action
	// Admission belongs to Admission.
	Admission dragonflyadmissionaction.Action
}
