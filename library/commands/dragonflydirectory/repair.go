package dragonflydirectory

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/queries/dragonflyrebalance"
	"dragonflyrelay.example/library/queries/dragonflyrepair"
	"dragonflyrelay.example/library/values/dragonflydamagedgroup"
	"dragonflyrelay.example/library/values/dragonflydirectoryaction"
	"dragonflyrelay.example/library/values/dragonflyformation"
	"dragonflyrelay.example/library/values/dragonflyrebalanceview"
	"dragonflyrelay.example/library/values/dragonflyrepairview"
	"dragonflyrelay.example/library/values/dragonflyreport"
)

const (
	// releaseTimeout is how long a surviving member may take to become free. Its
	// promise to the head expires within 1.25 s, and it receives the order in the
	// response to its next report.
	releaseTimeout = 10 * dragonflyduration.Second
	// moveHoldTime is how long a better placement must be possible before a group
	// is dissolved for it, and moveInterval the minimum time between two such
	// moves. The group is down while the next one loads, so an instance that
	// repeatedly joins and leaves must not cause a move.
	moveHoldTime = 1 * dragonflyduration.Minute
	moveInterval = 5 * dragonflyduration.Minute
)

// repair is a group that will replace a damaged one.
type repair struct {
	formation dragonflyformation.Formation
	since     dragonflyinstant.Instant
}

// move is the hysteresis state of moves to a better placement.
type move struct {
	// group is the group to dissolve, and since is when the better placement became
	// possible.
	group uint64
	since dragonflyinstant.Instant
	// last is when a group was last dissolved for a move; 0 if never.
	last dragonflyinstant.Instant
}

// repairGroups plans replacements of damaged groups and of repairs that have
// lost a member, and dissolves groups that have drained.
func (d Directory) repairGroups(now dragonflyinstant.Instant) (Directory, []dragonflydirectoryaction.Action) {
	reasons := map[uint64]string{}
	var damaged []dragonflydamagedgroup.DamagedGroup
	var acts []dragonflydirectoryaction.Action
	for id, rec := range d.groups.All() {
		c := d.condition(now, rec)
		d, rec = d.withCondition(now, rec, c)
		if _, pending := d.planning.dissolving.Get(id); pending || c.reason == "" {
			continue
		}
		reasons[id] = c.reason
		switch {
		case c.drainable && !d.drained(now, rec):
		case c.zoneOut:
			d, acts = d.dissolve(now, acts, id, c.reason)
		default:
			damaged = append(damaged, d.damagedGroup(now, rec, c))
		}
	}
	// Instances reserved for a repair are not spares, even if that repair has just
	// failed.
	free := d.free(now)
	d, broken := d.brokenRepairs(now)
	damaged = append(damaged, broken...)
	if len(damaged) == 0 {
		return d, acts
	}
	plan := dragonflyrepair.Plan(dragonflyrepairview.View{
		GroupSize: d.config.GroupSize(), Damaged: damaged, Free: free, LoadTime: d.planning.expectedLoad(),
	})
	for _, id := range plan.Dissolve {
		if _, ok := d.groups.Get(id); ok {
			d, acts = d.dissolve(now, acts, id, reasons[id])
		}
	}
	for _, f := range plan.Form {
		if !d.takeOutPlanned(f.Zone) {
			d.planning.repairs = d.planning.repairs.With(f.Members[0].Instance, repair{f, now})
		}
	}
	return d, acts
}

// dissolve requests that the group is dissolved.
func (d Directory) dissolve(now dragonflyinstant.Instant, acts []dragonflydirectoryaction.Action, id uint64, reason string) (Directory, []dragonflydirectoryaction.Action) {
	d.planning.dissolving = d.planning.dissolving.With(id, now.Add(PendingTimeout))
	return d, append(acts, dragonflydirectoryaction.Action{Kind: dragonflydirectoryaction.DissolveGroup, Group: id, Reason: reason})
}

// withCondition records when the group became unable to take requests, and the
// fabric domains in which it lost members.
func (d Directory) withCondition(now dragonflyinstant.Instant, old *groupRecord, c condition) (Directory, *groupRecord) {
	rec := *old
	switch {
	case c.reason == "" && rec.unfitSince == 0, c.reason != "" && rec.unfitSince != 0:
		return d, old
	case c.reason == "":
		rec.unfitSince = 0
	default:
		rec.unfitSince = now
		for i, lost := range c.lost {
			if lost && !c.drainable {
				at := fabricDomainOf(d.memberCandidate(now, rec.group.Model, rec.group.Members[i].Instance))
				d.planning.losses = d.planning.losses.With(at, now)
			}
		}
	}
	d.groups = d.groups.With(rec.group.ID, &rec)
	return d, &rec
}

// brokenRepairs removes the repairs that have lost a member before they could
// start, and returns them as damaged groups.
func (d Directory) brokenRepairs(now dragonflyinstant.Instant) (Directory, []dragonflydamagedgroup.DamagedGroup) {
	var out []dragonflydamagedgroup.DamagedGroup
	for key, r := range d.planning.repairs.All() {
		dm := dragonflydamagedgroup.DamagedGroup{Permanent: true, Lost: make([]bool, len(r.formation.Members))}
		broken := false
		for i, m := range r.formation.Members {
			dm.Members = append(dm.Members, d.memberCandidate(now, r.formation.Model, m.Instance))
			dm.Lost[i] = !d.mayStillJoin(now, r, m.Instance)
			broken = broken || dm.Lost[i]
		}
		if broken {
			d.planning.repairs = d.planning.repairs.Without(key)
			out = append(out, dm)
		}
	}
	return d, out
}

// mayStillJoin reports whether a member of a repair is free or becoming free.
func (d Directory) mayStillJoin(now dragonflyinstant.Instant, r repair, id string) bool {
	ir := d.instanceRecord(id)
	if now.Sub(r.since) > releaseTimeout {
		return d.mayJoin(now, id, ir)
	}
	if group, ok := d.groupOf.Get(id); ok {
		_, ending := d.planning.dissolving.Get(group)
		return ending && ir.aliveAt(now)
	}
	return d.usable(now, id, ir)
}

// allMayJoin reports whether all members of a repair are free.
func (d Directory) allMayJoin(now dragonflyinstant.Instant, r repair) bool {
	for _, m := range r.formation.Members {
		if !d.mayJoin(now, m.Instance, d.instanceRecord(m.Instance)) {
			return false
		}
	}
	return true
}

// improvePlacement dissolves a group for a better placement, if one is due. idle
// is whether the present plan forms and dissolves no other group.
func (d Directory) improvePlacement(now dragonflyinstant.Instant, idle bool) (Directory, []dragonflydirectoryaction.Action) {
	m := &d.planning.move
	// Without a configuration the group size is unknown.
	idle = idle && d.config.Version() > 0 && d.hasMovableGroup() && d.planning.repairs.Len()+d.planning.dissolving.Len() == 0
	if !idle || m.last != 0 && now.Sub(m.last) < releaseTimeout && d.anyReleasing(now) {
		m.group = 0
		return d, nil
	}
	id, ok := dragonflyrebalance.GroupToDissolve(dragonflyrebalanceview.View{
		GroupSize: d.config.GroupSize(), CrossDomain: d.crossDomain(), Groups: d.placedGroups(now), Free: d.free(now),
	})
	if !ok {
		m.group = 0
		return d, nil
	}
	if m.group != id {
		m.group, m.since = id, now
	}
	if rec, ok := d.groups.Get(id); ok && !d.moveDue(now, rec) {
		return d, nil
	}
	m.last = now
	return d.dissolve(now, nil, id, reasonMoved)
}

// moveDue reports whether the group may be dissolved for a move now. A group that
// does not have the configured size may be while no group loads, or while fewer
// groups load than the load limit and an eighth of all groups.
func (d Directory) moveDue(now dragonflyinstant.Instant, rec *groupRecord) bool {
	m, loading := d.planning.move, d.loading(now)
	if len(rec.group.Members) != d.config.GroupSize() {
		return loading == 0 || loading < min(d.planning.loadLimit, d.groups.Len()/8)
	}
	return loading == 0 && now.Sub(m.since) >= moveHoldTime && (m.last == 0 || now.Sub(m.last) >= moveInterval)
}

// anyReleasing reports whether an instance is becoming free.
func (d Directory) anyReleasing(now dragonflyinstant.Instant) bool {
	for id, ir := range d.reports.All() {
		if d.usable(now, id, ir) && (ir.report.Membership != dragonflyreport.Free || ir.report.Group != 0) {
			return true
		}
	}
	return false
}

// hasMovableGroup reports whether any group could have a better placement.
func (d Directory) hasMovableGroup() bool {
	for id, rec := range d.groups.All() {
		if r, _ := d.routes.Route(groupKey(id)); r.CrossDomain || len(rec.group.Members) != d.config.GroupSize() {
			return true
		}
	}
	return false
}
