package dragonflyreport_test

import (
	"testing"

	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflyload"
	"dragonflyrelay.example/library/values/dragonflyreport"
	. "github.com/smartystreets/goconvey/convey"
)

// TestSameStatus checks that a change of any field that control's decisions
// depend on counts as a change of status, and that a change of the load, which
// differs in every report, does not.
func TestSameStatus(t *testing.T) {
	r := dragonflyreport.Report{Incarnation: 1, Alive: true, Membership: dragonflyreport.Member, Group: 1, Fence: 1, GroupReady: true}
	Convey("Reports that differ only in load and configuration version have the same status", t, func() {
		o := r
		o.Load, o.ConfigVersion = dragonflyload.Load{InFlight: 3}, 7
		So(r.SameStatus(o), ShouldBeTrue)
	})
	Convey("A change of any field that control's decisions depend on changes the status", t, func() {
		for name, change := range map[string]func(o *dragonflyreport.Report){
			"incarnation": func(o *dragonflyreport.Report) { o.Incarnation = 2 },
			"alive":       func(o *dragonflyreport.Report) { o.Alive = false },
			"membership":  func(o *dragonflyreport.Report) { o.Membership = dragonflyreport.Free },
			"group":       func(o *dragonflyreport.Report) { o.Group = 2 },
			"fence":       func(o *dragonflyreport.Report) { o.Fence = 2 },
			"ready":       func(o *dragonflyreport.Report) { o.GroupReady = false },
			"lapsed":      func(o *dragonflyreport.Report) { o.GroupLeaseLapsed = true },
			"lost":        func(o *dragonflyreport.Report) { o.LostMembers = []string{"d.1"} },
			"state":       func(o *dragonflyreport.Report) { o.Announcement.State = dragonflyannouncement.Leaving },
		} {
			o := r
			change(&o)
			So(name+": "+map[bool]string{true: "same", false: "news"}[r.SameStatus(o)], ShouldEqual, name+": news")
		}
	})
}
