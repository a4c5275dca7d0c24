// Package dragonflygrouporder tells an agent to join or to leave a group.
package dragonflygrouporder

import (
	"dragonflyrelay.example/library/values/dragonflymember"
)

// kind tells what an Order asks for.
type kind uint8

// Kinds of orders.
const (
	// Form tells an agent to join a group.
	Form kind = iota + 1
	// Dissolve tells an agent to leave a group.
	Dissolve
)

// Order tells an agent to join or to leave a group. Repeats have no effect.
type Order struct {
	// Kind tells what is asked for; 0 means that there is no order.
	Kind kind
	// Group is the group's id.
	Group uint64
	// Fence is the group's fencing number; later groups have higher ones.
	Fence uint64
	// Model names the model to load.
	Model string
	// Members lists the instances in rank order; the first one is the head.
	Members []dragonflymember.Member
}
