// Package dragonflypathroute is one route of a routing document.
package dragonflypathroute

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflytarget"
)

// kind tells what of a request may be repeated.
type kind uint8

// Kinds of routes.
const (
	// NonIdempotent requests run at most once for each attempt of a caller.
	NonIdempotent kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by numbered events.
	Streaming
)

// Route tells how the requests of one host and path prefix are served.
type Route struct {
	// Name identifies the route.
	Name string
	// Host and Prefix select requests; the longest prefix of a host wins.
	Host, Prefix string
	// Kind tells what may be repeated.
	Kind kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout dragonflyduration.Duration
	// Objective is the time in which an answer, or its first event, is on time.
	Objective dragonflyduration.Duration
	// GapTarget is the longest pause between two events that is still on time, 0
	// if the route does not say.
	GapTarget dragonflyduration.Duration
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int
	// Targets are the services that the requests are split over.
	Targets []dragonflytarget.Target
	// MaxAttempts is the largest number of upstreams that one attempt of a caller
	// may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams can be continued by another upstream after an event id.
	Resumable bool
}

// Retryable reports whether a request may run again after an unknown outcome.
func (r Route) Retryable() bool { return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable }
