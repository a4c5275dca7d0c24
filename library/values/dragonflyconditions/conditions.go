// Package dragonflyconditions defines the state outside the queue that decides
// whether an agent may accept requests.
package dragonflyconditions

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflygate"
)

// Conditions is a snapshot of that state. The zero Conditions refuse all requests.
type Conditions struct {
	// Announcement is the upstream's latest announcement.
	Announcement dragonflyannouncement.Announcement
	// Alive reports whether the upstream still announces itself and accepts
	// connections.
	Alive bool
	// Gate is the permission of the group; its ValidUntil is 0 unless every
	// member has loaded the model.
	Gate dragonflygate.Gate
	// Zones lists the zones of the other members of the group.
	Zones []string
	// Leaving reports whether the agent, its upstream or a member of its group is
	// shutting down.
	Leaving bool
	// Config is the newest configuration that the agent has received.
	Config dragonflyconfig.Config
	// ConfirmedAt is the time at which Config was last confirmed to be in force.
	ConfirmedAt dragonflyinstant.Instant
	// ServeWithoutControl permits serving with a configuration whose confirmation
	// is too old.
	ServeWithoutControl bool
}
