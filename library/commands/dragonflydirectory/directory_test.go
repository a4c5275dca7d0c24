package dragonflydirectory_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflydirectory"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflydirectoryaction"
	"dragonflyrelay.example/library/values/dragonflydirectoryevent"
	"dragonflyrelay.example/library/values/dragonflygroup"
	"dragonflyrelay.example/library/values/dragonflygrouporder"
	"dragonflyrelay.example/library/values/dragonflymember"
	"dragonflyrelay.example/library/values/dragonflyreport"
	"dragonflyrelay.example/library/values/dragonflytable"
	"dragonflyrelay.example/library/values/dragonflywatch"
	"dragonflyrelay.example/library/values/dragonflyzone"
	. "github.com/smartystreets/goconvey/convey"
)

const second = dragonflyinstant.Instant(dragonflyduration.Second)

// engine returns the report of a free engine in a zone and domain.
func engine(id, zone, domain string) dragonflyreport.Report {
	return dragonflyreport.Report{
		Incarnation:  1,
		AgentAddress: "127.0.0.1:" + id,
		Alive:        true,
		Membership:   dragonflyreport.Free,
		Announcement: dragonflyannouncement.Announcement{
			Instance: id, Kind: dragonflyannouncement.Engine, Address: "127.0.1.1:" + id,
			Region: "r", Zone: zone, Domain: domain, Accelerators: 1, Model: "m", State: dragonflyannouncement.Cold,
		},
	}
}

// fleet is a directory with its clock and the reports that agents keep sending.
type fleet struct {
	d       dragonflydirectory.Directory
	now     dragonflyinstant.Instant
	reports map[string]dragonflyreport.Report
	acts    []dragonflydirectoryaction.Action
}

func newFleet(size int, reports ...dragonflyreport.Report) *fleet {
	f := &fleet{reports: map[string]dragonflyreport.Report{}, now: second}
	for _, r := range reports {
		f.reports[r.Announcement.Instance] = r
	}
	f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Configured, Config: dragonflyconfig.Config{}.WithVersion(1).WithGroupSize(size)})
	f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Led, Term: 1})
	return f
}

func (f *fleet) step(ev dragonflydirectoryevent.Event) {
	d, acts := f.d.Step(f.now, ev)
	f.d, f.acts = d, append(f.acts, acts...)
}

// pass lets n half seconds pass, each with all reports and a tick, and returns
// what was asked for.
func (f *fleet) pass(n int) []dragonflydirectoryaction.Action {
	f.acts = nil
	for range n {
		f.now = f.now.Add(500 * dragonflyduration.Millisecond)
		for _, r := range f.reports {
			f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Reported, Report: r})
		}
		f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Tick})
	}
	return f.acts
}

func (f *fleet) change(id string, edit func(*dragonflyreport.Report)) {
	r := f.reports[id]
	edit(&r)
	f.reports[id] = r
}

// hold puts instances into group id and lets them report it as ready.
func (f *fleet) hold(index, id uint64, instances ...string) {
	g := dragonflygroup.Group{ID: id, Fence: id, Model: "m"}
	for i, in := range instances {
		g.Members = append(g.Members, dragonflymember.Member{Instance: in, AgentAddress: f.reports[in].AgentAddress})
		f.change(in, func(r *dragonflyreport.Report) {
			r.Membership, r.Group, r.Fence, r.GroupReady = dragonflyreport.Member, id, id, i == 0
		})
	}
	f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Groups, Index: index, Fence: id, Groups: []dragonflygroup.Group{g}})
}

// assertDissolves guards against a broken group that stays in the replicated
// state, and against asking twice while the first change is on its way.
func assertDissolves(acts []dragonflydirectoryaction.Action, group uint64, reason string) {
	So(len(acts), ShouldEqual, 1)
	So(acts[0].Kind, ShouldEqual, dragonflydirectoryaction.DissolveGroup)
	So(acts[0].Group, ShouldEqual, group)
	So(acts[0].Reason, ShouldEqual, reason)
}

// assertReady guards against entries that get or lose a route wrongly.
func assertReady(d dragonflydirectory.Directory, ready bool) {
	routes := d.Routes()
	So(len(routes), ShouldEqual, 1)
	So(routes[0].Ready, ShouldEqual, ready)
}

func TestForming(t *testing.T) {
	a, b := engine("1", "za", "d1"), engine("2", "za", "d1")

	Convey("A new leader forms nothing before it has collected reports", t, func() {
		f := newFleet(2, a, b)
		So(f.pass(4), ShouldBeEmpty)
		acts := f.pass(1)
		So(len(acts), ShouldEqual, 1)
		So(acts[0].Kind, ShouldEqual, dragonflydirectoryaction.FormGroup)
		So(acts[0].Members[0], ShouldResemble, dragonflymember.Member{Instance: "1", AgentAddress: "127.0.0.1:1", EngineAddress: "127.0.1.1:1"})
		So(f.pass(5), ShouldBeEmpty) // The change is on its way.
	})
	Convey("A follower plans nothing", t, func() {
		f := newFleet(2, a, b)
		f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Followed})
		So(f.pass(12), ShouldBeEmpty)
	})
	Convey("An instance that is not surely free joins no group", t, func() {
		for name, edit := range map[string]func(*dragonflyreport.Report){
			"releasing":    func(r *dragonflyreport.Report) { r.Membership = dragonflyreport.Releasing },
			"unknown":      func(r *dragonflyreport.Report) { r.Membership = dragonflyreport.Unknown },
			"joining":      func(r *dragonflyreport.Report) { r.Membership, r.Group = dragonflyreport.Joining, 9 },
			"dead":         func(r *dragonflyreport.Report) { r.Alive = false },
			"leaving":      func(r *dragonflyreport.Report) { r.Announcement.State = dragonflyannouncement.Leaving },
			"a service":    func(r *dragonflyreport.Report) { r.Announcement.Kind = dragonflyannouncement.Service },
			"other domain": func(r *dragonflyreport.Report) { r.Announcement.Domain = "d2" },
			"other model":  func(r *dragonflyreport.Report) { r.Announcement.Model = "n" },
		} {
			Convey(name, func() {
				f := newFleet(2, a, b)
				f.change("2", edit)
				So(f.pass(8), ShouldBeEmpty)
			})
		}
	})
	Convey("A member of a group of the replicated state joins no other, whatever it reports", t, func() {
		f := newFleet(2, a, b, engine("3", "za", "d1"))
		f.hold(1, 7, "1", "2")
		f.change("2", func(r *dragonflyreport.Report) { r.Membership, r.Group = dragonflyreport.Free, 0 })
		So(f.pass(8), ShouldBeEmpty)
	})
}

func TestDissolving(t *testing.T) {
	newHeld := func() *fleet {
		f := newFleet(2, engine("1", "za", "d1"), engine("2", "za", "d1"))
		f.hold(1, 7, "1", "2")
		So(f.pass(8), ShouldBeEmpty)
		assertReady(f.d, true)
		return f
	}
	Convey("A group is dissolved when it loses a member", t, func() {
		for reason, edit := range map[string]func(*dragonflyreport.Report){
			"member-silent":    func(r *dragonflyreport.Report) { r.Alive = false },
			"member-lost":      func(r *dragonflyreport.Report) { r.LostMembers = []string{"2"} },
			"member-restarted": func(r *dragonflyreport.Report) { r.Incarnation = 2 },
			"member-leaving":   func(r *dragonflyreport.Report) { r.Announcement.State = dragonflyannouncement.Leaving },
		} {
			Convey(reason, func() {
				f := newHeld()
				f.change("1", edit)
				assertDissolves(f.pass(3), 7, reason)
				assertReady(f.d, false)
			})
		}
	})
	Convey("A member counts as alive for 3 s after its last report", t, func() {
		f := newHeld()
		delete(f.reports, "2")
		So(f.pass(6), ShouldBeEmpty)
		assertDissolves(f.pass(1), 7, "member-silent")
	})
	Convey("A group in a zone that is taken out is dissolved", t, func() {
		f := newHeld()
		c := f.d.Config().WithVersion(2).WithZone(dragonflyzone.Zone{}.WithName("za").WithOut(true))
		f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Configured, Config: c})
		assertReady(f.d, false)
		assertDissolves(f.pass(3), 7, "zone-out")
	})
	Convey("A route is ready only for exactly the group and fence of the state", t, func() {
		f := newHeld()
		f.change("1", func(r *dragonflyreport.Report) { r.Fence = 6 })
		f.pass(1)
		assertReady(f.d, false)
	})
}

func TestOrders(t *testing.T) {
	Convey("Members are told to form, former members to leave, strangers nothing", t, func() {
		f := newFleet(2, engine("1", "za", "d1"), engine("2", "za", "d1"))
		f.hold(1, 7, "1", "2")
		f.pass(8)
		So(f.d.Order("2").Kind, ShouldEqual, dragonflygrouporder.Form)
		So(f.d.Order("2").Fence, ShouldEqual, uint64(7))
		f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Groups, Index: 2, Fence: 7})
		So(f.d.Order("2"), ShouldResemble, dragonflygrouporder.Order{Kind: dragonflygrouporder.Dissolve, Group: 7, Fence: 7})
		So(f.d.Order("3"), ShouldResemble, dragonflygrouporder.Order{})
	})
	Convey("A control instance that lags does not dissolve a group that it has not heard of", t, func() {
		f := newFleet(2, engine("1", "za", "d1"))
		f.change("1", func(r *dragonflyreport.Report) { r.Group, r.Fence = 8, 8 })
		f.pass(1)
		So(f.d.Order("1"), ShouldResemble, dragonflygrouporder.Order{})
	})
}

// watcher keeps a table the way an entry does.
type watcher struct {
	watch  dragonflywatch.Watch
	routes map[string]bool
}

func (w *watcher) pull(d dragonflydirectory.Directory) dragonflytable.Table {
	tab := d.Table(w.watch)
	if tab.Complete {
		w.routes = map[string]bool{}
	}
	for _, r := range tab.Routes {
		w.routes[r.Key] = r.Ready
	}
	for _, k := range tab.Removed {
		delete(w.routes, k)
	}
	w.watch.Term, w.watch.Revision = tab.Term, tab.Revision
	return tab
}

// assertSame guards against a watcher whose table differs from the directory's.
func (w *watcher) assertSame(d dragonflydirectory.Directory) {
	want := map[string]bool{}
	for _, r := range d.Routes() {
		want[r.Key] = r.Ready
	}
	So(fmt.Sprint(w.routes), ShouldEqual, fmt.Sprint(want))
}

func TestTable(t *testing.T) {
	service := engine("9", "za", "d1")
	service.Announcement.Kind, service.Announcement.Service = dragonflyannouncement.Service, "orders"
	service.Announcement.State = dragonflyannouncement.Ready

	Convey("A watcher that applies deltas has the table of the directory", t, func() {
		f := newFleet(2, engine("1", "za", "d1"), engine("2", "za", "d1"), service)
		f.hold(1, 7, "1", "2")
		f.pass(8)
		w := &watcher{}
		So(w.pull(f.d).Complete, ShouldBeTrue)
		w.assertSame(f.d)
		So(len(w.routes), ShouldEqual, 2)
		So(w.pull(f.d).Routes, ShouldBeEmpty)
		delete(f.reports, "9")
		f.pass(8)
		tab := w.pull(f.d)
		So(tab.Complete, ShouldBeFalse)
		So(tab.Removed, ShouldResemble, []string{"i9"})
		w.assertSame(f.d)
	})
	Convey("A new leader with an empty view takes no routes from watchers", t, func() {
		f := newFleet(2, engine("1", "za", "d1"), engine("2", "za", "d1"))
		f.hold(1, 7, "1", "2")
		f.pass(8)
		w := &watcher{}
		w.pull(f.d)
		f.d = dragonflydirectory.Directory{}
		f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Led, Term: 2})
		So(w.pull(f.d).Complete, ShouldBeFalse)
		So(w.routes, ShouldResemble, map[string]bool{"g7": true})
	})
	Convey("A follower passes on the leader's table under the leader's term and revision", t, func() {
		f := newFleet(2, engine("1", "za", "d1"), engine("2", "za", "d1"), service)
		f.hold(1, 7, "1", "2")
		f.pass(8)
		var follower dragonflydirectory.Directory
		follower, _ = follower.Step(f.now, dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Pulled, Table: f.d.Table(dragonflywatch.Watch{})})
		w := &watcher{}
		w.pull(follower)
		w.assertSame(f.d)
		delete(f.reports, "9")
		f.pass(8)
		ahead := *w
		So(ahead.pull(f.d).Complete, ShouldBeFalse)
		So(ahead.pull(follower).Complete, ShouldBeFalse) // The follower lags.
		ahead.assertSame(f.d)
		follower, _ = follower.Step(f.now, dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Pulled, Table: f.d.Table(w.watch)})
		w.pull(follower)
		w.assertSame(f.d)
	})
}
