// Package dragonflyforwarding is what an entry adds to a request that it sends
// to an upstream.
package dragonflyforwarding

import "dragonflyrelay.example/library/common/dragonflyduration"

// Forwarding describes one attempt at an upstream.
type Forwarding struct {
	// Instance is the upstream that the request is meant for.
	Instance string
	// Workspace is the holder of the caller's key, "" if there is none.
	Workspace string
	// TimeLeft is how long the upstream may work.
	TimeLeft dragonflyduration.Duration
	// Urgency orders requests at an engine from 0, the most urgent, to 9.
	Urgency int
	// LastEvent is the id of the last event passed on, "" if none has been.
	LastEvent string
}
