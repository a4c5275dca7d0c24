// Package dragonflygrouporder defines the order to an agent to join or leave a
// group.
package dragonflygrouporder

import (
	"dragonflyrelay.example/library/values/dragonflymember"
)

// kind is the type of an order.
type kind uint8

// Kinds of orders.
const (
	// Form orders an agent to join a group.
	Form kind = iota + 1
	// Dissolve orders an agent to leave a group.
	Dissolve
)

// Order is an order to an agent to join or leave a group. Repeats have no effect.
type Order struct {
	// Kind is the type of the order; 0 means that there is no order.
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
