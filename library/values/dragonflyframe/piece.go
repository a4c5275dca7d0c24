// Package dragonflyframe is one message of an answer, sent by an agent to an entry.
package dragonflyframe

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyload"
)

// kind tells what a Piece says.
type kind uint8

// Kinds of pieces. Refused, Done, Failed and Response are the last of an answer.
const (
	// Refused tells that the work never reached the upstream.
	Refused kind = iota + 1
	// Started tells that the work was sent to the upstream.
	Started
	// Token carries one token.
	Token
	// Done ends a completion; Index is the number of tokens of the answer.
	Done
	// Failed ends the attempt without a whole answer.
	Failed
	// Response carries the whole answer of a service.
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
	// Kind tells which of the fields below count.
	Kind kind
	// Attempt is the attempt that the piece belongs to.
	Attempt int
	// Index is the position of a token, from 0, or the count of a Done.
	Index int
	// Text is the text of a token.
	Text string
	// Reason tells why an attempt was refused or failed.
	Reason string
	// RetryAfter is a hint after a refusal; 0 means none.
	RetryAfter dragonflyduration.Duration
	// Ran tells that the upstream may have run the work.
	Ran bool
	// Load is the upstream's load when the piece was sent.
	Load dragonflyload.Load
	// Status is the HTTP status of a response.
	Status int
	// Headers are the headers of a response.
	Headers [][2]string
	// Body is the body of a response.
	Body []byte
}
