// Package dragonflyroutecandidate defines a route as input to the ranking for a
// request.
package dragonflyroutecandidate

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
)

// Candidate is a route with the entry's estimate of its load.
type Candidate struct {
	// Route is the key of the route.
	Route string
	// Region and Zone are the location of the route.
	Region, Zone string
	// Busy is the estimated number of requests that run or wait on the route,
	// including the entry's own that the last load sample does not contain.
	Busy int
	// Limit is the number of requests that the route runs concurrently, at least 1.
	Limit int
	// FirstToken is the smoothed time to the first token; 0 if unknown.
	FirstToken dragonflyduration.Duration
	// Tried reports whether the request has already been sent to this route.
	Tried bool
}
