// Package dragonflywork is one attempt at a request, sent by an entry to an agent.
package dragonflywork

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
)

// kind tells what a Work asks for.
type kind uint8

// Kinds of work.
const (
	// Completion asks an engine to generate tokens.
	Completion kind = iota + 1
	// Call passes an HTTP call to a plain service.
	Call
)

// Work is one attempt at a request. Slices are never written after the work has
// been built.
type Work struct {
	// Request identifies the request over all attempts: 32 hex digits.
	Request string
	// Attempt numbers the attempts at one request from 1.
	Attempt int
	// Group is the id of the group the entry means, 0 for a service.
	Group uint64
	// Fence is the group's fencing number as the entry knows it.
	Fence uint64
	// Workspace names the caller's workspace.
	Workspace string
	// Class names the request's class.
	Class string
	// Kind tells which of the fields below count.
	Kind kind

	// Model names the model of a completion.
	Model string
	// Prompt is the whole prompt of a completion.
	Prompt string
	// MaxTokens bounds the answer of a completion, counted from its beginning.
	MaxTokens int
	// Delivered holds the tokens that the caller already has, on a resume.
	Delivered []string

	// FirstToken is the target until the first token.
	FirstToken dragonflyduration.Duration
	// Gap is the target between tokens.
	Gap dragonflyduration.Duration
	// Deadline is the time left when the work was sent; 0 means none.
	Deadline dragonflyduration.Duration
	// ConfigVersion is the configuration that the entry has in force.
	ConfigVersion uint64
	// ConfirmationAge bounds the age of that configuration.
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
	// Idempotent tells that the call may be repeated.
	Idempotent bool
}
