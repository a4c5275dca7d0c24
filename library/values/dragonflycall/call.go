// Package dragonflycall defines the routing attributes of a caller's request.
package dragonflycall

import "dragonflyrelay.example/library/common/dragonflyduration"

// Call is one attempt of a caller.
type Call struct {
	// ID identifies the attempt.
	ID string
	// Host and Path select the route.
	Host, Path string
	// Key is the caller's API key, "" if there is none.
	Key string
	// Model is the model of a generation, "" for other calls.
	Model string
	// PromptTokens is the prompt length of a generation and MaxTokens the bound on
	// its answer.
	PromptTokens, MaxTokens int
	// SharedParts are the ids of the parts of the prompt that other requests may have
	// in common with it, in order; nil if the caller names none.
	SharedParts []string
	// TimeLeft is the time until the caller's deadline, 0 if it states none.
	TimeLeft dragonflyduration.Duration
}
