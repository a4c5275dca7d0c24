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
	// initialLoadTime is the assumed load time until one is measured.
	initialLoadTime = 8 * dragonflyduration.Second
	// maxLoadingTime is how long a group that does not become ready counts as
	// loading, unless the expected load time is more than a quarter of it.
	maxLoadingTime = 2 * dragonflyduration.Minute
	// crossDomainHoldTime is how long a group across fabric domains must be
	// possible before it is formed. Members of a dissolved group become free within
	// a few seconds of each other, and may then form a group inside one domain.
	crossDomainHoldTime = 10 * dragonflyduration.Second
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
	losses dragonflymap.Map[fabricDomain, dragonflyinstant.Instant]
	// crossDomainSince is when a group across fabric domains became possible; 0 if
	// none is.
	crossDomainSince dragonflyinstant.Instant
	move             move
	// loadTime is the smoothed and minLoadTime the shortest time of a load of all
	// members of a group. loadLimit is how many groups may load at the same time.
	loadTime, minLoadTime dragonflyduration.Duration
	loadLimit             int
}

// reservation excludes an instance from other plans.
type reservation struct {
	until dragonflyinstant.Instant
	// loadingMembers is the number of members that must load; 0 except for the
	// first member.
	loadingMembers int
	firstMember    bool
}

// fabricDomain identifies a fabric domain: region, zone and domain, separated by
// NUL.
type fabricDomain string

func fabricDomainOf(c dragonflycandidate.Candidate) fabricDomain {
	return fabricDomain(c.Region + "\x00" + c.Zone + "\x00" + c.Domain)
}

// withLoadTime returns the planning after a load that took the given time.
func (p planning) withLoadTime(took dragonflyduration.Duration) planning {
	if p.minLoadTime == 0 || took < p.minLoadTime {
		p.minLoadTime = took
	}
	if p.loadTime == 0 {
		p.loadTime = took
	}
	p.loadTime += (took - p.loadTime) / 4
	p.loadLimit = dragonflyloadlimit.Next(p.loadLimit, p.minLoadTime, took)
	return p
}

func (p planning) expectedLoad() dragonflyduration.Duration {
	if p.loadTime == 0 {
		return initialLoadTime
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
		if now.Sub(since) > suspectTime {
			p.losses = p.losses.Without(at)
		}
	}
	return p
}

// tick removes silent instances and, on a leader that has collected reports,
// plans. It does nothing until planInterval has passed since its last run.
func (d Directory) tick(now dragonflyinstant.Instant) (Directory, []dragonflydirectoryaction.Action) {
	if d.plannedAt != 0 && now.Sub(d.plannedAt) < planInterval {
		return d, nil
	}
	d.plannedAt = now
	d = d.removeSilent(now)
	if !d.leading || now.Before(d.settledAt) {
		return d, nil
	}
	d.settled = true
	d.planning = d.planning.withoutExpired(now)
	d = d.refreshRoutes(now)
	d, acts := d.endNotices(now)
	d, dissolved := d.repairGroups(now)
	d, formed := d.formGroups(now)
	d, moved := d.improvePlacement(now, len(dissolved)+len(formed) == 0)
	acts = append(acts, dissolved...)
	acts = append(acts, formed...)
	return d, append(acts, moved...)
}

// removeSilent removes instances that have not reported for removeAfter and are
// in no group.
func (d Directory) removeSilent(now dragonflyinstant.Instant) Directory {
	for id, ir := range d.reports.All() {
		if _, ok := d.groupOf.Get(id); !ok && now.Sub(ir.at) > removeAfter {
			d.reports = d.reports.Without(id)
		}
	}
	return d
}

// formGroups requests the groups that may start to load now.
func (d Directory) formGroups(now dragonflyinstant.Instant) (Directory, []dragonflydirectoryaction.Action) {
	d, readyToForm := d.readyToForm(now)
	if len(readyToForm) == 0 {
		return d, nil
	}
	next := dragonflyloadorder.Next(dragonflyloadview.View{
		Waiting:     readyToForm,
		Groups:      d.placedGroups(now),
		Classes:     d.classes(),
		MaxNewLoads: max(d.planning.loadLimit, dragonflyloadlimit.MinLoads) - d.loading(now),
	})
	var acts []dragonflydirectoryaction.Action
	for _, f := range next {
		d.planning.repairs = d.planning.repairs.Without(f.Members[0].Instance)
		for i, m := range f.Members {
			r := reservation{until: now.Add(PendingTimeout), firstMember: i == 0}
			if i == 0 {
				r.loadingMembers = f.Loads
			}
			d.planning.reserved = d.planning.reserved.With(m.Instance, r)
		}
		acts = append(acts, dragonflydirectoryaction.Action{Kind: dragonflydirectoryaction.FormGroup, Model: f.Model, Members: f.Members})
	}
	return d, acts
}

// readyToForm returns the groups whose members are all free: first the repairs,
// then the groups that the placement forms from the other free instances.
func (d Directory) readyToForm(now dragonflyinstant.Instant) (Directory, []dragonflyformation.Formation) {
	var out []dragonflyformation.Formation
	for _, r := range d.planning.repairs.All() {
		if d.allMayJoin(now, r) {
			out = append(out, r.formation)
		}
	}
	crossDue := d.planning.crossDomainSince != 0 && now.Sub(d.planning.crossDomainSince) >= crossDomainHoldTime
	crossPossible := false
	for _, f := range dragonflyplacement.Plan(d.placementView(now)).Form {
		crossPossible = crossPossible || f.CrossDomain
		if !f.CrossDomain || crossDue {
			out = append(out, f)
		}
	}
	switch {
	case !crossPossible:
		d.planning.crossDomainSince = 0
	case d.planning.crossDomainSince == 0:
		d.planning.crossDomainSince = now
	}
	return d, out
}

// loading returns the number of groups that are loading or requested. A group that
// has lost all its members does not load, although it is kept for a while so that
// the members can return to it.
func (d Directory) loading(now dragonflyinstant.Instant) int {
	n := 0
	for _, r := range d.planning.reserved.All() {
		if r.firstMember {
			n++
		}
	}
	maxTime := max(maxLoadingTime, 4*d.planning.expectedLoad())
	for _, rec := range d.groups.All() {
		if !rec.wasReady && now.Sub(rec.since) < maxTime && !d.condition(now, rec).allLost() {
			n++
		}
	}
	return n
}

// placementView returns the input of the placement. A fabric domain that has
// recently lost a member keeps a spare, except during the notice period of a zone,
// when the spares are needed to replace its groups.
func (d Directory) placementView(now dragonflyinstant.Instant) dragonflyplacementview.View {
	v := dragonflyplacementview.View{GroupSize: d.config.GroupSize(), CrossDomain: d.crossDomain(), Free: d.free(now)}
	if d.notices.Len() == 0 {
		v.Spares = func(c dragonflycandidate.Candidate) int {
			if _, ok := d.planning.losses.Get(fabricDomainOf(c)); ok {
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
	inRepair := map[string]bool{}
	for _, r := range d.planning.repairs.All() {
		for _, m := range r.formation.Members {
			inRepair[m.Instance] = true
		}
	}
	var out []dragonflycandidate.Candidate
	for id, ir := range d.reports.All() {
		if !inRepair[id] && d.mayJoin(now, id, ir) {
			out = append(out, ir.candidate(now))
		}
	}
	return out
}

// mayJoin reports whether the instance can be a member of a new group.
func (d Directory) mayJoin(now dragonflyinstant.Instant, id string, ir *instanceRecord) bool {
	return ir.report.Membership == dragonflyreport.Free && ir.report.Group == 0 && d.usable(now, id, ir)
}

// usable reports whether the instance can be a member of a new group once it is
// free.
func (d Directory) usable(now dragonflyinstant.Instant, id string, ir *instanceRecord) bool {
	a := ir.report.Announcement
	if a.Kind != dragonflyannouncement.Engine || a.State == dragonflyannouncement.Leaving || !ir.aliveAt(now) {
		return false
	}
	if d.config.ZoneOut(a.Zone) || d.takeOutPlanned(a.Zone) {
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
