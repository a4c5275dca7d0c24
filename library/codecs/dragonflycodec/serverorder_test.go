package dragonflycodec_test

import (
	"testing"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
	. "github.com/smartystreets/goconvey/convey"
)

// TestServerOrders guards against orders that an agent takes for those of an earlier version of
// control, which names no number of accepted orders.
func TestServerOrders(t *testing.T) {
	Convey("Orders keep the number of accepted orders, and whether there is one", t, func() {
		join := dragonflyserverorder.Order{Kind: dragonflyserverorder.Join, Group: "g", Epoch: 5, Model: "m", Members: []string{"a"}, Fence: 2}
		none, first, later := join, join, join
		first.HasExpected = true
		later.HasExpected, later.Expected = true, 3
		for _, o := range []dragonflyserverorder.Order{none, first, later} {
			raw, err := dragonflycodec.MarshalFollowResponse(dragonflyfollowresponse.Response{Order: o})
			So(err, ShouldBeNil)
			n, err := dragonflycodec.UnmarshalFollowResponse(raw)
			So(err, ShouldBeNil)
			So(n.Order, ShouldResemble, o)
		}
	})
}
