// Package dragonflyendpointspeed is what an entry sees of an endpoint's speed.
package dragonflyendpointspeed

import "dragonflyrelay.example/library/common/dragonflyduration"

// Speed is the speed of one endpoint, from the streams in progress there.
type Speed struct {
	// ID is the endpoint.
	ID string
	// Pass is the usual time between two events of a stream, 0 if unknown.
	Pass dragonflyduration.Duration
	// Waited is how long the oldest stream without an event has been waiting.
	Waited dragonflyduration.Duration
}
