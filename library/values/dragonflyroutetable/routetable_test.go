package dragonflyroutetable_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/values/dragonflyroute"
	"dragonflyrelay.example/library/values/dragonflyroutetable"
	"dragonflyrelay.example/library/values/dragonflytable"
	"dragonflyrelay.example/library/values/dragonflywatch"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

type table = dragonflyroutetable.RouteTable

// watcher applies answers to a plain map and tracks the term and revision.
type watcher struct {
	watch  dragonflywatch.Watch
	routes map[string]dragonflyroute.Route
}

func (w *watcher) apply(t dragonflytable.Table) {
	if t.Complete {
		w.routes = map[string]dragonflyroute.Route{}
	}
	for _, r := range t.Routes {
		w.routes[r.Key] = r
	}
	for _, k := range t.Removed {
		delete(w.routes, k)
	}
	w.watch.Term, w.watch.Revision = t.Term, t.Revision
}

// change makes a random change to the table and to naive, its reference.
func change(t *rapid.T, tab table, naive map[string]dragonflyroute.Route) table {
	key := fmt.Sprint("g", rapid.IntRange(0, 6).Draw(t, "key"))
	switch rapid.IntRange(0, 9).Draw(t, "change") {
	case 0:
		return tab.WithTerm(tab.Term() + 1)
	case 1, 2, 3:
		delete(naive, key)
		return tab.WithoutRoute(key)
	default:
		r := dragonflyroute.Route{Key: key, Fence: rapid.Uint64Range(1, 9).Draw(t, "fence")}
		naive[key] = r
		return tab.WithRoute(r)
	}
}

func TestRouteTable(t *testing.T) {
	Convey("Watchers of a leader and of its follower see the same routes as a plain map", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			naive := map[string]dragonflyroute.Route{}
			leader, follower := table{}.WithTerm(1), table{}
			ws := []*watcher{{}, {}, {}}
			for range rapid.IntRange(1, 60).Draw(t, "changes") {
				leader = change(t, leader, naive)
				switch i := rapid.IntRange(0, 5).Draw(t, "watcher"); i {
				case 0, 1:
					ws[i].apply(leader.Delta(ws[i].watch))
					if fmt.Sprint(ws[i].routes) != fmt.Sprint(naive) {
						t.Fatalf("watcher has %v, want %v", ws[i].routes, naive)
					}
				case 2:
					follower = follower.WithPulled(leader.Delta(dragonflywatch.Watch{Term: follower.Term(), Revision: follower.Revision()}))
					ws[2].apply(follower.Delta(ws[2].watch))
					if fmt.Sprint(ws[2].routes) != fmt.Sprint(naive) {
						t.Fatalf("watcher of the follower has %v, want %v", ws[2].routes, naive)
					}
				}
			}
		})
	})
	Convey("A watcher that has missed more removals than are kept gets the complete table", t, func() {
		tab := table{}.WithTerm(1).WithRoute(dragonflyroute.Route{Key: "stays"})
		w := dragonflywatch.Watch{Term: 1, Revision: tab.Revision()}
		for i := range dragonflyroutetable.MaxTombstones + 1 {
			key := fmt.Sprint("g", i)
			tab = tab.WithRoute(dragonflyroute.Route{Key: key}).WithoutRoute(key)
		}
		So(tab.Delta(w).Complete, ShouldBeTrue)
		w.Revision = tab.Revision() - 2
		So(tab.Delta(w).Complete, ShouldBeFalse)
	})
}

func newLarge() (tab table) {
	tab = tab.WithTerm(1)
	for i := range 450 {
		tab = tab.WithRoute(route(i, 0))
	}
	return tab
}

func route(i int, fence uint64) dragonflyroute.Route {
	id := fmt.Sprintf("instance-%04d", i)
	return dragonflyroute.Route{
		Key: fmt.Sprint("g", i), Group: uint64(i), Fence: fence, Model: "model-70b", Instance: id, Address: "10.200.100.100:7000",
		Region: "region-1", Zone: "region-1-zone-1", Zones: []string{"region-1-zone-1"}, Ready: true,
	}
}

func BenchmarkWithRoute(b *testing.B) {
	tab := newLarge()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		tab = tab.WithRoute(route(i%450, uint64(i)))
	}
}

// BenchmarkDelta reports the encoded size of an answer with ten changed routes and
// of a complete one with 450 groups.
func BenchmarkDelta(b *testing.B) {
	tab := newLarge()
	size := func(w dragonflywatch.Watch) float64 {
		raw, err := dragonflycodec.MarshalTable(tab.Delta(w))
		if err != nil {
			b.Fatal(err)
		}
		return float64(len(raw))
	}
	w := dragonflywatch.Watch{Term: 1, Revision: tab.Revision() - 10}
	b.ReportAllocs()
	for b.Loop() {
		tab.Delta(w)
	}
	b.ReportMetric(size(w), "B/delta-of-10")
	b.ReportMetric(size(dragonflywatch.Watch{}), "B/complete")
}
