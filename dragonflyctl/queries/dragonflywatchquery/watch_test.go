package dragonflywatchquery

import (
	"testing"

	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflyroute"
	"dragonflyrelay.example/library/values/dragonflystatus"
	. "github.com/smartystreets/goconvey/convey"
)

// assertChanges guards against a watch that misses or repeats a change.
func assertChanges(old, next dragonflystatus.Status, want ...string) {
	So(changes(old, next), ShouldResemble, want)
}

func TestChanges(t *testing.T) {
	ready := dragonflyroute.Route{Key: "g1", Group: 1, Model: "m", Zones: []string{"za"}, Ready: true}
	down := ready
	down.Ready = false
	st := dragonflystatus.Status{Leader: "c1", Term: 1, Routes: []dragonflyroute.Route{ready}}

	Convey("Equal states result in no lines", t, func() { assertChanges(st, st) })
	Convey("A new leader and a new version are reported", t, func() {
		next := st
		next.Leader, next.Term = "", 2
		next.Config = dragonflyconfig.Config{}.WithVersion(1).WithGroupSize(8)
		assertChanges(st, next, "leader c1 -> (none), term 2", "version 0 -> 1", "~ group-size: 1 -> 8")
	})
	Convey("Groups that form, become ready, become unready or disappear are reported", t, func() {
		next, empty := st, st
		next.Routes, empty.Routes = []dragonflyroute.Route{down}, nil
		assertChanges(st, next, "group 1 of m in [za] is not ready any more")
		assertChanges(next, st, "group 1 of m in [za] is ready")
		assertChanges(st, empty, "group 1 of m in [za] is gone")
		assertChanges(empty, next, "group 1 of m in [za] is forming")
	})
}
