package dragonflycodec_test

import (
	"testing"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflystatus"
	"dragonflyrelay.example/library/values/dragonflyupstreamcondition"
	"dragonflyrelay.example/library/values/dragonflyupstreampause"
	. "github.com/smartystreets/goconvey/convey"
)

// TestConditionMessages guards against conditions of upstreams that get lost on the way to
// operators.
func TestConditionMessages(t *testing.T) {
	Convey("A request carries the pauses in progress", t, func() {
		q := dragonflyfollowrequest.Request{Pauses: []dragonflyupstreampause.Pause{{ID: "i-1", Boot: 3, Age: 5, Left: 7}}}
		raw, err := dragonflycodec.MarshalFollowRequest(q)
		So(err, ShouldBeNil)
		back, err := dragonflycodec.UnmarshalFollowRequest(raw)
		So(err, ShouldBeNil)
		So(back.Pauses, ShouldResemble, q.Pauses)
	})
	Convey("The status carries the conditions of upstreams", t, func() {
		s := dragonflystatus.Status{Conditions: []dragonflyupstreamcondition.Condition{
			{Kind: dragonflyupstreamcondition.Pausing, Upstream: "i-1", Service: "app", Since: 5, Reason: "answer to e1"},
		}}
		raw, err := dragonflycodec.MarshalStatus(s)
		So(err, ShouldBeNil)
		back, err := dragonflycodec.UnmarshalStatus(raw)
		So(err, ShouldBeNil)
		So(back.Conditions, ShouldResemble, s.Conditions)
	})
}
