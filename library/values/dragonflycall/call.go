// Package dragonflycall is what routing must know of a caller's request.
package dragonflycall

import "dragonflyrelay.example/library/common/dragonflyduration"

// Call is one attempt of a caller.
type Call struct {
	// ID identifies the attempt.
	ID string
	// Host and Path select the route.
	Host, Path string
	// Key tells who the caller is, "" if it does not say.
	Key string
	// Model is the model of a generation, "" for other calls.
	Model string
	// PromptTokens and MaxTokens describe a generation.
	PromptTokens, MaxTokens int
	// TimeLeft is how long the caller waits, 0 if it does not say.
	TimeLeft dragonflyduration.Duration
}
