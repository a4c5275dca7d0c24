package dragonflycodec_test

import (
	"testing"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/values/dragonflyendpointlimit"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	. "github.com/smartystreets/goconvey/convey"
)

func TestLimitMessages(t *testing.T) {
	limits := []dragonflyendpointlimit.Limit{{ID: "i-1", Boot: 3, Limited: true, Rate: 6.8, Age: 5}, {ID: "i-2", Boot: 4}}
	Convey("Limits of upstreams are unchanged after encoding and decoding", t, func() {
		assertRoundTrip(dragonflyfollowrequest.Request{Process: "e1", Limits: limits, LimitsRevision: 3},
			dragonflycodec.MarshalFollowRequest, dragonflycodec.UnmarshalFollowRequest)
		assertRoundTrip(dragonflyfollowresponse.Response{Leads: true, LimitsRevision: 3, HasLimits: true, Limits: limits},
			dragonflycodec.MarshalFollowResponse, dragonflycodec.UnmarshalFollowResponse)
	})
}
