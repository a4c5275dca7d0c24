// Package dragonflyroutingaction is the answer of the routing core to a want.
package dragonflyroutingaction

import (
	"dragonflyrelay.example/library/values/dragonflyroute"
)

// kind tells what an Action says.
type kind uint8

// Kinds of actions.
const (
	// Use names the route of the attempt.
	Use kind = iota + 1
	// Wait tells that no route can take the attempt now.
	Wait
)

// Reasons of Wait.
const (
	ReasonNoRoute     = "no-route"
	ReasonRetryBudget = "retry-budget"
)

// Action is one output of the routing core.
type Action struct {
	// Kind tells which of the fields below count.
	Kind kind
	// Route is the route of Use.
	Route dragonflyroute.Route
	// Reason is the reason of Wait.
	Reason string
}
