package dragonflycodec_test

import (
	"testing"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	"dragonflyrelay.example/library/values/dragonflymodeladmission"
	"dragonflyrelay.example/library/values/dragonflymodeldemand"
	"dragonflyrelay.example/library/values/dragonflymodelreturn"
	. "github.com/smartystreets/goconvey/convey"
)

// TestModelMessages guards against fields of demands, returns and admissions that get lost
// between entries and control.
func TestModelMessages(t *testing.T) {
	Convey("Demands are unchanged after encoding and decoding", t, func() {
		assertRoundTrip(dragonflyfollowrequest.Request{Process: "e1", Demands: []dragonflymodeldemand.Demand{
			{Service: "s", Model: "m", Rank: 2, Work: 1400.5, Refused: 12, Delay: 0.7}, {Service: "s", Model: "n"},
		}}, dragonflycodec.MarshalFollowRequest, dragonflycodec.UnmarshalFollowRequest)
	})
	Convey("Returns and admissions are unchanged after encoding and decoding", t, func() {
		assertRoundTrip(dragonflyfollowresponse.Response{
			Leads:      true,
			Returns:    []dragonflymodelreturn.Return{{Service: "s", Model: "m", In: 1900 * dragonflyduration.Millisecond}},
			Admissions: []dragonflymodeladmission.Admission{{Service: "s", Model: "m", Rank: 1, Fraction: 0.25}},
		}, dragonflycodec.MarshalFollowResponse, dragonflycodec.UnmarshalFollowResponse)
	})
}
