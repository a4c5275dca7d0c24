package dragonflyformationplan_test

import (
	"testing"

	"dragonflyrelay.example/library/values/dragonflymodelprofile"
	. "github.com/smartystreets/goconvey/convey"
)

// TestFewestGroups guards against a further group of a model that is served in place of one
// of a model without groups.
func TestFewestGroups(t *testing.T) {
	next := func(large, small int) string {
		v := newView(engines("a", "large", 4))
		for i := range v.Free {
			v.Free[i].Staged = []string{"large", "small"}
		}
		v.Groups = map[string]int{"large": large, "small": small}
		m, _, _ := v.Next()
		return m.Name
	}
	Convey("Free engines form a group of the model that has fewer than two", t, func() {
		So(next(2, 0), ShouldEqual, "small")
		So(next(2, 1), ShouldEqual, "small")
		So(next(1, 0), ShouldEqual, "small")
		So(next(0, 2), ShouldEqual, "large")
	})
	Convey("Otherwise that with the larger share of the work for a group goes first", t, func() {
		So(next(0, 0), ShouldEqual, "large")
		So(next(1, 1), ShouldEqual, "large")
		So(next(2, 2), ShouldEqual, "large")
	})
	Convey("No group is ended whose engines would form a group of its model again", t, func() {
		tiny := dragonflymodelprofile.ModelProfile{Name: "small", Size: 3, Share: 0.1, Pace: 0.6}
		grouped := engines("a", "large", 3)
		for i := range grouped {
			grouped[i].Model, grouped[i].Group.Name = "small", "s"
		}
		v := newView(engines("a", "large", 1))
		v.Models[1], v.Grouped = tiny, append(v.Grouped, grouped...)
		ended := func(large, small int) bool {
			v.Groups = map[string]int{"large": large, "small": small}
			_, _, ok := v.Preempt()
			return ok
		}
		So(ended(0, 2), ShouldBeTrue)
		So(ended(1, 2), ShouldBeTrue)
		So(ended(2, 3), ShouldBeTrue)
		So(ended(2, 2), ShouldBeFalse)
	})
}
