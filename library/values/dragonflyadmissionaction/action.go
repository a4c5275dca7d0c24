// Package dragonflyadmissionaction is what the admission core decides.
package dragonflyadmissionaction

import "dragonflyrelay.example/library/common/dragonflyduration"

// kind tells what was decided.
type kind uint8

// Kinds of actions.
const (
	// Start sends the request to the upstream.
	Start kind = iota + 1
	// Refuse gives the request back; it has not been sent to the upstream.
	Refuse
	// LimitChanged tells that the limit of concurrent requests became Limit for Reason.
	LimitChanged
)

// Action is one decision.
type Action struct {
	// Kind tells what was decided.
	Kind kind
	// ID identifies the request of Start and Refuse.
	ID uint64
	// Reason belongs to Refuse and Ramp.
	Reason string
	// RetryAfter is a hint that belongs to Refuse; 0 means none.
	RetryAfter dragonflyduration.Duration
	// Limit belongs to Ramp.
	Limit int
}
