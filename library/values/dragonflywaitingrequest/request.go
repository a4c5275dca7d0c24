// Package dragonflywaitingrequest defines a request that waits at an entry until it can be
// served.
package dragonflywaitingrequest

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
)

// Request is a request of which nothing has been sent to an upstream.
type Request struct {
	// ID identifies the request within the entry.
	ID uint64
	// Unrouted reports that the request waits for a document, or for control to confirm
	// one. Service, Model, Rank and Work are then unknown.
	Unrouted bool
	// Service and Model select the endpoints that can serve it, Model "" for those of a
	// plain service.
	Service, Model string
	// Workspace shares the room with others, Rank is the urgency, 0 first.
	Workspace string
	Rank      int
	// Size is the memory of body and head, in bytes.
	Size int64
	// Work is the time that it takes one endpoint, or one slot of a plain one.
	Work dragonflyduration.Duration
	// Objective is the target for the response, from Began, the time of arrival.
	Objective dragonflyduration.Duration
	Began     dragonflyinstant.Instant
	// Until is the latest time at which a response can still reach the caller if the request
	// is sent then, and Deadline the end of the caller's time for all its attempts.
	Until, Deadline dragonflyinstant.Instant
	// Sequence numbers the state of control by which the request could not be served. Stale
	// reports that only a newer routing table, or a second attempt after RetryAt if it is
	// not 0, can change that.
	Sequence uint64
	Stale    bool
	RetryAt  dragonflyinstant.Instant
	// Busy reports that the request has left the room before and found the endpoints full
	// or cold.
	Busy bool
}
