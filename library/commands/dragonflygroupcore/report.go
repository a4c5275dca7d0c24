package dragonflygroupcore

import (
	"dragonflyrelay.example/library/commands/dragonflymembership"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflyconditions"
	"dragonflyrelay.example/library/values/dragonflyreport"
)

// Conditions returns base with the conditions from the membership and the lease.
func (c Core) Conditions(base dragonflyconditions.Conditions) dragonflyconditions.Conditions {
	base.Announcement, base.Alive = c.membership.Upstream(), c.membership.Alive()
	base.Gate, base.Zones, base.Leaving = c.Gate(), c.lease.Zones(), c.Leaving()
	return base
}

// Report returns the part of the agent's report that covers the upstream, the
// membership and the group.
func (c Core) Report() dragonflyreport.Report {
	m := c.membership
	r := dragonflyreport.Report{
		Announcement: m.Upstream(), Alive: m.Alive(),
		Group: m.Group().Group, Fence: m.Group().Fence,
		GroupReady: c.lease.Ready(), GroupLeaseLapsed: !c.lease.HasGroup() && m.LeaseLapsed(),
	}
	r.Announcement.Instance = c.self
	if m.ShuttingDown() {
		r.Announcement.State = dragonflyannouncement.Leaving
	}
	if c.lease.HasGroup() {
		r.LostMembers = c.lease.LostMembers()
	}
	switch m.State() {
	case dragonflymembership.Free:
		r.Membership = dragonflyreport.Free
	case dragonflymembership.Joining:
		r.Membership = dragonflyreport.Joining
	case dragonflymembership.Member:
		r.Membership = dragonflyreport.Member
	case dragonflymembership.Releasing:
		r.Membership = dragonflyreport.Releasing
	default:
		r.Membership = dragonflyreport.Unknown
	}
	return r
}
