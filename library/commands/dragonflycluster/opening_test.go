package dragonflycluster_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/commands/dragonflycluster"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"dragonflyrelay.example/library/values/dragonflysnapshot"
	. "github.com/smartystreets/goconvey/convey"
)

func recordOpenings(id string, names ...string) dragonflychange.Change {
	return dragonflychange.Change{ID: id, Kind: dragonflychange.RecordOpenings, Opened: names}
}

// TestOpenings guards against openings that a later leader does not know, and against state that
// grows with the number of groups ever formed.
func TestOpenings(t *testing.T) {
	Convey("Given two recorded openings", t, func() {
		raw, err := dragonflycodec.MarshalChange(recordOpenings("o1", "g1", "g2"))
		So(err, ShouldBeNil)
		ch, err := dragonflycodec.UnmarshalChange(raw)
		So(err, ShouldBeNil)
		c, r := dragonflycluster.Cluster{}.Apply(ch)
		So(r.Outcome, ShouldEqual, dragonflyresult.Accepted)

		Convey("they survive a snapshot", func() {
			raw, err := dragonflycodec.MarshalSnapshot(dragonflysnapshot.Snapshot{Index: 1, State: c.State()})
			So(err, ShouldBeNil)
			snap, err := dragonflycodec.UnmarshalSnapshot(raw)
			So(err, ShouldBeNil)
			So(dragonflycluster.FromState(snap.State).Opened(), ShouldResemble, []string{"g1", "g2"})
		})
		Convey("a repeat has no effect", func() {
			c, _ = c.Apply(ch)
			So(c.Opened(), ShouldHaveLength, 2)
		})
		Convey("the oldest ones make room", func() {
			for i := range dragonflycluster.MaxOpened - 1 {
				c, _ = c.Apply(recordOpenings(fmt.Sprint("n", i), fmt.Sprint("n", i)))
			}
			So(c.Opened(), ShouldHaveLength, dragonflycluster.MaxOpened)
			So(c.Opened()[0], ShouldEqual, "g2")
		})
	})
	for what, names := range map[string][]string{
		"groups": nil, "the name of a group": {"g1", ""},
	} {
		Convey("A change without "+what+" is invalid", t, func() {
			c, r := dragonflycluster.Cluster{}.Apply(recordOpenings("o1", names...))
			So(r.Outcome, ShouldEqual, dragonflyresult.Invalid)
			So(c.Opened(), ShouldBeEmpty)
		})
	}
}
