package dragonflydirectory_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflydirectory"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflydirectoryevent"
	"dragonflyrelay.example/library/values/dragonflytable"
	"dragonflyrelay.example/library/values/dragonflywatch"
	. "github.com/smartystreets/goconvey/convey"
)

// watcher maintains a table from deltas as an entry does.
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

// assertSame asserts that the table of the watcher equals that of the directory.
func (w *watcher) assertSame(d dragonflydirectory.Directory) {
	want := map[string]bool{}
	for _, r := range d.Routes() {
		want[r.Key] = r.Ready
	}
	So(fmt.Sprint(w.routes), ShouldEqual, fmt.Sprint(want))
}

// newPairWithService returns a fleet with a ready group and a ready service
// instance "s".
func newPairWithService() *fleet {
	f := newReadyPair()
	s := f.add("s", "za", "d")
	s.report.Announcement.Kind, s.report.Announcement.Service = dragonflyannouncement.Service, "orders"
	s.report.Announcement.State = dragonflyannouncement.Ready
	f.advance(1)
	return f
}

func TestTable(t *testing.T) {
	Convey("A watcher that applies deltas has the table of the directory", t, func() {
		f := newPairWithService()
		w := &watcher{}
		So(w.pull(f.d).Complete, ShouldBeTrue)
		w.assertSame(f.d)
		So(w.routes, ShouldResemble, map[string]bool{"g1": true, "is": true})
		So(w.pull(f.d).Routes, ShouldBeEmpty)
		f.agents["s"].dead = true
		f.advance(7)
		tab := w.pull(f.d)
		So(tab.Complete, ShouldBeFalse)
		So(tab.Removed, ShouldResemble, []string{"is"})
		w.assertSame(f.d)
	})
	Convey("Small changes of load are not published, large ones are", t, func() {
		f := newPairWithService()
		w := &watcher{}
		load := &f.agents["s"].report.Load
		load.Limit, load.InFlight = 100, 10
		f.advance(1)
		w.pull(f.d)
		load.InFlight = 34
		f.advance(1)
		So(w.pull(f.d).Routes, ShouldBeEmpty)
		load.InFlight = 36
		f.advance(38) // A change of load only is published every 20 s.
		So(w.pull(f.d).Routes, ShouldBeEmpty)
		f.advance(1)
		So(len(w.pull(f.d).Routes), ShouldEqual, 1)
		load.InFlight = 90
		f.advance(39)
		So(w.pull(f.d).Routes, ShouldBeEmpty)
		f.advance(1)
		So(len(w.pull(f.d).Routes), ShouldEqual, 1)
	})
	Convey("A new leader without reports removes no routes from watchers", t, func() {
		f := newReadyPair()
		w := &watcher{}
		w.pull(f.d)
		f.d = dragonflydirectory.Directory{}
		f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Led, Term: 2})
		So(w.pull(f.d).Complete, ShouldBeFalse)
		So(w.routes, ShouldResemble, map[string]bool{"g1": true})
	})
	Convey("After a restart of all control instances a follower removes no routes from watchers", t, func() {
		f := newReadyPair()
		w := &watcher{}
		w.pull(f.d)
		f.d = dragonflydirectory.Directory{}
		f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Led, Term: 2})
		s := f.add("s", "za", "d")
		s.report.Announcement.Kind, s.report.Announcement.State = dragonflyannouncement.Service, dragonflyannouncement.Ready
		f.advance(1)
		var follower dragonflydirectory.Directory
		pull := func() {
			watch := dragonflywatch.Watch{Term: follower.Table(dragonflywatch.Watch{}).Term, Revision: follower.Table(dragonflywatch.Watch{}).Revision}
			follower, _ = follower.Step(f.now, dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Pulled, Table: f.d.Table(watch)})
		}
		pull()
		So(len(follower.Routes()), ShouldEqual, 1)
		So(w.pull(follower).Complete, ShouldBeFalse)
		So(w.routes, ShouldResemble, map[string]bool{"g1": true})
		f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Groups, Index: f.index, Groups: f.groups})
		f.advance(6)
		pull()
		So(w.pull(follower).Complete, ShouldBeTrue)
		So(w.routes, ShouldResemble, map[string]bool{"g1": true, "is": true})
	})
	Convey("A new leader keeps the routes of the previous leader until it has collected reports", t, func() {
		f := newReadyPair()
		pulled := f.d.Table(dragonflywatch.Watch{})
		f.d = dragonflydirectory.Directory{}
		f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Pulled, Table: pulled})
		f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Groups, Index: f.index, Groups: f.groups})
		f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Led, Term: 2})
		assertReady(f, []string{"d.0", "d.1"})
		f.agents["d.0"].dead, f.agents["d.1"].dead = true, true
		f.advance(4)
		assertReady(f, []string{"d.0", "d.1"})
		f.advance(1)
		assertReady(f)
	})
	Convey("A follower forwards the table of the leader with the term and revision of the leader", t, func() {
		f := newPairWithService()
		var follower dragonflydirectory.Directory
		follower, _ = follower.Step(f.now, dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Pulled, Table: f.d.Table(dragonflywatch.Watch{})})
		w := &watcher{}
		w.pull(follower)
		w.assertSame(f.d)
		f.agents["s"].dead = true
		f.advance(7)
		ahead := *w
		So(ahead.pull(f.d).Complete, ShouldBeFalse)
		So(ahead.pull(follower).Complete, ShouldBeFalse) // The follower is behind.
		ahead.assertSame(f.d)
		follower, _ = follower.Step(f.now, dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Pulled, Table: f.d.Table(w.watch)})
		w.pull(follower)
		w.assertSame(f.d)
	})
}
