// Package dragonflyclusterstate defines the replicated state.
package dragonflyclusterstate

import (
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflygroup"
	"dragonflyrelay.example/library/values/dragonflyhistory"
	"dragonflyrelay.example/library/values/dragonflyquarantinerecord"
	"dragonflyrelay.example/library/values/dragonflystoredclaim"
	"dragonflyrelay.example/library/values/dragonflystoredresult"
	"dragonflyrelay.example/library/values/dragonflywithdrawal"
)

// State is the complete state of the replicated state machine.
type State struct {
	// Config is the configuration in force.
	Config dragonflyconfig.Config
	// LastGroup and LastFence are the highest group id and fencing number
	// assigned so far.
	LastGroup, LastFence uint64
	// Groups lists the groups by id.
	Groups []dragonflygroup.Group
	// Claims lists the idempotency claims, oldest first.
	Claims []dragonflystoredclaim.Claim
	// StoredResults lists the first results of the latest changes, oldest first.
	StoredResults []dragonflystoredresult.StoredResult
	// History lists the latest accepted operator changes, oldest first.
	History []dragonflyhistory.Entry
	// Version and Content are the routing document in force.
	Version uint64
	Content []byte
	// OutZones lists the availability zones that are out of service, in ascending
	// order.
	OutZones []string
	// Withdrawals lists the latest withdrawals of groups, oldest first.
	Withdrawals []dragonflywithdrawal.Withdrawal
	// Opened lists the names of the latest groups whose heads have opened, oldest first.
	Opened []string
	// Quarantine is the latest record of the quarantine.
	Quarantine dragonflyquarantinerecord.Record
}
