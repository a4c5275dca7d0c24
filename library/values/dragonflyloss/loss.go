// Package dragonflyloss defines an entry's report of requests that were lost at an
// endpoint before they were answered.
package dragonflyloss

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflypromptpart"
)

// Loss is the loss of one endpoint as an entry has seen it.
type Loss struct {
	// ID and Boot identify the upstream and its start.
	ID   string
	Boot int64
	// Age is the time since the first request was lost.
	Age dragonflyduration.Duration
	// Refused reports that the endpoint has refused a connection since, so that it has
	// crashed.
	Refused bool
	// Parts are the shared parts of the prompts of the requests that were lost, and the
	// fingerprints of these requests.
	Parts []dragonflypromptpart.Part
}
