// Package dragonflyfollowresponse defines control's answer to a follow request.
package dragonflyfollowresponse

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflyendpointlimit"
	"dragonflyrelay.example/library/values/dragonflymodeladmission"
	"dragonflyrelay.example/library/values/dragonflymodelreturn"
	"dragonflyrelay.example/library/values/dragonflyquarantinedpart"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
)

// Response holds the state that is newer than the requester's.
type Response struct {
	// Leads reports whether the answering instance leads. If it does not, only
	// Leader, Control and Quarantine are set.
	Leads bool
	// Leader is the address of the leader, "" if unknown; Control lists the
	// addresses of all control instances.
	Leader  string
	Control []string
	// Age is the time since the leader last confirmed its quorum.
	Age dragonflyduration.Duration
	// Version and Content are the routing document in compressed form, if it is
	// newer.
	Version uint64
	Content []byte
	// OutZones lists the availability zones that are out of service.
	OutZones []string
	// Entries is the number of entries that follow control.
	Entries int
	// Term and Revision identify the routing table. HasTable reports whether
	// Endpoints is set, Complete whether upstreams missing from it are removed.
	Term, Revision uint64
	HasTable       bool
	Complete       bool
	Endpoints      []dragonflyendpoint.Endpoint
	// QuarantineRevision identifies the quarantine within Term. HasQuarantine reports
	// whether Quarantine is set, the quarantined parts of prompts with the permissions
	// of the requester.
	QuarantineRevision uint64
	HasQuarantine      bool
	Quarantine         []dragonflyquarantinedpart.Part
	// HasWatched reports whether Watched is set, the keys of crashes that were not answered
	// since. The leader asks entries for answers to them.
	HasWatched bool
	Watched    []string
	// LimitsRevision identifies the limits of upstreams within Term. HasLimits reports
	// whether Limits is set, those that any entry has seen.
	LimitsRevision uint64
	HasLimits      bool
	Limits         []dragonflyendpointlimit.Limit
	// Returns are the estimates for the models that no group serves, and Admissions the
	// decisions for the models that are overloaded.
	Returns    []dragonflymodelreturn.Return
	Admissions []dragonflymodeladmission.Admission
	// Order is the order for the agent's engine.
	Order dragonflyserverorder.Order
}
