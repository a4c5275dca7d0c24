// Package dragonflydirectory maintains the state of instances and groups that a
// control instance derives from the reports of agents. On the leader it requests
// that groups are formed and dissolved; on every control instance it provides the
// orders for agents and the route table for entries.
package dragonflydirectory

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflydirectoryaction"
	"dragonflyrelay.example/library/values/dragonflydirectoryevent"
	"dragonflyrelay.example/library/values/dragonflygroup"
	"dragonflyrelay.example/library/values/dragonflyreport"
	"dragonflyrelay.example/library/values/dragonflyroute"
	"dragonflyrelay.example/library/values/dragonflyroutetable"
)

const (
	// AliveTimeout is how long an instance counts as alive after its last report. At
	// one report a second, it tolerates the loss of two but not of three.
	AliveTimeout = 3 * dragonflyduration.Second
	// SettleTime is how long a new leader collects reports before it plans. Every
	// live agent reports once a second, and followers forward reports within
	// 500 ms.
	SettleTime = 2500 * dragonflyduration.Millisecond
	// maxStepGap is the time between two events after which the leader itself has stood
	// still: ticks are much more frequent. It then collects reports like a new leader,
	// since the latest ones look as old as its own pause. Together with the time between two
	// reports it is less than AliveTimeout.
	maxStepGap = 1500 * dragonflyduration.Millisecond
	// PendingTimeout is how long no further change of an instance, group or zone is
	// requested after one, while that change may still be in progress.
	PendingTimeout = 3 * dragonflyduration.Second
	// JoinTimeout is how long a member may take to accept the order to form a new
	// group. The order is repeated in every response to a report, once a second.
	JoinTimeout = 10 * dragonflyduration.Second
	// removeAfter is how long operators can list an instance after its last report.
	removeAfter = 10 * dragonflyduration.Minute
	// planInterval is the time between two plans. It adds at most this much to the
	// downtime of a group and limits planning to a few per cent of a core.
	planInterval = 250 * dragonflyduration.Millisecond
)

// Directory is the directory of one control instance. The zero value is empty and
// not leading.
type Directory struct {
	// reports and groups hold pointers to immutable values, so that a change
	// copies little of the tree.
	reports      dragonflymap.Map[string, *instanceRecord]
	groups       dragonflymap.Map[uint64, *groupRecord]
	groupOf      dragonflymap.Map[string, uint64]
	index        uint64 // log index of the groups
	highestFence uint64 // highest fencing number in the replicated state
	config       dragonflyconfig.Config
	routes       dragonflyroutetable.RouteTable
	// loadPublishedAt is when a route was last published for a change of its load
	// only.
	loadPublishedAt dragonflymap.Map[string, dragonflyinstant.Instant]
	// notices holds the planned take-outs of zones.
	notices dragonflymap.Map[string, notice]

	leading   bool
	settled   bool                     // this leader has collected reports for SettleTime since it leads or stood still
	settledAt dragonflyinstant.Instant // when SettleTime ends
	steppedAt dragonflyinstant.Instant // the latest event
	plannedAt dragonflyinstant.Instant
	planning  planning
}

// Step handles the event ev, which occurred at now, and returns the next state
// and the changes that it requests.
func (d Directory) Step(now dragonflyinstant.Instant, ev dragonflydirectoryevent.Event) (Directory, []dragonflydirectoryaction.Action) {
	if d.leading && d.settled && now.Sub(d.steppedAt) > maxStepGap {
		d.settled, d.settledAt = false, now.Add(SettleTime)
	}
	d.steppedAt = now
	switch ev.Kind {
	case dragonflydirectoryevent.Reported:
		return d.withReport(now, ev.Report), nil
	case dragonflydirectoryevent.Groups:
		return d.withGroups(now, ev), nil
	case dragonflydirectoryevent.Configured:
		return d.withConfig(now, ev.Config), nil
	case dragonflydirectoryevent.Led:
		return d.withLeadership(now, ev.Term), nil
	case dragonflydirectoryevent.Followed:
		d.leading, d.settled = false, false
		return d, nil
	case dragonflydirectoryevent.Pulled:
		if !d.leading {
			d.routes = d.routes.WithPulled(ev.Table)
		}
		return d, nil
	case dragonflydirectoryevent.Tick:
		return d.tick(now)
	default:
		return d, nil
	}
}

// Config returns the configuration in force.
func (d Directory) Config() dragonflyconfig.Config { return d.config }

// Routes returns the routes ordered by key.
func (d Directory) Routes() []dragonflyroute.Route { return d.routes.Routes() }

// Reports returns the latest report of every known instance, ordered by id.
func (d Directory) Reports() []dragonflyreport.Report {
	out := make([]dragonflyreport.Report, 0, d.reports.Len())
	for _, ir := range d.reports.All() {
		out = append(out, ir.report)
	}
	return out
}

// withReport returns the directory after the report r.
func (d Directory) withReport(now dragonflyinstant.Instant, r dragonflyreport.Report) Directory {
	id := r.Announcement.Instance
	if id == "" || d.instanceRecord(id).newerThan(now, r) {
		return d
	}
	d.reports = d.reports.With(id, d.instanceRecord(id).withReport(now, r))
	if group, ok := d.groupOf.Get(id); ok {
		d = d.withMemberReport(now, group, r)
	}
	return d.refreshInstance(now, id)
}

// withMemberReport returns the directory after a report of a member of the group.
// It also records the load time when the group becomes ready for the first time.
func (d Directory) withMemberReport(now dragonflyinstant.Instant, group uint64, r dragonflyreport.Report) Directory {
	old, _ := d.groups.Get(group)
	rec := old.withReport(now, r.Announcement.Instance, r)
	if !rec.wasReady && r.GroupReady && rec.holds(r) && r.Announcement.Instance == rec.head() {
		rec.wasReady = true
		if rec.measuresLoadTime {
			d.planning = d.planning.withLoadTime(now.Sub(rec.since))
		}
	}
	if rec.changedFrom(old) {
		d.groups = d.groups.With(group, &rec)
	}
	return d
}

// withGroups returns the directory with the groups of the replicated state,
// unless ev is older than the groups that it has.
func (d Directory) withGroups(now dragonflyinstant.Instant, ev dragonflydirectoryevent.Event) Directory {
	if ev.Index < d.index {
		return d
	}
	d.index, d.highestFence = ev.Index, max(d.highestFence, ev.Fence)
	current := make(map[uint64]bool, len(ev.Groups))
	for _, g := range ev.Groups {
		current[g.ID] = true
	}
	for id, rec := range d.groups.All() {
		if !current[id] {
			d = d.withoutGroup(*rec)
		}
	}
	for _, g := range ev.Groups {
		if _, ok := d.groups.Get(g.ID); !ok && len(g.Members) > 0 {
			d = d.withGroup(now, g)
		}
	}
	return d
}

func (d Directory) withGroup(now dragonflyinstant.Instant, g dragonflygroup.Group) Directory {
	d.highestFence = max(d.highestFence, g.Fence)
	requested, _ := d.planning.reserved.Get(g.Members[0].Instance)
	rec := groupRecord{group: g, since: now, measuresLoadTime: d.leading && requested.loadingMembers == len(g.Members)}
	for _, m := range g.Members {
		d.planning.reserved = d.planning.reserved.Without(m.Instance)
		d.groupOf = d.groupOf.With(m.Instance, g.ID)
		if ir, ok := d.reports.Get(m.Instance); ok {
			rec = rec.withReport(now, m.Instance, ir.report)
		}
	}
	d.groups = d.groups.With(g.ID, &rec)
	if !d.leading {
		return d
	}
	return d.refreshGroup(now, g.ID)
}

func (d Directory) withoutGroup(rec groupRecord) Directory {
	id := rec.group.ID
	d.groups = d.groups.Without(id)
	d.planning.dissolving = d.planning.dissolving.Without(id)
	for _, m := range rec.group.Members {
		if of, _ := d.groupOf.Get(m.Instance); of == id {
			d.groupOf = d.groupOf.Without(m.Instance)
		}
	}
	if d.leading {
		d = d.withoutRoute(groupKey(id))
	}
	return d
}

func (d Directory) withConfig(now dragonflyinstant.Instant, c dragonflyconfig.Config) Directory {
	if c.Version() < d.config.Version() {
		return d
	}
	d.config = c
	return d.withNotices(now).refreshRoutes(now)
}

// withLeadership returns the directory of a new leader in term.
func (d Directory) withLeadership(now dragonflyinstant.Instant, term uint64) Directory {
	d.leading, d.settled = true, false
	d.settledAt = now.Add(SettleTime)
	d.routes = d.routes.WithTerm(term)
	d.planning = planning{}
	return d
}
