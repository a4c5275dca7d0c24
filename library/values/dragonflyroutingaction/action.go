// Package dragonflyroutingaction defines the answers of the routing core to a
// request for a route.
package dragonflyroutingaction

import (
	"dragonflyrelay.example/library/values/dragonflyroute"
)

// kind is the type of an action.
type kind uint8

// Kinds of actions.
const (
	// Use sends the attempt to Route.
	Use kind = iota + 1
	// Wait reports that no route can accept the attempt now.
	Wait
)

// Reasons of Wait.
const (
	ReasonNoRoute     = "no-route"
	ReasonRetryBudget = "retry-budget"
)

// Action is one output of the routing core.
type Action struct {
	// Kind determines which of the fields below are set.
	Kind kind
	// Route is the route of Use.
	Route dragonflyroute.Route
	// Reason is the cause of Wait.
	Reason string
}
