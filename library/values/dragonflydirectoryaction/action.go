// Package dragonflydirectoryaction defines the changes that the directory of
// instances requests.
package dragonflydirectoryaction

import (
	"dragonflyrelay.example/library/values/dragonflymember"
)

// kind is the type of an action.
type kind uint8

// Kinds of actions.
const (
	// FormGroup proposes a group of Members for Model.
	FormGroup kind = iota + 1
	// DissolveGroup proposes the removal of Group.
	DissolveGroup
	// EndZoneNotice proposes that Zone is out of service with no notice left, based on
	// configuration version Base: the notice period set by operators is over.
	EndZoneNotice
)

// Action is one output of the directory, to be proposed to the replicated log.
type Action struct {
	// Kind determines which of the fields below are set.
	Kind kind
	// Model names the model that the new group is to serve.
	Model string
	// Members lists the instances of the new group in rank order.
	Members []dragonflymember.Member
	// Group is the id of the group to dissolve.
	Group uint64
	// Zone and Base are the zone of EndZoneNotice and the configuration version that
	// the decision is based on. On a conflict the directory proposes again if the
	// notice is still set.
	Zone string
	Base uint64
	// Reason is a short explanation for operators.
	Reason string
}
