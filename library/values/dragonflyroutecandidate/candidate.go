// Package dragonflyroutecandidate is one route as the ranking of a request sees it.
package dragonflyroutecandidate

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
)

// Candidate is a route with what the entry knows of its load.
type Candidate struct {
	// Route is the key of the route.
	Route string
	// Region and Zone tell where the route is.
	Region, Zone string
	// Busy estimates the requests that run or wait on the route, including the
	// entry's own that the last load sample does not show.
	Busy int
	// Limit is the number of requests that the route runs at a time, at least 1.
	Limit int
	// FirstToken is the smoothed time until the first token; 0 if unknown.
	FirstToken dragonflyduration.Duration
	// Tried tells that the request has already been on this route.
	Tried bool
}
