package dragonflycodec_test

import (
	"testing"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	. "github.com/smartystreets/goconvey/convey"
)

// TestRefusedEpochs guards against a refused join that control does not receive.
func TestRefusedEpochs(t *testing.T) {
	Convey("A request carries the epochs that an engine holds and has refused", t, func() {
		q := dragonflyfollowrequest.Request{Process: "a1", Reports: []dragonflyobservation.Observation{{
			Address: "10.0.0.9:80", RefusedEpoch: 5,
			Group: dragonflyenginegroup.Group{Name: "g", Epoch: dragonflyenginegroup.MaxEpoch, State: dragonflyenginegroup.Ready},
		}}}
		raw, err := dragonflycodec.MarshalFollowRequest(q)
		So(err, ShouldBeNil)
		back, err := dragonflycodec.UnmarshalFollowRequest(raw)
		So(err, ShouldBeNil)
		So(back.Reports, ShouldResemble, q.Reports)
	})
}
