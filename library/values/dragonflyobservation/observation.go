// Package dragonflyobservation defines a report on an upstream, from its own
// heartbeats or from the agent on its machine.
package dragonflyobservation

import (
	"slices"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
)

// state is the readiness of an upstream.
type state uint8

// States of an upstream.
const (
	// Unknown is the state of an upstream that only an agent has reported.
	Unknown state = iota
	// Ready upstreams accept requests.
	Ready
	// Draining upstreams finish the requests in progress and exit.
	Draining
	// Left upstreams accept no more requests.
	Left
	// Unreachable upstreams accept no connection from the agent on their machine.
	Unreachable
	// Silent upstreams accept connections from the agent, but do not answer. They
	// may be paused and resume in their previous state.
	Silent
)

// Observation is one report on an upstream. Heartbeats name the upstream; the
// report of an agent has only its address.
type Observation struct {
	// ID is the upstream's name, "" in the report of an agent.
	ID string
	// Boot is the start time of the upstream in milliseconds since 1970, 0 if
	// unknown.
	Boot int64
	// Sequence increases with every heartbeat of one boot, and with every report of one
	// start of an agent.
	Sequence uint64
	// Reporter identifies the start of the agent that reports, 0 in a heartbeat.
	Reporter uint64
	// Service names the service; Address is the upstream's IP and port.
	Service, Address string
	// Zone and Domain are the location of the upstream.
	Zone, Domain string
	// State is the readiness of the upstream.
	State state
	// Refused is set if no process listens at the address of an Unreachable upstream.
	Refused bool
	// ColdLeft is the remaining time for which the upstream is cold and serves only
	// a reduced load.
	ColdLeft dragonflyduration.Duration
	// Slots is the number of requests that run concurrently.
	Slots int
	// Staged lists the models whose weights are stored on the host.
	Staged []string
	// Model is the model of the current group, "" if there is none.
	Model string
	// Group is the upstream's group membership. Of an Unreachable upstream that refuses
	// connections it is the last one that its agent has seen, if any.
	Group dragonflyenginegroup.Group
	// Busy reports whether an order is in progress; Orders counts the accepted ones.
	Busy   bool
	Orders uint64
	// RefusedEpoch is that of the latest group that the engine has refused to join because
	// it has seen a higher epoch, 0 if there is none. Only reports of agents name it.
	RefusedEpoch uint64
	// Running and Queued are the numbers of requests at the upstream.
	Running, Queued int
	// Pace is the factor by which the upstream is slowed down, above 1 while it is
	// slow, 0 if unknown.
	Pace float64
}

// slowPace is the pace above which an upstream slows its group down so much that
// its streams miss their gap targets.
const slowPace = 1.8

// Slow reports whether the upstream is too slow to be a member of a group.
func (o Observation) Slow() bool { return o.Pace > slowPace }

// SameStatus reports whether o and p agree in everything that placement and routing
// depend on.
func (o Observation) SameStatus(p Observation) bool {
	return o.ID == p.ID && o.Boot == p.Boot && o.Address == p.Address && o.State == p.State && o.Refused == p.Refused &&
		o.Slow() == p.Slow() && o.Group == p.Group && o.RefusedEpoch == p.RefusedEpoch && o.Model == p.Model && o.Busy == p.Busy && slices.Equal(o.Staged, p.Staged)
}
