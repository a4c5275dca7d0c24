// Package dragonflyreport defines the status that an agent reports to control
// once a second.
package dragonflyreport

import (
	"slices"

	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflyload"
)

// membership is the state of an instance between groups.
type membership uint8

// Membership states of an instance.
const (
	// Free instances are in no group.
	Free membership = iota + 1
	// Joining instances have accepted an order; their engine is loading.
	Joining
	// Member instances have an engine that has loaded the group.
	Member
	// Releasing instances wait until the lease of their last group has certainly
	// expired.
	Releasing
	// Unknown instances have an engine whose last order has an unknown outcome.
	Unknown
)

// Report is the status of an agent, its instance and its group.
type Report struct {
	// Incarnation rises with every start of the agent, and Sequence with every report of
	// it, which may arrive late and by different ways. Sequence is 0 if the agent does not
	// number its reports.
	Incarnation, Sequence uint64
	// AgentAddress is the IP and port of the agent.
	AgentAddress string
	// Announcement is the upstream's latest announcement.
	Announcement dragonflyannouncement.Announcement
	// Alive reports whether the upstream has announced itself in the last 3 s and
	// has not refused connections since.
	Alive bool
	// Membership is the state of the instance between groups.
	Membership membership
	// Group and Fence identify the group that the agent belongs to; 0 if none.
	Group, Fence uint64
	// GroupReady reports, from a group's head, whether the group can serve.
	GroupReady bool
	// LostMembers lists, from a group's head, the members whose lease has expired.
	LostMembers []string
	// GroupLeaseLapsed reports, from a member that is not the head, whether the
	// group's lease has expired as far as the member can determine.
	GroupLeaseLapsed bool
	// Load is the agent's latest load sample.
	Load dragonflyload.Load
	// ConfigVersion is the version of the agent's configuration.
	ConfigVersion uint64
}

// SameStatus reports whether r and o agree on the status of the instance and its
// group, regardless of their loads and configurations.
func (r Report) SameStatus(o Report) bool {
	return r.Incarnation == o.Incarnation && r.Alive == o.Alive && r.Membership == o.Membership &&
		r.Group == o.Group && r.Fence == o.Fence && r.GroupReady == o.GroupReady && r.GroupLeaseLapsed == o.GroupLeaseLapsed &&
		r.Announcement.State == o.Announcement.State && slices.Equal(r.LostMembers, o.LostMembers)
}
