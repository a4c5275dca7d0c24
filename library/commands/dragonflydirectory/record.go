package dragonflydirectory

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflycandidate"
	"dragonflyrelay.example/library/values/dragonflygroup"
	"dragonflyrelay.example/library/values/dragonflymember"
	"dragonflyrelay.example/library/values/dragonflyreport"
)

// suspectTime is how long an instance that has restarted or stopped reporting is
// the last choice for a group, and how long a fabric domain that lost a member
// keeps a spare: failures of one instance or domain tend to recur.
const suspectTime = 10 * dragonflyduration.Minute

// instanceRecord is the latest report of an instance.
type instanceRecord struct {
	report dragonflyreport.Report
	at     dragonflyinstant.Instant // when the report arrived; 0 if there is none
	// disruptedAt is when the instance last restarted or resumed its reports; 0 if
	// never.
	disruptedAt dragonflyinstant.Instant
}

// instanceRecord returns the record of the instance, a zero value if there is
// none.
func (d Directory) instanceRecord(instance string) *instanceRecord {
	if ir, ok := d.reports.Get(instance); ok {
		return ir
	}
	return &instanceRecord{}
}

// aliveAt reports whether the latest report is recent and shows a live instance.
func (ir *instanceRecord) aliveAt(now dragonflyinstant.Instant) bool {
	return ir.report.Alive && ir.reportedRecently(now)
}

// reportedRecently reports whether the latest report is recent.
func (ir *instanceRecord) reportedRecently(now dragonflyinstant.Instant) bool {
	return ir.at != 0 && now.Sub(ir.at) <= AliveTimeout
}

// newerThan reports whether the report r is older than the latest one: an instance of control
// may have held it up. The clock of a machine may go back between two starts of its agent,
// so that the higher incarnation counts only while its reports arrive.
func (ir *instanceRecord) newerThan(now dragonflyinstant.Instant, r dragonflyreport.Report) bool {
	if r.Incarnation == ir.report.Incarnation {
		return r.Sequence != 0 && r.Sequence <= ir.report.Sequence
	}
	return r.Incarnation < ir.report.Incarnation && ir.reportedRecently(now)
}

// withReport returns the instance record after report r at now.
func (ir *instanceRecord) withReport(now dragonflyinstant.Instant, r dragonflyreport.Report) *instanceRecord {
	next := &instanceRecord{report: r, at: now, disruptedAt: ir.disruptedAt}
	if ir.at != 0 && (ir.report.Incarnation != r.Incarnation || !ir.aliveAt(now)) {
		next.disruptedAt = now
	}
	return next
}

func (ir *instanceRecord) suspectAt(now dragonflyinstant.Instant) bool {
	return ir.disruptedAt != 0 && now.Sub(ir.disruptedAt) < suspectTime
}

// candidate returns the instance as an input of the placement.
func (ir *instanceRecord) candidate(now dragonflyinstant.Instant) dragonflycandidate.Candidate {
	a := ir.report.Announcement
	return dragonflycandidate.Candidate{
		Member:       dragonflymember.Member{Instance: a.Instance, AgentAddress: ir.report.AgentAddress, EngineAddress: a.Address},
		Region:       a.Region,
		Zone:         a.Zone,
		Domain:       a.Domain,
		Model:        a.Model,
		Accelerators: a.Accelerators,
		Suspect:      ir.suspectAt(now),
	}
}

// groupRecord is a group of the replicated state with its observed state.
type groupRecord struct {
	group dragonflygroup.Group
	// since is when the group was added to the directory.
	since dragonflyinstant.Instant
	// incarnations holds, for each member that has accepted the order, its
	// incarnation when it last reported the group as its own.
	incarnations dragonflymap.Map[string, uint64]
	// rejoined is when a restarted member last reported the group again.
	rejoined dragonflymap.Map[string, dragonflyinstant.Instant]
	// unfitSince is when the group became unable to take requests; 0 if it is able.
	unfitSince dragonflyinstant.Instant
	// wasReady is whether the head has ever reported the group as ready.
	wasReady bool
	// measuresLoadTime is whether the load time counts: this leader has requested
	// the group and all members load the model.
	measuresLoadTime bool
}

// withReport returns the record after the report rep of its member id at now.
func (r *groupRecord) withReport(now dragonflyinstant.Instant, id string, rep dragonflyreport.Report) groupRecord {
	next := *r
	was, joined := r.incarnations.Get(id)
	if !r.holds(rep) || joined && was == rep.Incarnation {
		return next
	}
	next.incarnations = r.incarnations.With(id, rep.Incarnation)
	if joined {
		next.rejoined = r.rejoined.With(id, now)
	}
	return next
}

// changedFrom reports whether a report has changed the record since old.
func (r *groupRecord) changedFrom(old *groupRecord) bool {
	return r.wasReady != old.wasReady || r.incarnations != old.incarnations
}

// holds reports whether rep shows membership of this group with its fencing
// number.
func (r *groupRecord) holds(rep dragonflyreport.Report) bool {
	return rep.Group == r.group.ID && rep.Fence == r.group.Fence
}

func (r *groupRecord) head() string { return r.group.Members[0].Instance }
