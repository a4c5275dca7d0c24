package dragonflyloadorder_test

import (
	"fmt"
	"slices"
	"testing"

	"dragonflyrelay.example/library/queries/dragonflyloadorder"
	"dragonflyrelay.example/library/values/dragonflycandidate"
	"dragonflyrelay.example/library/values/dragonflyclass"
	"dragonflyrelay.example/library/values/dragonflyformation"
	"dragonflyrelay.example/library/values/dragonflyload"
	"dragonflyrelay.example/library/values/dragonflyloadview"
	"dragonflyrelay.example/library/values/dragonflyplacedgroup"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

type formation = dragonflyformation.Formation

// referenceKey computes the rank of f from the view and the groups that have started.
func referenceKey(v dragonflyloadview.View, started []formation, f formation) [4]int {
	existing, inUse, limit, inZone := 0, 0, 0, 0
	for _, g := range v.Groups {
		if g.Model != f.Model {
			continue
		}
		existing++
		if g.Ready {
			inUse += g.Load.InFlight + g.Load.Queued
			limit += g.Load.Limit
		}
		if r, z := g.Zone(); r == f.Region && z == f.Zone {
			inZone++
		}
	}
	for _, s := range started {
		if s.Model == f.Model {
			existing++
			if s.Region == f.Region && s.Zone == f.Zone {
				inZone++
			}
		}
	}
	need := 2
	if limit > 0 && float64(inUse) >= 0.8*float64(limit) {
		need = 1
	}
	if existing == 0 {
		need = 0
	}
	if f.Zone == "" {
		inZone = 1 << 30
	}
	priority := 1 << 30
	for _, c := range v.Classes {
		if c.CrossDomain() || !f.CrossDomain {
			priority = min(priority, c.Priority())
		}
	}
	return [4]int{need, priority, f.Loads, inZone}
}

// referenceNext sorts the waiting groups again after every start. Equal ones keep the
// order of the view.
func referenceNext(v dragonflyloadview.View) (next []formation) {
	waiting := slices.Clone(v.Waiting)
	for len(next) < v.MaxNewLoads && len(waiting) > 0 {
		indexes := make([]int, len(waiting))
		for i := range indexes {
			indexes[i] = i
		}
		slices.SortStableFunc(indexes, func(a, b int) int {
			ka, kb := referenceKey(v, next, waiting[a]), referenceKey(v, next, waiting[b])
			return slices.Compare(ka[:], kb[:])
		})
		first := indexes[0]
		next = append(next, waiting[first])
		waiting = slices.Delete(waiting, first, first+1)
	}
	return next
}

func drawView(t *rapid.T) dragonflyloadview.View {
	model := rapid.SampledFrom([]string{"m", "n", "o"})
	zone := rapid.SampledFrom([]string{"za", "zb", "zc"})
	v := dragonflyloadview.View{MaxNewLoads: rapid.IntRange(0, 8).Draw(t, "room")}
	for range rapid.IntRange(0, 12).Draw(t, "waiting") {
		f := formation{Model: model.Draw(t, "model"), Region: "r", Zone: zone.Draw(t, "zone"), Loads: rapid.IntRange(1, 3).Draw(t, "loads")}
		if f.CrossDomain = rapid.Bool().Draw(t, "cross"); f.CrossDomain && rapid.Bool().Draw(t, "zones") {
			f.Zone = ""
		}
		v.Waiting = append(v.Waiting, f)
	}
	for i := range rapid.IntRange(0, 8).Draw(t, "groups") {
		v.Groups = append(v.Groups, dragonflyplacedgroup.Group{
			ID: uint64(i), Model: model.Draw(t, "model"), Ready: rapid.Bool().Draw(t, "ready"),
			Members: []dragonflycandidate.Candidate{{Region: "r", Zone: zone.Draw(t, "zone")}},
			Load:    dragonflyload.Load{InFlight: rapid.IntRange(0, 10).Draw(t, "busy"), Limit: rapid.IntRange(0, 10).Draw(t, "limit")},
		})
	}
	for range rapid.IntRange(0, 3).Draw(t, "classes") {
		v.Classes = append(v.Classes, dragonflyclass.Class{}.WithPriority(rapid.IntRange(0, 3).Draw(t, "priority")).WithCrossDomain(rapid.Bool().Draw(t, "allows")))
	}
	return v
}

// assertFirst checks which group loads first.
func assertFirst(v dragonflyloadview.View, want formation) {
	v.MaxNewLoads = 1
	So(dragonflyloadorder.Next(v), ShouldResemble, []formation{want})
}

func TestNext(t *testing.T) {
	Convey("The order agrees with a reference that sorts again after every start, for random views", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			v := drawView(t)
			if got, want := fmt.Sprint(dragonflyloadorder.Next(v)), fmt.Sprint(referenceNext(v)); got != want {
				t.Fatalf("got %s, want %s", got, want)
			}
		})
	})
	Convey("A group of a model that no group serves loads before a group of another model", t, func() {
		a, b := formation{Model: "m", Zone: "za", Loads: 1}, formation{Model: "n", Zone: "za", Loads: 8}
		assertFirst(dragonflyloadview.View{Waiting: []formation{a, b}, Groups: []dragonflyplacedgroup.Group{{Model: "m"}}}, b)
	})
	Convey("Groups of a model load in different zones in turn", t, func() {
		za, zb := formation{Model: "m", Zone: "za", Loads: 8}, formation{Model: "m", Zone: "zb", Loads: 8}
		next := dragonflyloadorder.Next(dragonflyloadview.View{Waiting: []formation{za, za, za, zb, zb}, MaxNewLoads: 4})
		So(next, ShouldResemble, []formation{za, zb, za, zb})
	})
	Convey("A group over several domains loads later if the most important class does not allow it", t, func() {
		wide, narrow := formation{Model: "m", CrossDomain: true, Zone: "za", Loads: 1}, formation{Model: "m", Zone: "za", Loads: 8}
		strict, lax := dragonflyclass.Class{}, dragonflyclass.Class{}.WithPriority(1).WithCrossDomain(true)
		assertFirst(dragonflyloadview.View{Waiting: []formation{wide, narrow}, Classes: []dragonflyclass.Class{strict, lax}}, narrow)
		assertFirst(dragonflyloadview.View{Waiting: []formation{wide, narrow}, Classes: []dragonflyclass.Class{lax}}, wide)
	})
}
