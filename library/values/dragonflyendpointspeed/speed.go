// Package dragonflyendpointspeed defines the speed of an endpoint as measured by an
// entry.
package dragonflyendpointspeed

import "dragonflyrelay.example/library/common/dragonflyduration"

// Speed is the speed of one endpoint, measured on its streams in progress.
type Speed struct {
	// ID identifies the endpoint.
	ID string
	// Pass is the typical time between two events of a stream, 0 if unknown.
	Pass dragonflyduration.Duration
	// Waited is the waiting time of the oldest stream without an event.
	Waited dragonflyduration.Duration
}
