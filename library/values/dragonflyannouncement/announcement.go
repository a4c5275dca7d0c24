// Package dragonflyannouncement is what an upstream says of itself to the agent in its slot.
package dragonflyannouncement

import (
	"dragonflyrelay.example/library/values/dragonflyload"
)

// state tells how much work an upstream can bear.
type state uint8

// States of an upstream.
const (
	// Cold bears only a little load, if any.
	Cold state = iota + 1
	// Warming is loading a model or filling its caches.
	Warming
	// Ready bears full load.
	Ready
	// Leaving takes no new work.
	Leaving
)

// kind tells what an upstream is.
type kind uint8

// Kinds of upstreams.
const (
	// Engine is one rank of a model engine.
	Engine kind = iota + 1
	// Service is a plain service.
	Service
)

// Announcement is what an upstream says of itself once a second.
type Announcement struct {
	// Instance is the id of the upstream's instance.
	Instance string
	// Kind tells what the upstream is.
	Kind kind
	// Address is the IP and port on which the upstream takes work.
	Address string
	// Region, Zone and Domain tell where the instance is; Domain is its
	// fabric domain.
	Region, Zone, Domain string
	// Accelerators is the number of accelerators of the instance.
	Accelerators int
	// Model names the model that an engine can load.
	Model string
	// Service names a plain service.
	Service string
	// State tells how much work the upstream can bear.
	State state
	// ChecksFencing tells that an order with an old fencing number is refused.
	ChecksFencing bool
	// ColdLimit is the number of concurrent requests that a cold upstream bears.
	ColdLimit int
	// Group and Fence tell what an engine holds; 0 if nothing.
	Group, Fence uint64
	// Load is the upstream's own view, which lags.
	Load dragonflyload.Load
}
