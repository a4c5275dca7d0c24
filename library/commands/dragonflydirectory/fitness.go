package dragonflydirectory

import (
	"slices"

	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
)

// Reasons why a group is dissolved.
const (
	reasonSilent    = "member-silent"
	reasonLost      = "member-lost"
	reasonRestarted = "member-restarted"
	reasonNotJoined = "member-not-joined"
	reasonLeaving   = "member-leaving"
	reasonZoneOut   = "zone-out"
)

// unfit returns why the group takes no new work, "" if it may, and whether it is
// to be dissolved now.
func (d Directory) unfit(now dragonflyinstant.Instant, rec record) (reason string, dissolve bool) {
	var later string
	for _, m := range rec.group.Members {
		switch r := d.memberFault(now, rec, m.Instance); r {
		case "":
		case reasonLeaving, reasonZoneOut:
			later = r
		default:
			return r, true
		}
	}
	if later != "" {
		return later, true
	}
	return "", false
}

func (d Directory) memberFault(now dragonflyinstant.Instant, rec record, id string) string {
	s, ok := d.reports.Get(id)
	switch {
	case ok && s.aliveAt(now):
	case d.settled:
		return reasonSilent
	default:
		return ""
	}
	if was, ok := rec.incarnations.Get(id); ok && was != s.report.Incarnation {
		return reasonRestarted
	}
	if _, ok := rec.joined.Get(id); !ok && now.Sub(rec.since) > JoinTimeout {
		return reasonNotJoined
	}
	if id == rec.group.Members[0].Instance && s.report.Group == rec.group.ID && s.report.Fence == rec.group.Fence && slices.ContainsFunc(s.report.LostMembers, rec.has) {
		return reasonLost
	}
	if d.config.ZoneOut(s.report.Announcement.Zone) {
		return reasonZoneOut
	}
	if s.report.Announcement.State == dragonflyannouncement.Leaving {
		return reasonLeaving
	}
	return ""
}

func (r record) has(instance string) bool {
	for _, m := range r.group.Members {
		if m.Instance == instance {
			return true
		}
	}
	return false
}
