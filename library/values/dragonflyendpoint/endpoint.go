// Package dragonflyendpoint defines an upstream that requests may be sent to.
package dragonflyendpoint

import "dragonflyrelay.example/library/common/dragonflyduration"

// Endpoint is an entry of the routing table: a plain upstream or the head of a
// group.
type Endpoint struct {
	// ID and Boot identify the upstream and its start; Address is its IP and port.
	ID      string
	Boot    int64
	Address string
	// Service names the service; Model is the model that the group serves, "" for a
	// plain upstream.
	Service, Model string
	// Zone is the availability zone of the upstream.
	Zone string
	// Group and Epoch identify the group, "" and 0 for a plain upstream.
	Group string
	Epoch uint64
	// Slots is the number of requests that run concurrently.
	Slots int
	// ColdLeft is the remaining time for which the upstream is cold and serves only
	// a reduced load.
	ColdLeft dragonflyduration.Duration
	// Leaving upstreams accept no new requests.
	Leaving bool
	// Silent upstreams do not answer at present and may go on. They get new requests
	// only if there is no other.
	Silent bool
	// Unreported upstreams are heads of which control has no recent report. Entries report
	// the latest answers that they have had of them.
	Unreported bool
}
