// Package dragonflyforwarding defines the metadata that an entry adds to a
// request to an upstream.
package dragonflyforwarding

import "dragonflyrelay.example/library/common/dragonflyduration"

// Forwarding is the metadata of one attempt at an upstream.
type Forwarding struct {
	// Instance is the upstream that the request is addressed to.
	Instance string
	// Workspace is the workspace of the caller's key, "" if there is none.
	Workspace string
	// TimeLeft is the time in which the upstream must answer.
	TimeLeft dragonflyduration.Duration
	// Urgency orders requests at an engine from 0, the most urgent, to 9.
	Urgency int
	// LastEvent is the id of the last event sent to the caller, "" if there is none.
	LastEvent string
}
