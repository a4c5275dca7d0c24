package dragonflycodec_test

import (
	"testing"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	. "github.com/smartystreets/goconvey/convey"
)

// TestEndpoints guards against fields of the routing table that entries don't receive.
func TestEndpoints(t *testing.T) {
	Convey("Endpoints keep all fields", t, func() {
		all := []dragonflyendpoint.Endpoint{{
			ID: "a", Boot: 1, Address: "h:1", Service: "s", Model: "m", Zone: "z", Group: "g", Epoch: 2, Slots: 3,
			ColdLeft: dragonflyduration.Second, Leaving: true,
		}, {ID: "b", Silent: true}, {ID: "c", Unreported: true}}
		raw, err := dragonflycodec.MarshalFollowResponse(dragonflyfollowresponse.Response{HasTable: true, Endpoints: all})
		So(err, ShouldBeNil)
		n, err := dragonflycodec.UnmarshalFollowResponse(raw)
		So(err, ShouldBeNil)
		So(n.Endpoints, ShouldResemble, all)
	})
}
