package dragonflyconfigdiff_test

import (
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/queries/dragonflychangepreview"
	"dragonflyrelay.example/library/queries/dragonflyconfigdiff"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyclass"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflyservice"
	"dragonflyrelay.example/library/values/dragonflyworkspace"
	"dragonflyrelay.example/library/values/dragonflyzone"
	. "github.com/smartystreets/goconvey/convey"
)

// assertDiff checks the lines that a dry run of the change prints.
func assertDiff(c dragonflyconfig.Config, ch dragonflychange.Change, want ...string) {
	So(dragonflyconfigdiff.Lines(c, dragonflychangepreview.Apply(c, ch)), ShouldResemble, want)
}

func TestLines(t *testing.T) {
	class := dragonflyclass.Class{}.WithName("live").WithPriority(1).WithAnswered(995).WithGap(25 * dragonflyduration.Millisecond)
	workspace := dragonflyworkspace.Workspace{}.WithName("puebla").WithKeyHash("0123456789abcdef").WithClass("live")
	service := dragonflyservice.Service{}.WithName("orders").WithIdempotentMethods([]string{"GET"})
	c := dragonflyconfig.Config{}.WithVersion(4).WithClass(class).WithWorkspace(workspace).WithService(service).WithGroupSize(8)

	Convey("New, changed and removed items have different markers", t, func() {
		assertDiff(c, dragonflychange.Change{Kind: dragonflychange.SetClass, Class: class.WithName("bulk").WithCrossDomain(true)},
			"+ class bulk: priority 1, answered 99.5%, first-token none, gap 25ms, complete none, deadline none, cross-domain true")
		assertDiff(c, dragonflychange.Change{Kind: dragonflychange.SetClass, Class: class.WithPriority(2).WithDeadline(90 * dragonflyduration.Second)},
			"~ class live: priority 1 -> 2, deadline none -> 90s")
		assertDiff(c, dragonflychange.Change{Kind: dragonflychange.RemoveService, Service: service},
			"- service orders: idempotent-methods GET, timeout none")
	})
	Convey("Every kind of change is listed", t, func() {
		assertDiff(c, dragonflychange.Change{Kind: dragonflychange.RemoveClass, Class: class},
			"- class live: priority 1, answered 99.5%, first-token none, gap 25ms, complete none, deadline none, cross-domain false")
		assertDiff(c, dragonflychange.Change{Kind: dragonflychange.SetWorkspace, Workspace: workspace.WithMaxInFlight(3)},
			"~ workspace puebla: max-in-flight 0 -> 3")
		assertDiff(c, dragonflychange.Change{Kind: dragonflychange.RemoveWorkspace, Workspace: workspace},
			"- workspace puebla: class live, key-hash 01234567, max-in-flight 0")
		assertDiff(c, dragonflychange.Change{Kind: dragonflychange.SetService, Service: service.WithTimeout(2 * dragonflyduration.Minute)},
			"~ service orders: timeout none -> 2m")
		assertDiff(c, dragonflychange.Change{Kind: dragonflychange.SetZone, Zone: dragonflyzone.Zone{}.WithName("za").WithNotice(dragonflyduration.Minute)},
			"+ zone za: state to be taken out, notice 1m")
		assertDiff(c, dragonflychange.Change{Kind: dragonflychange.SetGroupSize, GroupSize: 4}, "~ group-size: 8 -> 4")
	})
	Convey("A change without effect lists nothing", t, func() {
		So(dragonflyconfigdiff.Lines(c, dragonflychangepreview.Apply(c, dragonflychange.Change{Kind: dragonflychange.SetClass, Class: class})), ShouldBeEmpty)
	})
}
