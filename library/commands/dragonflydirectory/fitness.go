package dragonflydirectory

import (
	"slices"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflycandidate"
	"dragonflyrelay.example/library/values/dragonflydamage"
)

// Reasons for which a group takes no new requests or is dissolved.
const (
	reasonSilent    = "member-silent"
	reasonLost      = "member-lost"
	reasonRestarted = "member-restarted"
	reasonLeft      = "member-left"
	reasonNotJoined = "member-not-joined"
	reasonLeaving   = "member-leaving"
	reasonZoneOut   = "zone-out"
	reasonMoved     = "better-placement"
)

const (
	// drainLeast is how long a draining group is kept even if its load is zero:
	// requests in transit may take a second to arrive, and the report of the
	// head's load another second.
	drainLeast = 2 * dragonflyduration.Second
	// drainMost bounds the wait for streams in progress. The other members of the
	// group are blocked for the same time.
	drainMost = 2 * dragonflyduration.Minute
)

// rejoinFor is how long a restarted agent may take to rejoin its group. It waits
// 1.25 s for its earlier heartbeat acknowledgements to expire, receives the order
// with its next report and confirms it in the one after that.
const rejoinFor = 5 * dragonflyduration.Second

// reachFor is how long the head may continue to report a member as lost after it
// has rejoined the group: heartbeats are sent every 0.4 s and reports every
// second.
const reachFor = 2 * dragonflyduration.Second

// headSilence is the time without a report after which a head counts as lost if a
// member reports that the lease of the group has expired. A head reports every
// second. Without the expired lease, the head may be disconnected from control
// only, so that AliveFor applies.
const headSilence = 1200 * dragonflyduration.Millisecond

// condition is the health of a group.
type condition struct {
	// reason is why the group cannot take requests, "" if it can.
	reason string
	// lost is, by rank, whether the member cannot stay in the group.
	lost []bool
	// certain is whether the group cannot recover with its present members.
	certain bool
	// drains is whether all members still work, so that the group can complete the
	// requests in progress.
	drains bool
	// zoneOut is whether the zone of a member is out of service.
	zoneOut bool
	// silent is whether no member reports.
	silent bool
}

// condition returns the condition of the group at now.
func (d Directory) condition(now dragonflyinstant.Instant, rec *record) condition {
	c := condition{lost: make([]bool, len(rec.group.Members)), drains: true, silent: true}
	head := d.sighting(rec.head())
	holds := head.aliveAt(now) && rec.holds(head.report)
	confirmed := holds && head.report.GroupReady && len(head.report.LostMembers) == 0
	gone := d.settled && now.Sub(head.at) > headSilence && d.lapsed(now, rec)
	for i, m := range rec.group.Members {
		s := d.sighting(m.Instance)
		c.silent = c.silent && !s.heardAt(now)
		reason := d.memberFault(now, rec, s, confirmed && !gone)
		if i == 0 && gone {
			reason = reasonSilent
		}
		if holds && reason == "" && slices.Contains(head.report.LostMembers, m.Instance) {
			reason = reasonLost
			if at, ok := rec.rejoined.Get(m.Instance); ok && now.Sub(at) < reachFor {
				reason = reasonRestarted
			}
		}
		c = c.withFault(i, reason)
		if (reason == reasonLeft || reason == reasonRestarted) && d.placeFault(s) != "" {
			c.lost[i], c.certain = true, true
		}
	}
	if c.reason == reasonRestarted && rec.unfitSince != 0 && now.Sub(rec.unfitSince) >= rejoinFor {
		c.certain = true
	}
	return c
}

// lapsed reports whether a live member reports that the lease of the group has
// expired.
func (d Directory) lapsed(now dragonflyinstant.Instant, rec *record) bool {
	for _, m := range rec.group.Members {
		if s := d.sighting(m.Instance); s.aliveAt(now) && s.report.GroupLapsed && rec.holds(s.report) {
			return true
		}
	}
	return false
}

// withFault returns the condition with the reason why the member of the given
// rank is at fault, "" if it is not.
func (c condition) withFault(rank int, reason string) condition {
	switch reason {
	case "":
		return c
	case reasonSilent, reasonLost:
		c.lost[rank], c.drains = true, false
	case reasonRestarted:
		// The agent rejoins the group if it can.
		c.drains = false
	case reasonLeft:
		// The instance is alive and can have the same rank in the next group.
		c.certain, c.drains = true, false
	case reasonNotJoined:
		c.lost[rank], c.certain, c.drains = true, true, false
	case reasonLeaving:
		c.lost[rank], c.certain = true, true
	case reasonZoneOut:
		c.zoneOut = true
	}
	if c.reason == "" || c.reason == reasonLeaving || c.reason == reasonZoneOut {
		c.reason = reason
	}
	return c
}

// memberFault returns the reason why the member with the latest report s is at
// fault, "" if it is not. A member that does not report is no fault while
// confirmed is true, that is, while the head reports the group as ready: the
// member is disconnected from control only.
func (d Directory) memberFault(now dragonflyinstant.Instant, rec *record, s *sighting, confirmed bool) string {
	if !s.heardAt(now) {
		if !d.settled || confirmed {
			return d.placeFault(s)
		}
		return reasonSilent
	}
	if !s.report.Alive {
		return reasonSilent
	}
	was, joined := rec.incarnations.Get(s.report.Announcement.Instance)
	switch {
	case rec.holds(s.report):
		return d.placeFault(s)
	case joined && was != s.report.Incarnation:
		return reasonRestarted
	case joined:
		return reasonLeft
	case now.Sub(rec.since) > JoinTimeout:
		return reasonNotJoined
	default:
		return d.placeFault(s)
	}
}

// placeFault returns the reason why an instance must be drained, "" if none.
func (d Directory) placeFault(s *sighting) string {
	switch {
	case d.config.ZoneOut(s.report.Announcement.Zone):
		return reasonZoneOut
	case s.report.Announcement.State == dragonflyannouncement.Leaving:
		return reasonLeaving
	default:
		return ""
	}
}

// drained reports whether a draining group can be dissolved.
func (d Directory) drained(now dragonflyinstant.Instant, rec *record) bool {
	waited := now.Sub(rec.unfitSince)
	head := d.sighting(rec.head())
	idle := head.report.Load.InFlight+head.report.Load.Queued == 0
	return waited >= drainMost || idle && waited >= drainLeast
}

// damage returns the group as an input of the repair.
func (d Directory) damage(now dragonflyinstant.Instant, rec *record, c condition) dragonflydamage.Damage {
	dm := dragonflydamage.Damage{Group: rec.group.ID, Lost: c.lost, Certain: c.certain, Waited: now.Sub(rec.unfitSince)}
	for _, m := range rec.group.Members {
		dm.Members = append(dm.Members, d.memberCandidate(now, rec.group.Model, m.Instance))
	}
	return dm
}

// memberCandidate returns a member as a candidate, also if it has never reported.
func (d Directory) memberCandidate(now dragonflyinstant.Instant, model, instance string) dragonflycandidate.Candidate {
	c := d.sighting(instance).candidate(now)
	c.Member.Instance, c.Model = instance, model
	return c
}
