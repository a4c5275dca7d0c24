package dragonflydirectory

import (
	"reflect"
	"slices"
	"strconv"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflyload"
	"dragonflyrelay.example/library/values/dragonflyreport"
	"dragonflyrelay.example/library/values/dragonflyroute"
	"dragonflyrelay.example/library/values/dragonflytable"
	"dragonflyrelay.example/library/values/dragonflywatch"
)

// loadUpdateInterval is the minimum time between two updates of a route for its
// load only. Entries also receive the load in every response. A changed route
// takes 106 bytes, so 450 groups cost an entry at most 2.4 KB/s of its budget of
// 3 KB/s.
const loadUpdateInterval = 20 * dragonflyduration.Second

// Table returns the response to the watch of an entry or a follower, without the
// age of the confirmation, which the caller adds.
//
// A new leader that has not collected reports yet returns no changes to a
// watcher of an earlier term, so that the watcher keeps routes that still serve.
// A watcher without a table gets the known routes with term 0, so that it
// requests the whole table again and does not forward this one to watchers that
// have a table.
func (d Directory) Table(w dragonflywatch.Watch) dragonflytable.Table {
	out := dragonflytable.Table{Term: w.Term, Revision: w.Revision}
	if !d.behind(w) {
		out = d.routes.Delta(w)
	}
	if d.leading && !d.settled && out.Complete {
		out.Term, out.Revision = 0, 0
	}
	if d.config.Version() > w.ConfigVersion {
		out.Config, out.HasConfig = d.config, true
	}
	return out
}

// behind reports whether the table of the watcher may be newer than this one: the
// watcher has been served by an instance that is ahead of this one, or this table
// is not complete yet.
func (d Directory) behind(w dragonflywatch.Watch) bool {
	term := d.routes.Term()
	switch w.Term {
	case 0:
		return false
	case term:
		return w.Revision > d.routes.Revision()
	default:
		return w.Term > term || d.leading && !d.settled
	}
}

// refreshRoutes updates every route. Until a new leader has collected reports, it
// keeps the routes that the previous leader published.
func (d Directory) refreshRoutes(now dragonflyinstant.Instant) Directory {
	if !d.leading {
		return d
	}
	for _, r := range d.routes.Routes() {
		if d.settled && !d.targetExists(now, r) {
			d = d.withoutRoute(r.Key)
		}
	}
	for id := range d.groups.All() {
		d = d.refreshGroup(now, id)
	}
	for id := range d.reports.All() {
		d = d.refreshService(now, id)
	}
	return d
}

// targetExists reports whether the group or service instance of r still exists.
func (d Directory) targetExists(now dragonflyinstant.Instant, r dragonflyroute.Route) bool {
	if r.Group != 0 {
		_, ok := d.groups.Get(r.Group)
		return ok
	}
	ir, ok := d.reports.Get(r.Instance)
	return ok && isService(ir.report) && ir.aliveAt(now)
}

// refreshInstance updates the route that depends on the instance.
func (d Directory) refreshInstance(now dragonflyinstant.Instant, id string) Directory {
	if !d.leading {
		return d
	}
	if group, ok := d.groupOf.Get(id); ok {
		return d.refreshGroup(now, group)
	}
	return d.refreshService(now, id)
}

func (d Directory) refreshGroup(now dragonflyinstant.Instant, id uint64) Directory {
	rec, _ := d.groups.Get(id)
	if !d.settled && !d.instanceRecord(rec.head()).aliveAt(now) {
		return d
	}
	return d.publish(now, d.groupRoute(now, rec))
}

func (d Directory) refreshService(now dragonflyinstant.Instant, id string) Directory {
	ir, ok := d.reports.Get(id)
	if !ok || !isService(ir.report) {
		return d
	}
	if !ir.aliveAt(now) {
		return d.withoutRoute(serviceKey(id))
	}
	return d.publish(now, d.serviceRoute(ir.report))
}

// publish adds r to the table. If r differs from the published route only in its
// load, it is added only if the load has changed much and no such update of the
// route was published within loadUpdateInterval.
func (d Directory) publish(now dragonflyinstant.Instant, r dragonflyroute.Route) Directory {
	old, ok := d.routes.Route(r.Key)
	if ok && equalExceptLoad(old, r) {
		publishedAt, _ := d.loadPublishedAt.Get(r.Key)
		if !loadChanged(old.Load, r.Load) || publishedAt != 0 && now.Sub(publishedAt) < loadUpdateInterval {
			return d
		}
		d.loadPublishedAt = d.loadPublishedAt.With(r.Key, now)
	}
	d.routes = d.routes.WithRoute(r)
	return d
}

func (d Directory) withoutRoute(key string) Directory {
	d.routes, d.loadPublishedAt = d.routes.WithoutRoute(key), d.loadPublishedAt.Without(key)
	return d
}

func equalExceptLoad(old, next dragonflyroute.Route) bool {
	old.Load = next.Load
	return reflect.DeepEqual(old, next)
}

// loadChanged reports whether the limit has changed by more than a quarter of the
// old one, or the number of requests by more than a quarter of the new limit and
// by more than one.
func loadChanged(old, next dragonflyload.Load) bool {
	busy := func(l dragonflyload.Load) int { return l.InFlight + l.Queued }
	return 4*abs(old.Limit-next.Limit) > old.Limit || 4*abs(busy(old)-busy(next)) > max(next.Limit, 4)
}

func abs(n int) int { return max(n, -n) }

func (d Directory) groupRoute(now dragonflyinstant.Instant, rec *groupRecord) dragonflyroute.Route {
	g := rec.group
	head := g.Members[0]
	c := d.condition(now, rec)
	r := dragonflyroute.Route{
		Key:      groupKey(g.ID),
		Group:    g.ID,
		Fence:    g.Fence,
		Model:    g.Model,
		Instance: head.Instance,
		Address:  head.AgentAddress,
		Silent:   c.silent && rec.wasReady,
	}
	first := d.instanceRecord(head.Instance)
	if first.at != 0 {
		a := first.report.Announcement
		r.Region, r.Zone = a.Region, a.Zone
		r.Load = first.report.Load
		r.Ready = c.reason == "" && first.aliveAt(now) && first.report.GroupReady && rec.holds(first.report)
	}
	for _, m := range g.Members {
		ir, ok := d.reports.Get(m.Instance)
		if !ok {
			continue
		}
		a := ir.report.Announcement
		if !slices.Contains(r.Zones, a.Zone) {
			r.Zones = append(r.Zones, a.Zone)
		}
		r.CrossDomain = r.CrossDomain || a.Domain != first.report.Announcement.Domain || a.Zone != r.Zone
	}
	slices.Sort(r.Zones)
	return r
}

func (d Directory) serviceRoute(rep dragonflyreport.Report) dragonflyroute.Route {
	a := rep.Announcement
	available := a.State == dragonflyannouncement.Ready || a.State == dragonflyannouncement.Cold && a.ColdLimit > 0
	return dragonflyroute.Route{
		Key:      serviceKey(a.Instance),
		Service:  a.Service,
		Instance: a.Instance,
		Address:  rep.AgentAddress,
		Region:   a.Region,
		Zone:     a.Zone,
		Zones:    []string{a.Zone},
		Ready:    available && !d.config.ZoneOut(a.Zone),
		Load:     rep.Load,
	}
}

func groupKey(id uint64) string { return "g" + strconv.FormatUint(id, 10) }

func serviceKey(instance string) string { return "i" + instance }

func isService(r dragonflyreport.Report) bool {
	return r.Announcement.Kind == dragonflyannouncement.Service
}
