// Package dragonflyrequest describes one request of a generated load.
package dragonflyrequest

import "dragonflyrelay.example/library/common/dragonflyduration"

// Request is one completion request.
type Request struct {
	// ID is unique within the load.
	ID string
	// At is the time of arrival, measured from the start of the load.
	At dragonflyduration.Duration
	// Workspace and Class are the names of the workspace and of the class; Key is the
	// bearer key.
	Workspace, Key, Class string
	// FirstToken and Gap are the targets of the class; 0 means none.
	FirstToken, Gap dragonflyduration.Duration
	// Prompt is the prompt, MaxTokens the length of the complete answer.
	Prompt    string
	MaxTokens int
}
