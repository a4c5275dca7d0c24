// Package dragonflywaitingevent defines the events that a waiting room handles.
package dragonflywaitingevent

import (
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflymodelreturn"
	"dragonflyrelay.example/library/values/dragonflywaitingrequest"
)

// kind is the type of an event.
type kind uint8

// Kinds of events.
const (
	// Arrived carries a request that cannot be served at present.
	Arrived kind = iota + 1
	// Announced carries a request without a route whose body has not been read, with the
	// expected size of it. Released means that recovery is expected in time and
	// that memory is reserved until the request arrives, leaves or is refused.
	Announced
	// Left reports that the caller of the request ID has gone.
	Left
	// Followed carries the state of control after a response of the leader.
	Followed
	// Ticked reports that time has passed.
	Ticked
)

// Event is one input of a waiting room. Only the fields of its kind are set.
type Event struct {
	// Kind is the type of the event.
	Kind kind
	// Request belongs to Arrived and Announced, and ID to Left.
	Request dragonflywaitingrequest.Request
	ID      uint64
	// The fields below belong to Followed. Sequence numbers the state, and Ready reports
	// that requests can be routed by it. Returns are the estimates of control.
	Sequence uint64
	Ready    bool
	Returns  []dragonflymodelreturn.Return
	// HasTable reports that Endpoints is set, the routing table, Complete that endpoints
	// missing from it are removed, and Entries is the number of entries. Endpoints in
	// OutZones, the availability zones that are out of service, take no requests.
	HasTable, Complete bool
	Endpoints          []dragonflyendpoint.Endpoint
	OutZones           []string
	Entries            int
}
