package dragonflydirectory

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/queries/dragonflyloadlimit"
	"dragonflyrelay.example/library/queries/dragonflyloadorder"
	"dragonflyrelay.example/library/queries/dragonflyplacement"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflycandidate"
	"dragonflyrelay.example/library/values/dragonflyclass"
	"dragonflyrelay.example/library/values/dragonflydirectoryaction"
	"dragonflyrelay.example/library/values/dragonflyformation"
	"dragonflyrelay.example/library/values/dragonflyloadview"
	"dragonflyrelay.example/library/values/dragonflyplacedgroup"
	"dragonflyrelay.example/library/values/dragonflyplacementview"
	"dragonflyrelay.example/library/values/dragonflyreport"
)

const (
	// firstLoadTime is the assumed load time until one is measured.
	firstLoadTime = 8 * dragonflyduration.Second
	// loadSlotFor is how long a group that does not become ready counts as
	// loading, unless the expected load time is more than a quarter of it.
	loadSlotFor = 2 * dragonflyduration.Minute
	// crossHold is how long a group across fabric domains must be possible before
	// it is formed. Members of a dissolved group become free within a few seconds
	// of each other, and may then form a group inside one domain.
	crossHold = 10 * dragonflyduration.Second
)

// planning is the state that the leader keeps between two plans. It is discarded
// with the leadership: the next leader plans from the replicated state and the
// reports.
type planning struct {
	// reserved holds the instances, and dissolving and takingOut the groups and
	// zones, for which a change is in progress, with the time until which no other
	// change is requested.
	reserved   dragonflymap.Map[string, reservation]
	dissolving dragonflymap.Map[uint64, dragonflyinstant.Instant]
	takingOut  dragonflymap.Map[string, dragonflyinstant.Instant]
	// repairs holds the groups that wait for their members to become free, keyed
	// by the first member.
	repairs dragonflymap.Map[string, repair]
	// losses is when a fabric domain last lost a member of a group.
	losses dragonflymap.Map[place, dragonflyinstant.Instant]
	// crossSince is when a group across fabric domains became possible; 0 if none
	// is.
	crossSince dragonflyinstant.Instant
	move       move
	// loadTime is the smoothed and bestLoad the shortest time of a load of all
	// members of a group. loadLimit is how many groups may load at the same time.
	loadTime, bestLoad dragonflyduration.Duration
	loadLimit          int
}

// reservation excludes an instance from other plans.
type reservation struct {
	until dragonflyinstant.Instant
	// loads is the number of members that must load; 0 except for the first member.
	loads int
	first bool
}

// place identifies a fabric domain: region, zone and domain, separated by NUL.
type place string

func placeOf(c dragonflycandidate.Candidate) place {
	return place(c.Region + "\x00" + c.Zone + "\x00" + c.Domain)
}

// withLoad returns the planning after a load that lasted took.
func (p planning) withLoad(took dragonflyduration.Duration) planning {
	if p.bestLoad == 0 || took < p.bestLoad {
		p.bestLoad = took
	}
	if p.loadTime == 0 {
		p.loadTime = took
	}
	p.loadTime += (took - p.loadTime) / 4
	p.loadLimit = dragonflyloadlimit.Next(p.loadLimit, p.bestLoad, took)
	return p
}

func (p planning) expectedLoad() dragonflyduration.Duration {
	if p.loadTime == 0 {
		return firstLoadTime
	}
	return p.loadTime
}

// withoutExpired returns the planning without reservations whose change has not
// been applied in time, and without old losses.
func (p planning) withoutExpired(now dragonflyinstant.Instant) planning {
	for id, r := range p.reserved.All() {
		if now.After(r.until) {
			p.reserved = p.reserved.Without(id)
		}
	}
	for id, until := range p.dissolving.All() {
		if now.After(until) {
			p.dissolving = p.dissolving.Without(id)
		}
	}
	for at, since := range p.losses.All() {
		if now.Sub(since) > suspectFor {
			p.losses = p.losses.Without(at)
		}
	}
	return p
}

// tick plans if planEvery has passed since the last plan.
func (d Directory) tick(now dragonflyinstant.Instant) (Directory, []dragonflydirectoryaction.Action) {
	if d.plannedAt != 0 && now.Sub(d.plannedAt) < planEvery {
		return d, nil
	}
	d.plannedAt = now
	d = d.forgetSilent(now)
	if !d.leads || now.Before(d.settledAt) {
		return d, nil
	}
	d.settled = true
	d.planning = d.planning.withoutExpired(now)
	d = d.refreshAll(now)
	d, acts := d.endNotices(now)
	d, dissolved := d.mend(now)
	d, formed := d.form(now)
	d, moved := d.improve(now, len(dissolved)+len(formed) == 0)
	acts = append(acts, dissolved...)
	acts = append(acts, formed...)
	return d, append(acts, moved...)
}

// forgetSilent removes instances that have not reported for forgetAfter and are
// in no group.
func (d Directory) forgetSilent(now dragonflyinstant.Instant) Directory {
	for id, s := range d.reports.All() {
		if _, ok := d.groupOf.Get(id); !ok && now.Sub(s.at) > forgetAfter {
			d.reports = d.reports.Without(id)
		}
	}
	return d
}

// form requests the groups that may start to load now.
func (d Directory) form(now dragonflyinstant.Instant) (Directory, []dragonflydirectoryaction.Action) {
	d, waiting := d.waiting(now)
	if len(waiting) == 0 {
		return d, nil
	}
	next := dragonflyloadorder.Next(dragonflyloadview.View{
		Waiting: waiting,
		Groups:  d.placedGroups(now),
		Classes: d.classes(),
		Room:    max(d.planning.loadLimit, dragonflyloadlimit.Least) - d.loading(now),
	})
	var acts []dragonflydirectoryaction.Action
	for _, f := range next {
		d.planning.repairs = d.planning.repairs.Without(f.Members[0].Instance)
		for i, m := range f.Members {
			r := reservation{until: now.Add(PendingFor), first: i == 0}
			if i == 0 {
				r.loads = f.Loads
			}
			d.planning.reserved = d.planning.reserved.With(m.Instance, r)
		}
		acts = append(acts, dragonflydirectoryaction.Action{Kind: dragonflydirectoryaction.FormGroup, Model: f.Model, Members: f.Members})
	}
	return d, acts
}

// waiting returns the groups whose members are all free: first the repairs, then
// the groups that the placement forms from the other free instances.
func (d Directory) waiting(now dragonflyinstant.Instant) (Directory, []dragonflyformation.Formation) {
	var out []dragonflyformation.Formation
	for _, r := range d.planning.repairs.All() {
		if d.allMayJoin(now, r) {
			out = append(out, r.formation)
		}
	}
	crossDue := d.planning.crossSince != 0 && now.Sub(d.planning.crossSince) >= crossHold
	crossPossible := false
	for _, f := range dragonflyplacement.Plan(d.view(now)).Form {
		crossPossible = crossPossible || f.CrossDomain
		if !f.CrossDomain || crossDue {
			out = append(out, f)
		}
	}
	switch {
	case !crossPossible:
		d.planning.crossSince = 0
	case d.planning.crossSince == 0:
		d.planning.crossSince = now
	}
	return d, out
}

// loading returns the number of groups that are loading or requested.
func (d Directory) loading(now dragonflyinstant.Instant) int {
	n := 0
	for _, r := range d.planning.reserved.All() {
		if r.first {
			n++
		}
	}
	slot := max(loadSlotFor, 4*d.planning.expectedLoad())
	for _, rec := range d.groups.All() {
		if !rec.wasReady && now.Sub(rec.since) < slot {
			n++
		}
	}
	return n
}

// view returns the input of the placement.
func (d Directory) view(now dragonflyinstant.Instant) dragonflyplacementview.View {
	v := dragonflyplacementview.View{GroupSize: d.config.GroupSize(), CrossDomain: d.crossDomain(), Free: d.free(now)}
	if d.notices.Len() == 0 {
		v.Spares = func(c dragonflycandidate.Candidate) int {
			if _, ok := d.planning.losses.Get(placeOf(c)); ok {
				return 1
			}
			return 0
		}
	}
	return v
}

// free returns the instances that may join a group and are not reserved for a
// repair.
func (d Directory) free(now dragonflyinstant.Instant) []dragonflycandidate.Candidate {
	promised := map[string]bool{}
	for _, r := range d.planning.repairs.All() {
		for _, m := range r.formation.Members {
			promised[m.Instance] = true
		}
	}
	var out []dragonflycandidate.Candidate
	for id, s := range d.reports.All() {
		if !promised[id] && d.mayJoin(now, id, s) {
			out = append(out, s.candidate(now))
		}
	}
	return out
}

// mayJoin reports whether the instance can be a member of a new group.
func (d Directory) mayJoin(now dragonflyinstant.Instant, id string, s *sighting) bool {
	return s.report.Membership == dragonflyreport.Free && s.report.Group == 0 && d.usable(now, id, s)
}

// usable reports whether the instance can be a member of a new group once it is
// free.
func (d Directory) usable(now dragonflyinstant.Instant, id string, s *sighting) bool {
	a := s.report.Announcement
	if a.Kind != dragonflyannouncement.Engine || a.State == dragonflyannouncement.Leaving || !s.aliveAt(now) {
		return false
	}
	if d.config.ZoneOut(a.Zone) || d.planned(a.Zone) {
		return false
	}
	if _, ok := d.groupOf.Get(id); ok {
		return false
	}
	_, ok := d.planning.reserved.Get(id)
	return !ok
}

func (d Directory) placedGroups(now dragonflyinstant.Instant) []dragonflyplacedgroup.Group {
	out := make([]dragonflyplacedgroup.Group, 0, d.groups.Len())
	for id, rec := range d.groups.All() {
		r, _ := d.routes.Route(groupKey(id))
		g := dragonflyplacedgroup.Group{ID: id, Model: rec.group.Model, Ready: r.Ready, Load: r.Load}
		for _, m := range rec.group.Members {
			g.Members = append(g.Members, d.memberCandidate(now, rec.group.Model, m.Instance))
		}
		out = append(out, g)
	}
	return out
}

func (d Directory) classes() []dragonflyclass.Class {
	var out []dragonflyclass.Class
	for _, c := range d.config.Classes().All() {
		out = append(out, c)
	}
	return out
}

// crossDomain reports whether a class allows groups across fabric domains.
func (d Directory) crossDomain() bool {
	for _, c := range d.config.Classes().All() {
		if c.CrossDomain() {
			return true
		}
	}
	return false
}
