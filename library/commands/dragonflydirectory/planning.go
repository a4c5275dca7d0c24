package dragonflydirectory

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/queries/dragonflyplacement"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflycandidate"
	"dragonflyrelay.example/library/values/dragonflydirectoryaction"
	"dragonflyrelay.example/library/values/dragonflygrouporder"
	"dragonflyrelay.example/library/values/dragonflymember"
	"dragonflyrelay.example/library/values/dragonflyplacementview"
	"dragonflyrelay.example/library/values/dragonflyreport"
)

// Order returns the order for the instance, to be sent with every answer to its
// report; a repeated order has no effect on an agent. An instance that still
// belongs to a group that the replicated state has removed is told to leave it.
// A group with a fencing number that this instance has not heard of may be newer
// than its state, so it is left alone.
func (d Directory) Order(instance string) dragonflygrouporder.Order {
	if id, ok := d.groupOf.Get(instance); ok {
		rec, _ := d.groups.Get(id)
		g := rec.group
		return dragonflygrouporder.Order{Kind: dragonflygrouporder.Form, Group: g.ID, Fence: g.Fence, Model: g.Model, Members: g.Members}
	}
	s, ok := d.reports.Get(instance)
	if !ok || s.report.Group == 0 || s.report.Fence > d.topFence {
		return dragonflygrouporder.Order{}
	}
	return dragonflygrouporder.Order{Kind: dragonflygrouporder.Dissolve, Group: s.report.Group, Fence: s.report.Fence}
}

func (d Directory) tick(now dragonflyinstant.Instant) (Directory, []dragonflydirectoryaction.Action) {
	d = d.forgetSilent(now)
	if !d.leads || now.Before(d.settledAt) {
		return d, nil
	}
	d.settled = true
	d = d.expire(now).refreshAll(now)
	d, acts := d.dissolveUnfit(now)
	d, formed := d.formGroups(now)
	return d, append(acts, formed...)
}

// forgetSilent drops instances that have long been silent and are in no group.
func (d Directory) forgetSilent(now dragonflyinstant.Instant) Directory {
	for id, s := range d.reports.All() {
		if _, ok := d.groupOf.Get(id); !ok && now.Sub(s.at) > forgetAfter {
			d.reports = d.reports.Without(id)
		}
	}
	return d
}

// expire ends the reservations whose change has not come.
func (d Directory) expire(now dragonflyinstant.Instant) Directory {
	for id, until := range d.reserved.All() {
		if now.After(until) {
			d.reserved = d.reserved.Without(id)
		}
	}
	for id, until := range d.dissolving.All() {
		if now.After(until) {
			d.dissolving = d.dissolving.Without(id)
		}
	}
	return d
}

func (d Directory) dissolveUnfit(now dragonflyinstant.Instant) (Directory, []dragonflydirectoryaction.Action) {
	var acts []dragonflydirectoryaction.Action
	for id, rec := range d.groups.All() {
		if _, ok := d.dissolving.Get(id); ok {
			continue
		}
		reason, due := d.unfit(now, rec)
		if reason == "" || !due {
			continue
		}
		d.dissolving = d.dissolving.With(id, now.Add(PendingFor))
		acts = append(acts, dragonflydirectoryaction.Action{Kind: dragonflydirectoryaction.DissolveGroup, Group: id, Reason: reason})
	}
	return d, acts
}

func (d Directory) formGroups(now dragonflyinstant.Instant) (Directory, []dragonflydirectoryaction.Action) {
	plan := dragonflyplacement.Plan(d.view(now))
	var acts []dragonflydirectoryaction.Action
	for _, g := range plan.Form {
		for _, m := range g.Members {
			d.reserved = d.reserved.With(m.Instance, now.Add(PendingFor))
		}
		acts = append(acts, dragonflydirectoryaction.Action{Kind: dragonflydirectoryaction.FormGroup, Model: g.Model, Members: g.Members})
	}
	return d, acts
}

// view returns what the placement plans from.
func (d Directory) view(now dragonflyinstant.Instant) dragonflyplacementview.View {
	v := dragonflyplacementview.View{GroupSize: d.config.GroupSize()}
	for id, s := range d.reports.All() {
		if d.mayJoin(now, id, s) {
			v.Free = append(v.Free, candidate(s.report))
		}
	}
	return v
}

// mayJoin reports whether the instance may be put into a new group.
func (d Directory) mayJoin(now dragonflyinstant.Instant, id string, s sighting) bool {
	a := s.report.Announcement
	if _, ok := d.groupOf.Get(id); ok {
		return false
	}
	if _, ok := d.reserved.Get(id); ok {
		return false
	}
	return s.aliveAt(now) &&
		a.Kind == dragonflyannouncement.Engine &&
		a.State != dragonflyannouncement.Leaving &&
		s.report.Membership == dragonflyreport.Free && s.report.Group == 0 &&
		!d.config.ZoneOut(a.Zone)
}

func candidate(r dragonflyreport.Report) dragonflycandidate.Candidate {
	a := r.Announcement
	return dragonflycandidate.Candidate{
		Member:       dragonflymember.Member{Instance: a.Instance, AgentAddress: r.AgentAddress, EngineAddress: a.Address},
		Region:       a.Region,
		Zone:         a.Zone,
		Domain:       a.Domain,
		Model:        a.Model,
		Accelerators: a.Accelerators,
	}
}
