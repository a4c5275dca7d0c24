package dragonflydirectory_test

import (
	"fmt"
	"slices"

	"dragonflyrelay.example/library/commands/dragonflydirectory"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflyclass"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflydirectoryaction"
	"dragonflyrelay.example/library/values/dragonflydirectoryevent"
	"dragonflyrelay.example/library/values/dragonflygroup"
	"dragonflyrelay.example/library/values/dragonflygrouporder"
	"dragonflyrelay.example/library/values/dragonflyreport"
	"dragonflyrelay.example/library/values/dragonflyzone"
)

const (
	second       = dragonflyinstant.Instant(dragonflyduration.Second)
	halfSecond   = 500 * dragonflyduration.Millisecond
	releaseSteps = 3 // steps until a lease has certainly expired
)

// agent is a fake agent with its engine. It carries out orders and reports.
type agent struct {
	report        dragonflyreport.Report
	dead          bool // neither runs nor reports
	disconnected  bool // runs, but has no connection to control
	stepsLeft     int  // steps until the current membership state ends
	inGroup       dragonflygroup.Group
	loadedFence   uint64 // fencing number of the group that the engine has loaded
	ignoresOrders bool
}

// fleet is a directory with fake agents and a fake replicated state that accepts
// every change at once.
type fleet struct {
	d          dragonflydirectory.Directory
	now        dragonflyinstant.Instant
	agents     map[string]*agent
	ids        []string
	groups     []dragonflygroup.Group
	fence      uint64
	index      uint64
	stepTime   dragonflyduration.Duration // length of a step of advance, half a second by default
	loadSteps  int                        // load time of an engine in steps
	acts       []dragonflydirectoryaction.Action
	violations []string // broken invariants
}

func newFleet(size int) *fleet {
	f := &fleet{agents: map[string]*agent{}, now: second, stepTime: halfSecond, loadSteps: 4}
	f.configure(dragonflyconfig.Config{}.WithGroupSize(size))
	f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Led, Term: 1})
	return f
}

// add starts an agent with a free engine.
func (f *fleet) add(id, zone, domain string) *agent {
	a := &agent{report: dragonflyreport.Report{
		Incarnation:  1,
		AgentAddress: "127.0.0.1:" + id,
		Alive:        true,
		Membership:   dragonflyreport.Free,
		Announcement: dragonflyannouncement.Announcement{
			Instance: id, Kind: dragonflyannouncement.Engine, Address: "127.0.1.1:" + id,
			Region: "r", Zone: zone, Domain: domain, Accelerators: 1, Model: "m", State: dragonflyannouncement.Cold,
		},
	}}
	f.agents[id] = a
	f.ids = append(f.ids, id)
	return a
}

// addDomain starts n agents named domain and number.
func (f *fleet) addDomain(n int, zone, domain string) {
	for i := range n {
		f.add(fmt.Sprintf("%s.%d", domain, i), zone, domain)
	}
}

func (f *fleet) step(ev dragonflydirectoryevent.Event) {
	d, acts := f.d.Step(f.now, ev)
	f.d, f.acts = d, append(f.acts, acts...)
	for _, a := range acts {
		f.apply(a)
	}
}

func (f *fleet) configure(c dragonflyconfig.Config) {
	f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Configured, Config: c.WithVersion(f.d.Config().Version() + 1)})
}

// zone configures whether the zone is out of service, and the notice period of a
// planned take-out; 0 if none is planned.
func (f *fleet) zone(name string, out bool, notice dragonflyduration.Duration) {
	f.configure(f.d.Config().WithZone(dragonflyzone.Zone{}.WithName(name).WithOut(out).WithNotice(notice)))
}

func (f *fleet) allowCrossDomain(v bool) {
	f.configure(f.d.Config().WithClass(dragonflyclass.Class{}.WithName("bulk").WithCrossDomain(v)))
}

func (f *fleet) apply(a dragonflydirectoryaction.Action) {
	switch a.Kind {
	case dragonflydirectoryaction.FormGroup:
		f.fence++
		g := dragonflygroup.Group{ID: f.fence, Fence: f.fence, Model: a.Model, Members: a.Members}
		for _, m := range a.Members {
			r := f.agents[m.Instance].report
			if r.Membership != dragonflyreport.Free || f.groupOf(m.Instance) != 0 {
				f.violations = append(f.violations, fmt.Sprintf("%s is requested for a group while its membership is %d and its group %d", m.Instance, r.Membership, f.groupOf(m.Instance)))
			}
		}
		f.groups = append(f.groups, g)
	case dragonflydirectoryaction.DissolveGroup:
		f.groups = slices.DeleteFunc(slices.Clone(f.groups), func(g dragonflygroup.Group) bool { return g.ID == a.Group })
	case dragonflydirectoryaction.EndZoneNotice:
		f.zone(a.Zone, true, 0)
		return
	}
	f.index++
	f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Groups, Index: f.index, Fence: f.fence, Groups: slices.Clone(f.groups)})
}

func (f *fleet) groupOf(instance string) uint64 {
	for _, g := range f.groups {
		for _, m := range g.Members {
			if m.Instance == instance {
				return g.ID
			}
		}
	}
	return 0
}

// advance advances the clock by n steps of f.stepTime and returns the requested
// changes.
func (f *fleet) advance(n int) []dragonflydirectoryaction.Action {
	f.acts = nil
	for range n {
		f.now = f.now.Add(f.stepTime)
		for _, id := range f.ids {
			f.agents[id].advanceStep(f, id)
		}
		for _, id := range f.ids {
			if a := f.agents[id]; !a.dead && !a.disconnected {
				f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Reported, Report: a.reportAsHead(f)})
			}
		}
		f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Tick})
	}
	return f.acts
}

// advanceStep advances the agent by one step.
func (a *agent) advanceStep(f *fleet, id string) {
	if a.dead {
		return
	}
	a.stepsLeft--
	r := &a.report
	switch {
	case r.Membership == dragonflyreport.Joining && a.stepsLeft <= 0:
		r.Membership, a.loadedFence = dragonflyreport.Member, r.Fence
	case r.Membership == dragonflyreport.Releasing && a.stepsLeft <= 0:
		r.Membership = dragonflyreport.Free
	}
	if a.disconnected || a.ignoresOrders {
		return
	}
	o := f.d.Order(id)
	switch {
	case o.Kind == dragonflygrouporder.Form && r.Membership == dragonflyreport.Free:
		r.Membership, r.Group, r.Fence, a.stepsLeft = dragonflyreport.Joining, o.Group, o.Fence, f.loadSteps
		if a.loadedFence == o.Fence {
			a.stepsLeft = 0
		}
		a.inGroup = dragonflygroup.Group{ID: o.Group, Fence: o.Fence, Members: o.Members}
	case o.Kind == dragonflygrouporder.Dissolve && r.Group == o.Group:
		a.leave()
	}
}

func (a *agent) leave() {
	r := &a.report
	r.Membership, r.Group, r.Fence, a.stepsLeft = dragonflyreport.Releasing, 0, 0, releaseSteps
	a.inGroup = dragonflygroup.Group{}
}

func (a *agent) restart() {
	a.dead = false
	a.report.Incarnation++
	a.leave()
}

// reportAsHead returns the report of the agent, with the state of the group if
// the agent is the head of one.
func (a *agent) reportAsHead(f *fleet) dragonflyreport.Report {
	r := a.report
	if len(a.inGroup.Members) == 0 || a.inGroup.Members[0].Instance != r.Announcement.Instance {
		return r
	}
	r.GroupReady = true
	for _, m := range a.inGroup.Members {
		o := f.agents[m.Instance]
		r.GroupReady = r.GroupReady && !o.dead && o.report.Group == r.Group && o.report.Membership == dragonflyreport.Member
		if o.dead {
			r.LostMembers = append(r.LostMembers, m.Instance)
		}
	}
	return r
}

// ready returns the members of the group of every ready route.
func (f *fleet) ready() [][]string {
	var out [][]string
	for _, r := range f.d.Routes() {
		if !r.Ready {
			continue
		}
		for _, g := range f.groups {
			if g.ID == r.Group {
				out = append(out, instances(g))
			}
		}
	}
	return out
}

func instances(g dragonflygroup.Group) (out []string) {
	for _, m := range g.Members {
		out = append(out, m.Instance)
	}
	return out
}
