// Package dragonflydirectoryevent defines the events that the directory of
// instances handles.
package dragonflydirectoryevent

import (
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflygroup"
	"dragonflyrelay.example/library/values/dragonflyreport"
	"dragonflyrelay.example/library/values/dragonflytable"
)

// kind is the type of an event.
type kind uint8

// Kinds of events.
const (
	// Reported carries the report of an agent.
	Reported kind = iota + 1
	// Groups carries all groups of the replicated state at a log index.
	Groups
	// Configured carries the configuration in force.
	Configured
	// Led reports that this control instance has become the leader of Term.
	Led
	// Followed reports that this control instance does not lead.
	Followed
	// Pulled carries the leader's answer to a follower's watch.
	Pulled
	// Tick advances the clock.
	Tick
)

// Event is one input of the directory. Only the fields of its kind are set.
type Event struct {
	// Kind determines which of the fields below are set.
	Kind kind
	// Report is the report of Reported.
	Report dragonflyreport.Report
	// Groups are the groups of Groups, in any order.
	Groups []dragonflygroup.Group
	// Index is the log index of Groups; an index older than the last is ignored.
	Index uint64
	// Fence is the highest fencing number that the replicated state has assigned
	// up to Index, including those of dissolved groups.
	Fence uint64
	// Config is the configuration of Configured.
	Config dragonflyconfig.Config
	// Term is the term of Led.
	Term uint64
	// Table is the table of Pulled.
	Table dragonflytable.Table
}
