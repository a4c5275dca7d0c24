package dragonflydirectory

import (
	"slices"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflycandidate"
	"dragonflyrelay.example/library/values/dragonflydamagedgroup"
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
	// minDrainTime is how long a draining group is kept even if its load is zero:
	// requests in transit may take a second to arrive, and the report of the
	// head's load another second.
	minDrainTime = 2 * dragonflyduration.Second
	// maxDrainTime bounds the wait for streams in progress. The other members of the
	// group are blocked for the same time.
	maxDrainTime = 2 * dragonflyduration.Minute
)

// rejoinTimeout is how long a restarted agent may take to rejoin its group. It
// waits 1.25 s for its earlier heartbeat acknowledgements to expire, receives
// the order with its next report and confirms it in the one after that.
const rejoinTimeout = 5 * dragonflyduration.Second

// rejoinReportDelay is how long the head may continue to report a member as lost
// after it has rejoined the group: heartbeats are sent every 0.4 s and reports
// every second.
const rejoinReportDelay = 2 * dragonflyduration.Second

// headSilenceTimeout is the time without a report after which a head counts as
// lost if a member reports that the lease of the group has expired. A head
// reports every second. Without the expired lease, the head may be disconnected
// from control only, so that AliveTimeout applies.
const headSilenceTimeout = 1200 * dragonflyduration.Millisecond

// condition is the health of a group.
type condition struct {
	// reason is why the group cannot take requests, "" if it can.
	reason string
	// lost is, by rank, whether the member cannot stay in the group.
	lost []bool
	// permanent is whether the group cannot recover with its present members.
	permanent bool
	// drainable is whether all members still work, so that the group can complete
	// the requests in progress.
	drainable bool
	// zoneOut is whether the zone of a member is out of service.
	zoneOut bool
	// silent is whether no member reports.
	silent bool
}

// condition returns the condition of the group at now.
func (d Directory) condition(now dragonflyinstant.Instant, rec *groupRecord) condition {
	c := condition{lost: make([]bool, len(rec.group.Members)), drainable: true, silent: true}
	head := d.instanceRecord(rec.head())
	holds := head.aliveAt(now) && rec.holds(head.report)
	confirmed := holds && head.report.GroupReady && len(head.report.LostMembers) == 0
	headLost := d.settled && now.Sub(head.at) > headSilenceTimeout && d.leaseLapsed(now, rec)
	for i, m := range rec.group.Members {
		ir := d.instanceRecord(m.Instance)
		c.silent = c.silent && !ir.reportedRecently(now)
		reason := d.memberFault(now, rec, ir, confirmed && !headLost)
		if i == 0 && headLost {
			reason = reasonSilent
		}
		if holds && reason == "" && slices.Contains(head.report.LostMembers, m.Instance) {
			reason = reasonLost
			if at, ok := rec.rejoined.Get(m.Instance); ok && now.Sub(at) < rejoinReportDelay {
				reason = reasonRestarted
			}
		}
		c = c.withFault(i, reason)
		if (reason == reasonLeft || reason == reasonRestarted) && d.drainReason(ir) != "" {
			c.lost[i], c.permanent = true, true
		}
	}
	if c.reason == reasonRestarted && rec.unfitSince != 0 && now.Sub(rec.unfitSince) >= rejoinTimeout {
		c.permanent = true
	}
	return c
}

// allLost reports whether no member can stay in the group.
func (c condition) allLost() bool { return !slices.Contains(c.lost, false) }

// leaseLapsed reports whether a live member reports that the lease of the group
// has expired.
func (d Directory) leaseLapsed(now dragonflyinstant.Instant, rec *groupRecord) bool {
	for _, m := range rec.group.Members {
		if ir := d.instanceRecord(m.Instance); ir.aliveAt(now) && ir.report.GroupLeaseLapsed && rec.holds(ir.report) {
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
		c.lost[rank], c.drainable = true, false
	case reasonRestarted:
		// The agent rejoins the group if it can.
		c.drainable = false
	case reasonLeft:
		// The instance is alive and can have the same rank in the next group.
		c.permanent, c.drainable = true, false
	case reasonNotJoined:
		c.lost[rank], c.permanent, c.drainable = true, true, false
	case reasonLeaving:
		c.lost[rank], c.permanent = true, true
	case reasonZoneOut:
		c.zoneOut = true
	}
	if c.reason == "" || c.reason == reasonLeaving || c.reason == reasonZoneOut {
		c.reason = reason
	}
	return c
}

// memberFault returns the reason why the member with the record ir is at
// fault, "" if it is not. A member that does not report is not at fault until a
// new leader has collected reports, nor while confirmed is true, that is, while
// the head reports the group as ready: the member is disconnected from control
// only.
func (d Directory) memberFault(now dragonflyinstant.Instant, rec *groupRecord, ir *instanceRecord, confirmed bool) string {
	if !ir.reportedRecently(now) {
		if !d.settled || confirmed {
			return d.drainReason(ir)
		}
		return reasonSilent
	}
	if !ir.report.Alive {
		return reasonSilent
	}
	was, joined := rec.incarnations.Get(ir.report.Announcement.Instance)
	switch {
	case rec.holds(ir.report):
		return d.drainReason(ir)
	case joined && was != ir.report.Incarnation:
		return reasonRestarted
	case joined:
		return reasonLeft
	case now.Sub(rec.since) > JoinTimeout:
		return reasonNotJoined
	default:
		return d.drainReason(ir)
	}
}

// drainReason returns the reason why an instance must be drained, "" if none.
func (d Directory) drainReason(ir *instanceRecord) string {
	switch {
	case d.config.ZoneOut(ir.report.Announcement.Zone):
		return reasonZoneOut
	case ir.report.Announcement.State == dragonflyannouncement.Leaving:
		return reasonLeaving
	default:
		return ""
	}
}

// drained reports whether a draining group can be dissolved.
func (d Directory) drained(now dragonflyinstant.Instant, rec *groupRecord) bool {
	waited := now.Sub(rec.unfitSince)
	head := d.instanceRecord(rec.head())
	idle := head.report.Load.InFlight+head.report.Load.Queued == 0
	return waited >= maxDrainTime || idle && waited >= minDrainTime
}

// damagedGroup returns the group as an input of the repair.
func (d Directory) damagedGroup(now dragonflyinstant.Instant, rec *groupRecord, c condition) dragonflydamagedgroup.DamagedGroup {
	dm := dragonflydamagedgroup.DamagedGroup{Group: rec.group.ID, Lost: c.lost, Permanent: c.permanent, DamagedFor: now.Sub(rec.unfitSince)}
	for _, m := range rec.group.Members {
		dm.Members = append(dm.Members, d.memberCandidate(now, rec.group.Model, m.Instance))
	}
	return dm
}

// memberCandidate returns a member as a candidate, also if it has never reported.
func (d Directory) memberCandidate(now dragonflyinstant.Instant, model, instance string) dragonflycandidate.Candidate {
	c := d.instanceRecord(instance).candidate(now)
	c.Member.Instance, c.Model = instance, model
	return c
}
