// Package dragonflyfleetevent defines the events that the fleet core handles.
package dragonflyfleetevent

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflycontact"
	"dragonflyrelay.example/library/values/dragonflydocument"
	"dragonflyrelay.example/library/values/dragonflyendpointlimit"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyleavingupstream"
	"dragonflyrelay.example/library/values/dragonflyloss"
	"dragonflyrelay.example/library/values/dragonflymodeldemand"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflypromptpart"
	"dragonflyrelay.example/library/values/dragonflyquarantinedpart"
	"dragonflyrelay.example/library/values/dragonflyquarantinerecord"
	"dragonflyrelay.example/library/values/dragonflyupstreampause"
	"dragonflyrelay.example/library/values/dragonflywithdrawal"
)

// kind is the type of an event.
type kind uint8

// Kinds of events.
const (
	// Tick advances the clock.
	Tick kind = iota + 1
	// Observed carries a report on an upstream.
	Observed
	// Led reports that this instance leads in Term, Followed that another one does.
	Led
	Followed
	// DocumentReceived carries the routing document and the zones that are out of
	// service.
	DocumentReceived
	// EntryConnected reports that the entry Process follows this instance, with what it
	// has seen of the parts of prompts.
	EntryConnected
	// WithdrawalsReceived carries the recorded withdrawals and openings of groups, and the
	// recorded quarantine.
	WithdrawalsReceived
)

// Event is one input of the fleet core. Only the fields of its kind are set.
type Event struct {
	// Kind is the type of the event.
	Kind kind
	// ArrivedAt is when the report or the request of the event arrived, 0 if unknown.
	ArrivedAt dragonflyinstant.Instant
	// Observation is the report of Observed.
	Observation dragonflyobservation.Observation
	// Term is the consensus term of Led, and for WithdrawalsReceived that of the latest entry of
	// the log that Withdrawals and Opened include.
	Term uint64
	// Withdrawals are the latest withdrawals of groups, oldest first.
	Withdrawals []dragonflywithdrawal.Withdrawal
	// Opened are the names of the latest groups whose heads have opened.
	Opened []string
	// Record is the latest record of the quarantine, of WithdrawalsReceived.
	Record dragonflyquarantinerecord.Record
	// Document and OutZones belong to DocumentReceived.
	Document dragonflydocument.Document
	OutZones []string
	// Process names the entry of EntryConnected. Losses, Parts and Quarantine are its
	// report; EntryTerm is the term in which it has received Quarantine and its routing
	// table, whose revision is Revision.
	Process    string
	Losses     []dragonflyloss.Loss
	Parts      []dragonflypromptpart.Part
	Quarantine []dragonflyquarantinedpart.Part
	EntryTerm  uint64
	Revision   uint64
	// Dropped are the ids of the upstreams that the entry's routing table lacks and at which
	// it still has streams in progress.
	Dropped []string
	// Contacts are the latest answers that the entry has had of unreported upstreams.
	Contacts []dragonflycontact.Contact
	// Limits are the limits of upstreams that the entry has seen.
	Limits []dragonflyendpointlimit.Limit
	// Leaving are the upstreams that leave by answers that the entry has seen.
	Leaving []dragonflyleavingupstream.Upstream
	// Pauses are the pauses in progress that upstreams have asked the entry for.
	Pauses []dragonflyupstreampause.Pause
	// Demands are the work for each model and rank that arrives at the entry.
	Demands []dragonflymodeldemand.Demand
}

// Of returns the event EntryConnected of the request of an entry.
func Of(q dragonflyfollowrequest.Request) Event {
	return Event{
		Kind: EntryConnected, Process: q.Process, Losses: q.Losses, Parts: q.Parts,
		Quarantine: q.Quarantine, EntryTerm: q.Term, Revision: q.Revision, Dropped: q.Dropped, Contacts: q.Contacts,
		Limits: q.Limits, Leaving: q.Leaving, Pauses: q.Pauses, Demands: q.Demands,
	}
}
