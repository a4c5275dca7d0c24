// Package dragonflydirectoryaction is what the directory of instances asks for.
package dragonflydirectoryaction

import (
	"dragonflyrelay.example/library/values/dragonflymember"
)

// kind tells what an Action asks for.
type kind uint8

// Kinds of actions.
const (
	// FormGroup asks to propose a group of Members for Model.
	FormGroup kind = iota + 1
	// DissolveGroup asks to propose that Group is removed.
	DissolveGroup
	// TakeZoneOut asks to propose that Zone is out with no notice left, based on
	// configuration version Base: the notice that operators gave is over.
	TakeZoneOut
)

// Action is one output of the directory, to be proposed to the replicated log.
type Action struct {
	// Kind tells which of the fields below count.
	Kind kind
	// Model names what the new group is to serve.
	Model string
	// Members lists the instances of the new group in rank order.
	Members []dragonflymember.Member
	// Group is the id of the group to dissolve.
	Group uint64
	// Zone and Base are the zone of TakeZoneOut and the configuration version that
	// the decision rests on. On a conflict the directory asks again if the notice
	// still stands.
	Zone string
	Base uint64
	// Reason tells operators why, in a few words.
	Reason string
}
