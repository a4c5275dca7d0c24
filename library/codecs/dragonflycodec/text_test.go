package dragonflycodec_test

import (
	"testing"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	. "github.com/smartystreets/goconvey/convey"
)

// TestInvalidText guards against processes that stop following, or cannot read their log,
// because of one name that is not UTF-8.
func TestInvalidText(t *testing.T) {
	const name = "i-\xff\xfe"
	Convey("A routing table is read whatever the ids hold", t, func() {
		want := dragonflyfollowresponse.Response{HasTable: true, Endpoints: []dragonflyendpoint.Endpoint{{ID: name}, {ID: "i-1"}}}
		raw, err := dragonflycodec.MarshalFollowResponse(want)
		So(err, ShouldBeNil)
		got, err := dragonflycodec.UnmarshalFollowResponse(raw)
		So(err, ShouldBeNil)
		So(got.Endpoints, ShouldResemble, want.Endpoints)
	})
	Convey("A change in the log is read whatever its zone is named", t, func() {
		want := dragonflychange.Change{Kind: dragonflychange.TakeOutZone, ID: "c", ZoneName: name}
		raw, err := dragonflycodec.MarshalChange(want)
		So(err, ShouldBeNil)
		got, err := dragonflycodec.UnmarshalChange(raw)
		So(err, ShouldBeNil)
		So(got.ZoneName, ShouldEqual, name)
	})
}
