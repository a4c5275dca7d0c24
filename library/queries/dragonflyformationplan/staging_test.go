package dragonflyformationplan_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestStage guards against loads that do not complete a missing group.
func TestStage(t *testing.T) {
	Convey("The weights of a missing group are loaded onto an engine without weights first", t, func() {
		v := newView(engines("a", "large", 3), engines("a", "small", 1), engines("a", "", 1))
		v.Groups["small"] = 3
		So(v.Stage(), ShouldResemble, map[string]string{"a--0": "large"})
	})
	Convey("A spare of a model at its target loads the weights of a model below its target", t, func() {
		v := newView(engines("a", "large", 3), engines("a", "small", 1))
		v.Groups["small"] = 3
		So(v.Stage(), ShouldResemble, map[string]string{"a-small-0": "large"})
	})
	Convey("A spare of a model below its target loads no other weights", t, func() {
		v := newView(engines("a", "large", 3), engines("a", "small", 1))
		So(v.Stage(), ShouldBeEmpty)
	})
	Convey("A missing group that needs more loads than may begin gets those, and nothing else is loaded", t, func() {
		idle, member := engines("a", "small", 4), engines("b", "large", 1)
		v := newView(idle, engines("c", "", 1))
		v.Groups["large"], v.Groups["small"], v.Grouped = 2, 3, append(v.Grouped, member...)
		v.Warm = map[string]string{}
		for _, o := range append(idle, member...) {
			v.Warm[o.ID] = o.Staged[0]
		}
		for loads := range 4 {
			v.Loads = loads
			orders := v.Stage()
			So(orders, ShouldHaveLength, loads)
			for id, model := range orders {
				So(id, ShouldStartWith, "a-small-")
				So(model, ShouldEqual, "large")
			}
		}
	})
	Convey("No more loads are ordered than may begin", t, func() {
		v := newView(engines("a", "", 9))
		v.Loads = 2
		So(len(v.Stage()), ShouldBeLessThanOrEqualTo, 2)
	})
}
