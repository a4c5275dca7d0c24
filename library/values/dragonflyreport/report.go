// Package dragonflyreport is what an agent tells control once a second.
package dragonflyreport

import (
	"slices"

	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflyload"
)

// membership tells where an agent stands between groups.
type membership uint8

// Membership states of an instance.
const (
	// Free is in no group.
	Free membership = iota + 1
	// Joining has accepted an order; its engine is loading.
	Joining
	// Member has an engine that holds the group.
	Member
	// Releasing waits until the lease of its last group is surely over.
	Releasing
	// Unknown has an engine whose last order has no known outcome.
	Unknown
)

// Report is what an agent tells control.
type Report struct {
	// Incarnation differs for every start of the agent.
	Incarnation uint64
	// AgentAddress is the IP and port of the agent.
	AgentAddress string
	// Announcement is the upstream's latest one.
	Announcement dragonflyannouncement.Announcement
	// Alive tells that the upstream has announced itself in the last 3 s.
	Alive bool
	// Membership tells where the instance stands between groups.
	Membership membership
	// Group and Fence name the group that the agent belongs to; 0 if none.
	Group, Fence uint64
	// GroupReady tells, from a group's head, that the group can serve.
	GroupReady bool
	// LostMembers names, from a group's head, members whose lease has run out.
	LostMembers []string
	// GroupLapsed tells, from a member that is not the head, that the group's lease
	// as far as the member knows it has run out.
	GroupLapsed bool
	// Load is the agent's latest sample.
	Load dragonflyload.Load
	// ConfigVersion is the configuration that the agent has in force.
	ConfigVersion uint64
}

// SameStatus reports whether r and o tell the same of the instance and its
// group, whatever their loads and configurations.
func (r Report) SameStatus(o Report) bool {
	return r.Incarnation == o.Incarnation && r.Alive == o.Alive && r.Membership == o.Membership &&
		r.Group == o.Group && r.Fence == o.Fence && r.GroupReady == o.GroupReady && r.GroupLapsed == o.GroupLapsed &&
		r.Announcement.State == o.Announcement.State && slices.Equal(r.LostMembers, o.LostMembers)
}
