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

// suspectFor is how long an instance that has restarted or stopped reporting is
// the last choice for a group, and how long a fabric domain that lost a member
// keeps a spare: failures of one instance or domain tend to recur.
const suspectFor = 10 * dragonflyduration.Minute

// sighting is the latest report of an instance.
type sighting struct {
	report dragonflyreport.Report
	at     dragonflyinstant.Instant
	// trouble is when the instance last restarted or resumed its reports; 0 if
	// never.
	trouble dragonflyinstant.Instant
}

// sighting returns the one of the instance, a zero value if there is none.
func (d Directory) sighting(instance string) *sighting {
	if s, ok := d.reports.Get(instance); ok {
		return s
	}
	return &sighting{}
}

// aliveAt reports whether the latest report is recent and shows a live instance.
func (s *sighting) aliveAt(now dragonflyinstant.Instant) bool {
	return s.report.Alive && s.heardAt(now)
}

// heardAt reports whether the latest report is recent.
func (s *sighting) heardAt(now dragonflyinstant.Instant) bool {
	return s.at != 0 && now.Sub(s.at) <= AliveFor
}

// withReport returns the sighting after report r at now.
func (s *sighting) withReport(now dragonflyinstant.Instant, r dragonflyreport.Report) *sighting {
	next := &sighting{report: r, at: now, trouble: s.trouble}
	if s.at != 0 && (s.report.Incarnation != r.Incarnation || !s.aliveAt(now)) {
		next.trouble = now
	}
	return next
}

func (s *sighting) suspectAt(now dragonflyinstant.Instant) bool {
	return s.trouble != 0 && now.Sub(s.trouble) < suspectFor
}

// candidate returns the instance as an input of the placement.
func (s *sighting) candidate(now dragonflyinstant.Instant) dragonflycandidate.Candidate {
	a := s.report.Announcement
	return dragonflycandidate.Candidate{
		Member:       dragonflymember.Member{Instance: a.Instance, AgentAddress: s.report.AgentAddress, EngineAddress: a.Address},
		Region:       a.Region,
		Zone:         a.Zone,
		Domain:       a.Domain,
		Model:        a.Model,
		Accelerators: a.Accelerators,
		Suspect:      s.suspectAt(now),
	}
}

// record is a group of the replicated state with its observed state.
type record struct {
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
	// measured is whether the load time counts: this leader has requested the group
	// and all members load the model.
	measured bool
}

// withReport returns the record after the report rep of its member id at now.
func (r *record) withReport(now dragonflyinstant.Instant, id string, rep dragonflyreport.Report) record {
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

// differs reports whether the report that led from old to r changed the record.
func (r *record) differs(old *record) bool {
	return r.wasReady != old.wasReady || r.incarnations != old.incarnations
}

// holds reports whether rep shows membership of this group with its fencing
// number.
func (r *record) holds(rep dragonflyreport.Report) bool {
	return rep.Group == r.group.ID && rep.Fence == r.group.Fence
}

func (r *record) head() string { return r.group.Members[0].Instance }
