// Package dragonflyadmissionaction defines the decisions of the admission core.
package dragonflyadmissionaction

import "dragonflyrelay.example/library/common/dragonflyduration"

// kind is the type of an action.
type kind uint8

// Kinds of actions.
const (
	// Start sends the request to the upstream.
	Start kind = iota + 1
	// Refuse rejects the request, which has not been sent to the upstream.
	Refuse
	// LimitChanged reports the new limit on concurrent requests, with the Reason
	// for the change.
	LimitChanged
)

// Action is one decision of the admission core. Only the fields of its kind are
// set.
type Action struct {
	// Kind is the type of the action.
	Kind kind
	// ID identifies the request of Start and Refuse.
	ID uint64
	// Reason is the cause of Refuse and LimitChanged.
	Reason string
	// RetryAfter is the hint of Refuse when to retry; 0 means none.
	RetryAfter dragonflyduration.Duration
	// Limit is the new limit of LimitChanged.
	Limit int
}
