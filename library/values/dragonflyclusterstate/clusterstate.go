// Package dragonflyclusterstate is the content of a snapshot.
package dragonflyclusterstate

import (
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflygroup"
	"dragonflyrelay.example/library/values/dragonflyhistory"
	"dragonflyrelay.example/library/values/dragonflystoredclaim"
	"dragonflyrelay.example/library/values/dragonflystoredresult"
)

// State is everything that the replicated state machine knows.
type State struct {
	// Config is the configuration in force.
	Config dragonflyconfig.Config
	// LastGroup and LastFence are the highest group id and fencing number
	// allotted so far.
	LastGroup, LastFence uint64
	// Groups lists the groups by id.
	Groups []dragonflygroup.Group
	// Claims lists the idempotency claims, oldest first.
	Claims []dragonflystoredclaim.Claim
	// StoredResults lists the first answers to the latest changes, oldest first.
	StoredResults []dragonflystoredresult.StoredResult
	// History lists the latest accepted operator changes, oldest first.
	History []dragonflyhistory.Entry
	// Version and Content are the routing document in force.
	Version uint64
	Content []byte
	// OutZones lists the availability zones that are taken out, in order.
	OutZones []string
}
