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

// suspectFor is how long an instance that has restarted or gone silent is the
// last choice for a group, and how long its fabric domain keeps a spare: failures
// of one instance or domain tend to follow each other.
const suspectFor = 10 * dragonflyduration.Minute

// sighting is the latest report of an instance.
type sighting struct {
	report dragonflyreport.Report
	at     dragonflyinstant.Instant
	// trouble is when the instance was last seen to have restarted or to report
	// again after a silence; 0 if never.
	trouble dragonflyinstant.Instant
}

// sighting returns the latest one of the instance, a zero one if there is none.
func (d Directory) sighting(instance string) *sighting {
	if s, ok := d.reports.Get(instance); ok {
		return s
	}
	return &sighting{}
}

func (s *sighting) aliveAt(now dragonflyinstant.Instant) bool {
	return s.report.Alive && s.heardAt(now)
}

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

// candidate returns the instance as the placement sees it.
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

// record is a group of the replicated state with what was seen of it.
type record struct {
	group dragonflygroup.Group
	// since is when the group was first seen here.
	since dragonflyinstant.Instant
	// incarnations holds, for each member that has accepted the order, its
	// incarnation when it last reported to hold the group.
	incarnations dragonflymap.Map[string, uint64]
	// rejoined holds when a restarted member was last seen to hold the group again.
	rejoined dragonflymap.Map[string, dragonflyinstant.Instant]
	// unfitSince is when the group was first seen unfit to take work; 0 if fit.
	unfitSince dragonflyinstant.Instant
	// wasReady tells that the head has reported the group as ready once.
	wasReady bool
	// measured tells that the time to load is worth measuring: this instance has
	// formed the group and all members load the model.
	measured bool
}

// withReport returns the record after a report of its member id at now.
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

// differs reports whether r has learnt something that old does not know.
func (r *record) differs(old *record) bool {
	return r.wasReady != old.wasReady || r.incarnations != old.incarnations
}

// holds reports whether the instance of rep belongs to exactly this group.
func (r *record) holds(rep dragonflyreport.Report) bool {
	return rep.Group == r.group.ID && rep.Fence == r.group.Fence
}

func (r *record) head() string { return r.group.Members[0].Instance }
