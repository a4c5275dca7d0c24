package dragonflycluster_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/commands/dragonflycluster"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"dragonflyrelay.example/library/values/dragonflysnapshot"
	"dragonflyrelay.example/library/values/dragonflywithdrawal"
	. "github.com/smartystreets/goconvey/convey"
)

func withdrawMembers(id string, f dragonflywithdrawal.Withdrawal) dragonflychange.Change {
	return dragonflychange.Change{ID: id, Kind: dragonflychange.WithdrawMembers, Withdrawal: f}
}

// TestWithdrawals guards against withdrawals of groups that a later leader does not know.
func TestWithdrawals(t *testing.T) {
	withdrawal := dragonflywithdrawal.Withdrawal{Group: "g1", Epoch: 7, Engines: []string{"e1", "e2"}}
	Convey("Given a recorded withdrawal", t, func() {
		raw, err := dragonflycodec.MarshalChange(withdrawMembers("f1", withdrawal))
		So(err, ShouldBeNil)
		ch, err := dragonflycodec.UnmarshalChange(raw)
		So(err, ShouldBeNil)
		c, r := dragonflycluster.Cluster{}.Apply(ch)
		So(r.Outcome, ShouldEqual, dragonflyresult.Accepted)

		Convey("it survives a snapshot", func() {
			raw, err := dragonflycodec.MarshalSnapshot(dragonflysnapshot.Snapshot{Index: 1, State: c.State()})
			So(err, ShouldBeNil)
			snap, err := dragonflycodec.UnmarshalSnapshot(raw)
			So(err, ShouldBeNil)
			So(dragonflycluster.FromState(snap.State).Withdrawals(), ShouldResemble, []dragonflywithdrawal.Withdrawal{withdrawal})
		})
		Convey("a repeat has no effect", func() {
			c, _ = c.Apply(ch)
			So(c.Withdrawals(), ShouldHaveLength, 1)
		})
		Convey("the oldest one makes room", func() {
			for i := range dragonflycluster.MaxWithdrawals {
				c, _ = c.Apply(withdrawMembers(fmt.Sprint("n", i), dragonflywithdrawal.Withdrawal{Group: fmt.Sprint("n", i), Engines: []string{"e"}}))
			}
			So(c.Withdrawals(), ShouldHaveLength, dragonflycluster.MaxWithdrawals)
			So(c.Withdrawals()[0].Group, ShouldEqual, "n0")
		})
	})
	for what, f := range map[string]dragonflywithdrawal.Withdrawal{
		"group": {Engines: []string{"e1"}}, "engines": {Group: "g1"},
	} {
		Convey("A withdrawal without "+what+" is invalid", t, func() {
			c, r := dragonflycluster.Cluster{}.Apply(withdrawMembers("f1", f))
			So(r.Outcome, ShouldEqual, dragonflyresult.Invalid)
			So(c.Withdrawals(), ShouldBeEmpty)
		})
	}
}
