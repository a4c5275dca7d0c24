// Package dragonflyupstreamcondition defines what keeps requests from an upstream, as
// operators see it.
package dragonflyupstreamcondition

import "dragonflyrelay.example/library/common/dragonflyduration"

// kind is the type of a condition.
type kind uint8

// Kinds of conditions.
const (
	// Leaving upstreams get no new requests.
	Leaving kind = iota + 1
	// Pausing upstreams get no requests from one entry.
	Pausing
	// Limited upstreams get the requests that they take from all entries together.
	Limited
	// Quarantined parts of prompts are refused at all upstreams.
	Quarantined
)

// Condition is one condition that the leader of control knows of.
type Condition struct {
	// Kind is the type of the condition.
	Kind kind
	// Upstream is the id of the upstream, or of the part of prompts in quarantine, and
	// Service its service, "" if unknown.
	Upstream, Service string
	// Since is the age of the condition.
	Since dragonflyduration.Duration
	// Reason is where control knows it from.
	Reason string
}

// String names the kind for operators.
func (k kind) String() string {
	if int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

var kindNames = [...]string{"unknown", "leaving", "pausing", "limited", "quarantined-part"}
