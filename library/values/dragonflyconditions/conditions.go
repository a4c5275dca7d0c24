// Package dragonflyconditions is everything outside the queue that decides
// whether an agent may take work.
package dragonflyconditions

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflygate"
)

// Conditions is a snapshot. The zero Conditions refuse all work.
type Conditions struct {
	// Announcement is the upstream's latest one.
	Announcement dragonflyannouncement.Announcement
	// Alive tells that the upstream is neither silent nor lost.
	Alive bool
	// Gate is the permission of the group; its ValidUntil is 0 unless every
	// member holds the model.
	Gate dragonflygate.Gate
	// Zones lists the zones of the other members of the group.
	Zones []string
	// Leaving tells that the agent, its upstream or a member of its group is
	// about to go.
	Leaving bool
	// Config is the newest configuration that the agent knows.
	Config dragonflyconfig.Config
	// ConfirmedAt is when Config was last known to be in force.
	ConfirmedAt dragonflyinstant.Instant
	// ServeWithoutControl keeps serving on an unconfirmed configuration.
	ServeWithoutControl bool
}
