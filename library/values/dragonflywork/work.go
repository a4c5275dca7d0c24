// Package dragonflywork defines one attempt at a request, sent by an entry to
// an agent.
package dragonflywork

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
)

// kind is the type of work.
type kind uint8

// Kinds of work.
const (
	// Completion generates tokens on an engine.
	Completion kind = iota + 1
	// Call forwards an HTTP call to a plain service.
	Call
)

// Work is one attempt at a request. Its slices must not be modified.
type Work struct {
	// Request identifies the request across all attempts: 32 hex digits.
	Request string
	// Attempt numbers the attempts at one request from 1.
	Attempt int
	// Group is the id of the group that the entry addresses, 0 for a service.
	Group uint64
	// Fence is the group's fencing number in the entry's routing table.
	Fence uint64
	// Workspace names the caller's workspace.
	Workspace string
	// Class names the request's class.
	Class string
	// Kind determines which of the fields below are set.
	Kind kind

	// Model names the model of a completion.
	Model string
	// Prompt is the complete prompt of a completion.
	Prompt string
	// MaxTokens limits the answer of a completion, counted from its beginning.
	MaxTokens int
	// Delivered holds the tokens that the caller already has, on a resume.
	Delivered []string

	// FirstToken is the target time to the first token.
	FirstToken dragonflyduration.Duration
	// Gap is the target time between two tokens.
	Gap dragonflyduration.Duration
	// Deadline is the time left when the work was sent; 0 means no deadline.
	Deadline dragonflyduration.Duration
	// ConfigVersion is the version of the entry's configuration.
	ConfigVersion uint64
	// ConfirmationAge is an upper bound on the age of its last confirmation.
	ConfirmationAge dragonflyduration.Duration

	// Service names the service of a call.
	Service string
	// Method is the HTTP method of a call.
	Method string
	// Path is the path and query of a call, starting with a slash.
	Path string
	// Headers are the headers of a call, each a name and a value.
	Headers [][2]string
	// Body is the body of a call.
	Body []byte
	// Idempotent reports whether the request may be retried. It is set for every
	// completion.
	Idempotent bool
}
