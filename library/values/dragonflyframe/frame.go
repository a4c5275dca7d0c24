// Package dragonflyframe defines one message of an answer, sent by an agent to
// an entry.
package dragonflyframe

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyload"
)

// kind is the type of a frame.
type kind uint8

// Kinds of frames. Refused, Done, Failed and Response end an answer.
const (
	// Refused reports that the work never reached the upstream.
	Refused kind = iota + 1
	// Started reports that the work was sent to the upstream.
	Started
	// Token carries one token.
	Token
	// Done ends a completion; Index is the number of tokens of the answer.
	Done
	// Failed ends the attempt with an incomplete answer or none.
	Failed
	// Response carries the complete answer of a service.
	Response
)

// Reasons of a refusal.
const (
	ReasonZoneOut     = "zone-out"
	ReasonLeaving     = "leaving"
	ReasonNotReady    = "not-ready"
	ReasonNoLease     = "no-lease"
	ReasonOverloaded  = "overloaded"
	ReasonDeadline    = "deadline"
	ReasonStaleConfig = "stale-config"
	ReasonWrongGroup  = "wrong-group"
)

// Frame is one message of an answer.
type Frame struct {
	// Kind determines which of the fields below are set.
	Kind kind
	// Attempt is the attempt that the frame belongs to.
	Attempt int
	// Index is the position of a token, from 0, or the count of a Done.
	Index int
	// Text is the text of a token.
	Text string
	// Reason is the cause of a refused or failed attempt.
	Reason string
	// RetryAfter is the hint of a refusal when to retry; 0 means none.
	RetryAfter dragonflyduration.Duration
	// MayHaveRun reports whether the upstream may have run the work.
	MayHaveRun bool
	// Load is the upstream's load at the time the frame was sent.
	Load dragonflyload.Load
	// Status is the HTTP status of a response.
	Status int
	// Headers are the headers of a response.
	Headers [][2]string
	// Body is the body of a response.
	Body []byte
}
