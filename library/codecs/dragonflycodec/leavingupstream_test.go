package dragonflycodec_test

import (
	"testing"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyleavingupstream"
	. "github.com/smartystreets/goconvey/convey"
)

// TestLeavingMessages guards against leaving upstreams that get lost between an entry and
// control.
func TestLeavingMessages(t *testing.T) {
	Convey("A request carries the leaving upstreams", t, func() {
		q := dragonflyfollowrequest.Request{Process: "e1", Leaving: []dragonflyleavingupstream.Upstream{{ID: "i-1", Boot: 3, Age: 5}, {ID: "i-2", Boot: 4}}}
		raw, err := dragonflycodec.MarshalFollowRequest(q)
		So(err, ShouldBeNil)
		back, err := dragonflycodec.UnmarshalFollowRequest(raw)
		So(err, ShouldBeNil)
		So(back.Leaving, ShouldResemble, q.Leaving)
	})
}
