package dragonflydirectory

import (
	"slices"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflycandidate"
	"dragonflyrelay.example/library/values/dragonflydamagedgroup"
)

// Reasons why a group takes no new work or is dissolved.
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
	// drainLeast is how long a group that takes no new work is left alone even if
	// it looks idle: work on its way arrives, and the head's load is reported,
	// within a second each.
	drainLeast = 2 * dragonflyduration.Second
	// drainMost bounds the wait for streams in progress. It strands the other
	// members of the group for as long.
	drainMost = 2 * dragonflyduration.Minute
)

// rejoinFor is how long a restarted agent may take to hold its group again. It
// waits out a promise of 1.25 s, gets the order with its next report, and shows
// in the one after that.
const rejoinFor = 5 * dragonflyduration.Second

// reachFor is how long the head may go on reporting a member as lost that holds
// the group again: a heartbeat every 0.4 s and a report every second.
const reachFor = 2 * dragonflyduration.Second

// headSilence is how long a head may not be heard of while a member knows that the
// group's lease has run out. A head reports every second. A silent head alone may
// be cut off from control only; one that has lost its members as well is not
// worth the wait for AliveFor.
const headSilence = 1200 * dragonflyduration.Millisecond

// condition is what is wrong with a group.
type condition struct {
	// reason is "" if the group is fit to take work.
	reason string
	// lost tells for each rank whether its member cannot stay in the group.
	lost []bool
	// certain tells that the group cannot recover as it is.
	certain bool
	// drains tells that the group is whole and may end its work in progress.
	drains bool
	// zoneOut tells that a member's zone is out of service.
	zoneOut bool
	// silent tells that no member has been heard of.
	silent bool
}

// condition returns the state of the group at now.
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

// lapsed reports whether a member of the group knows that its lease has run out.
func (d Directory) lapsed(now dragonflyinstant.Instant, rec *record) bool {
	for _, m := range rec.group.Members {
		if s := d.sighting(m.Instance); s.aliveAt(now) && s.report.GroupLeaseLapsed && rec.holds(s.report) {
			return true
		}
	}
	return false
}

func (c condition) withFault(rank int, reason string) condition {
	switch reason {
	case "":
		return c
	case reasonSilent, reasonLost:
		c.lost[rank], c.drains = true, false
	case reasonRestarted:
		// The agent takes the group up again if it can.
		c.drains = false
	case reasonLeft:
		// The instance lives and can take its rank in the next group.
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

// memberFault returns what is wrong with the member last seen as s. A member that
// control does not hear of is no fault while the head reports the group ready: the
// member is cut off from control alone.
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

// drained reports whether a whole group that takes no new work may end.
func (d Directory) drained(now dragonflyinstant.Instant, rec *record) bool {
	waited := now.Sub(rec.unfitSince)
	head := d.sighting(rec.head())
	idle := head.report.Load.InFlight+head.report.Load.Queued == 0
	return waited >= drainMost || idle && waited >= drainLeast
}

// damage returns the group as the repair sees it.
func (d Directory) damage(now dragonflyinstant.Instant, rec *record, c condition) dragonflydamagedgroup.DamagedGroup {
	dm := dragonflydamagedgroup.DamagedGroup{Group: rec.group.ID, Lost: c.lost, Permanent: c.certain, DamagedFor: now.Sub(rec.unfitSince)}
	for _, m := range rec.group.Members {
		dm.Members = append(dm.Members, d.memberCandidate(now, rec.group.Model, m.Instance))
	}
	return dm
}

// memberCandidate returns an instance that may not have been heard of.
func (d Directory) memberCandidate(now dragonflyinstant.Instant, model, instance string) dragonflycandidate.Candidate {
	c := d.sighting(instance).candidate(now)
	c.Member.Instance, c.Model = instance, model
	return c
}
