// Package dragonflyfollowrequest defines the request by which a process follows
// control's state and sends its reports.
package dragonflyfollowrequest

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflycontact"
	"dragonflyrelay.example/library/values/dragonflyendpointlimit"
	"dragonflyrelay.example/library/values/dragonflyleavingupstream"
	"dragonflyrelay.example/library/values/dragonflyloss"
	"dragonflyrelay.example/library/values/dragonflymodeldemand"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflypromptpart"
	"dragonflyrelay.example/library/values/dragonflyquarantinedpart"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
	"dragonflyrelay.example/library/values/dragonflyupstreampause"
)

// role is the type of the requesting process.
type role uint8

// Roles of requesting processes.
const (
	// Entry processes receive the routing table.
	Entry role = iota + 1
	// Agent processes receive orders for the upstream on their machine.
	Agent
)

// Request states the versions that the requester has; control answers when it has
// newer state, or after Wait.
type Request struct {
	// Process names the requesting process, Role its type.
	Process string
	Role    role
	// Version is the version of the requester's routing document.
	Version uint64
	// Term and Revision identify the requester's routing table.
	Term, Revision uint64
	// Wait is the longest time for which control may delay the answer.
	Wait dragonflyduration.Duration
	// Reports are the observations of an agent, or of a control instance on behalf
	// of upstreams.
	Reports []dragonflyobservation.Observation
	// Losses are the engines that an entry has lost with requests that had no answer,
	// Parts what it has seen of quarantined parts, and Quarantine the parts that it
	// refuses, in their version QuarantineRevision of Term.
	Losses             []dragonflyloss.Loss
	Parts              []dragonflypromptpart.Part
	Quarantine         []dragonflyquarantinedpart.Part
	QuarantineRevision uint64
	// Limits are the limits of upstreams that an entry has seen in answers, of which
	// control does not know yet, and LimitsRevision is its version of those of Term.
	Limits         []dragonflyendpointlimit.Limit
	LimitsRevision uint64
	// Leaving are the upstreams that leave by answers that an entry has seen, of which
	// control does not know yet.
	Leaving []dragonflyleavingupstream.Upstream
	// Pauses are the pauses in progress that upstreams have asked an entry for.
	Pauses []dragonflyupstreampause.Pause
	// Dropped are the ids of the upstreams that an entry's routing table lacks and at which
	// it still has streams in progress.
	Dropped []string
	// Contacts are the latest answers that an entry has had of the upstreams that its routing
	// table marks as unreported.
	Contacts []dragonflycontact.Contact
	// Demands are the work for each model and rank that arrives at an entry.
	Demands []dragonflymodeldemand.Demand
	// Address is the address of the upstream on an agent's machine, and Order the
	// order that the agent is executing.
	Address string
	Order   dragonflyserverorder.Order
}
