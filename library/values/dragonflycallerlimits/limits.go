// Package dragonflycallerlimits defines the limits on callers' requests.
package dragonflycallerlimits

import "dragonflyrelay.example/library/common/dragonflyduration"

// Limits are the limits of a routing document. A zero limit does not apply.
type Limits struct {
	// HeaderBytes and BodyBytes limit the size of a request.
	HeaderBytes, BodyBytes int
	// HeaderTimeout limits the time in which a request's header must arrive.
	HeaderTimeout dragonflyduration.Duration
	// IdleTimeout limits the time between two requests of a connection.
	IdleTimeout dragonflyduration.Duration
}
