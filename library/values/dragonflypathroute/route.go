// Package dragonflypathroute defines a route of a routing document.
package dragonflypathroute

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflytarget"
)

// kind is the retry behaviour of a route.
type kind uint8

// Kinds of routes.
const (
	// NonIdempotent requests run at most once for each attempt of a caller.
	NonIdempotent kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a stream of numbered events.
	Streaming
)

// Route defines how the requests of one host and path prefix are served.
type Route struct {
	// Name identifies the route.
	Name string
	// Host and Prefix select requests; the longest prefix of a host wins.
	Host, Prefix string
	// Kind is the retry behaviour of the route.
	Kind kind
	// Timeout is the longest time that a caller waits for its answer.
	Timeout dragonflyduration.Duration
	// Objective is the target time to the answer or to its first event.
	Objective dragonflyduration.Duration
	// GapTarget is the target time between two events, 0 if the route states none.
	GapTarget dragonflyduration.Duration
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int
	// Targets are the services that the requests are split across.
	Targets []dragonflytarget.Target
	// MaxAttempts is the largest number of upstreams that one attempt of a
	// caller may be sent to.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams can be continued by another upstream after a given event id.
	Resumable bool
}

// Retryable reports whether a request may run again after an unknown outcome.
func (r Route) Retryable() bool { return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable }
