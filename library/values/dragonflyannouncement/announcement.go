// Package dragonflyannouncement defines the status message of an upstream to the
// agent of its instance.
package dragonflyannouncement

import (
	"dragonflyrelay.example/library/values/dragonflyload"
)

// state is the readiness of an upstream.
type state uint8

// States of an upstream.
const (
	// Cold upstreams serve at most ColdLimit concurrent requests.
	Cold state = iota + 1
	// Warming upstreams are loading a model or filling their caches.
	Warming
	// Ready upstreams serve full load.
	Ready
	// Leaving upstreams accept no new requests.
	Leaving
)

// kind is the type of an upstream.
type kind uint8

// Kinds of upstreams.
const (
	// Engine is one rank of a model engine.
	Engine kind = iota + 1
	// Service is a plain service.
	Service
)

// Announcement is the status that an upstream sends once a second.
type Announcement struct {
	// Instance is the id of the upstream's instance.
	Instance string
	// Kind is the type of the upstream.
	Kind kind
	// Address is the IP and port on which the upstream accepts requests.
	Address string
	// Region, Zone and Domain are the location of the instance; Domain is its
	// fabric domain.
	Region, Zone, Domain string
	// Accelerators is the number of accelerators of the instance.
	Accelerators int
	// Model names the model that an engine can load.
	Model string
	// Service names a plain service.
	Service string
	// State is the readiness of the upstream.
	State state
	// ChecksFencing reports whether the upstream refuses orders with an old fencing
	// number.
	ChecksFencing bool
	// ColdLimit is the number of concurrent requests that a cold upstream can serve.
	ColdLimit int
	// Group and Fence identify the group that an engine has loaded; 0 if none.
	Group, Fence uint64
	// Load is the upstream's own measurement, which lags behind.
	Load dragonflyload.Load
}
