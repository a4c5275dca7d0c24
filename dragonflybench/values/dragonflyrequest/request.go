// Package dragonflyrequest is one request of a generated load.
package dragonflyrequest

import "dragonflyrelay.example/library/common/dragonflyduration"

// Request is one request for a completion.
type Request struct {
	// ID is unique within the load.
	ID string
	// At is when the request arrives, from the start of the load.
	At dragonflyduration.Duration
	// Workspace and Class name who asks and for what; Key is the bearer key.
	Workspace, Key, Class string
	// FirstToken and Gap are the targets of the class, 0 for none.
	FirstToken, Gap dragonflyduration.Duration
	// Prompt is the prompt, MaxTokens the length of the whole answer.
	Prompt    string
	MaxTokens int
}
