// Package dragonflyobservation is what is known of one upstream from its own
// heartbeats and from the agent beside it.
package dragonflyobservation

import (
	"slices"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
)

// state is what an upstream says of its readiness.
type state uint8

// States of an upstream.
const (
	// Unknown is the state of an upstream of which only the agent has told.
	Unknown state = iota
	// Ready upstreams take requests.
	Ready
	// Draining upstreams finish the requests in progress and end.
	Draining
	// Left upstreams take no more requests.
	Left
	// Unreachable upstreams take no connection of the agent on their own machine.
	Unreachable
	// Silent upstreams take connections of the agent, but do not answer. They may
	// be paused and go on as they were.
	Silent
)

// Observation is one report on an upstream. Heartbeats name the upstream; an
// agent knows its address only.
type Observation struct {
	// ID is the upstream's name, "" in the report of an agent.
	ID string
	// Boot is the start of the upstream in milliseconds since 1970, 0 if unknown.
	Boot int64
	// Sequence rises with every heartbeat of one boot, 0 in an agent's report.
	Sequence uint64
	// Service names the service; Address is IP and port.
	Service, Address string
	// Zone and Domain tell where the upstream is.
	Zone, Domain string
	// State is the readiness.
	State state
	// ColdLeft is how much longer the upstream bears little work.
	ColdLeft dragonflyduration.Duration
	// Slots is the number of requests run at once.
	Slots int
	// Staged lists the models whose weights the host holds.
	Staged []string
	// Model is the model of the present group, "" if there is none.
	Model string
	// Group is the membership.
	Group dragonflyenginegroup.Group
	// Busy tells that an order is in progress; Orders counts those accepted.
	Busy   bool
	Orders uint64
	// Running and Queued count the requests at the upstream.
	Running, Queued int
	// Pace is above 1 while the upstream is slow, 0 if unknown.
	Pace float64
}

// slowPace is the pace above which an upstream slows its group down so much that
// its streams miss their pauses.
const slowPace = 1.8

// Slow reports whether the upstream is too slow to be a member of a group.
func (o Observation) Slow() bool { return o.Pace > slowPace }

// SameStatus reports whether o and p differ in nothing that placement or
// routing depends on.
func (o Observation) SameStatus(p Observation) bool {
	return o.ID == p.ID && o.Boot == p.Boot && o.Address == p.Address && o.State == p.State &&
		o.Slow() == p.Slow() && o.Group == p.Group && o.Model == p.Model && o.Busy == p.Busy && slices.Equal(o.Staged, p.Staged)
}
