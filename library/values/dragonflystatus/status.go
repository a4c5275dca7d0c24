// Package dragonflystatus defines the status that a control instance reports to
// operators.
package dragonflystatus

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflygroup"
	"dragonflyrelay.example/library/values/dragonflyhistory"
	"dragonflyrelay.example/library/values/dragonflyreport"
	"dragonflyrelay.example/library/values/dragonflyroute"
	"dragonflyrelay.example/library/values/dragonflyupstreamcondition"
)

// Status is the state of the system as seen by one control instance.
type Status struct {
	// Instance names the control instance that answers.
	Instance string
	// Leader names the current leader, "" if unknown.
	Leader string
	// Term and Commit are its consensus term and last applied log index.
	Term, Commit uint64
	// ConfirmationAge is an upper bound on the age of its state.
	ConfirmationAge dragonflyduration.Duration
	// Config is the configuration in force on the instance.
	Config dragonflyconfig.Config
	// Groups lists the groups in the replicated state by id.
	Groups []dragonflygroup.Group
	// Routes lists the routes to which entries can send work.
	Routes []dragonflyroute.Route
	// Reports holds the latest report of every known instance.
	Reports []dragonflyreport.Report
	// History lists the latest accepted changes, oldest first.
	History []dragonflyhistory.Entry
	// Conditions lists what keeps requests from upstreams. Only the leader knows it.
	Conditions []dragonflyupstreamcondition.Condition
}
