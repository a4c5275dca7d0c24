// Package dragonflyendpoint is one upstream that requests may be sent to.
package dragonflyendpoint

import "dragonflyrelay.example/library/common/dragonflyduration"

// Endpoint is a row of the routing table: a plain upstream or the head of a group.
type Endpoint struct {
	// ID and Boot identify the upstream; Address is its IP and port.
	ID      string
	Boot    int64
	Address string
	// Service is the service; Model is what the group serves, "" if it is plain.
	Service, Model string
	// Zone is the availability zone of the upstream.
	Zone string
	// Group and Epoch identify the group, "" and 0 if it is plain.
	Group string
	Epoch uint64
	// Slots is the number of requests run at once.
	Slots int
	// ColdLeft is how much longer the upstream bears little work.
	ColdLeft dragonflyduration.Duration
	// Leaving upstreams must not be sent new requests.
	Leaving bool
}
