// Package dragonflycallerlimits bounds what callers may send.
package dragonflycallerlimits

import "dragonflyrelay.example/library/common/dragonflyduration"

// Limits are the bounds of a routing document. A zero bound does not apply.
type Limits struct {
	// HeaderBytes and BodyBytes bound the size of a request.
	HeaderBytes, BodyBytes int
	// HeaderTimeout bounds the time to send a request's header.
	HeaderTimeout dragonflyduration.Duration
	// IdleTimeout bounds the time between two requests of a connection.
	IdleTimeout dragonflyduration.Duration
}
