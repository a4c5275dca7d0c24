package dragonflycodec_test

import (
	"testing"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	"dragonflyrelay.example/library/values/dragonflyloss"
	"dragonflyrelay.example/library/values/dragonflypromptpart"
	"dragonflyrelay.example/library/values/dragonflyquarantinedpart"
	"dragonflyrelay.example/library/values/dragonflyquarantinerecord"
	. "github.com/smartystreets/goconvey/convey"
)

func TestQuarantineMessages(t *testing.T) {
	parts := []dragonflypromptpart.Part{{ID: "a1", Depth: 1, Served: true, ServedAge: 5}, {ID: "b", Wanted: true, SentAge: 3}}
	quarantine := []dragonflyquarantinedpart.Part{{ID: "a1", Since: 4, ProbeIn: -3, Interval: 9, Grant: 7, GrantLeft: 2, Crashes: 6, LateCrashes: 1, FailedProbes: 2, LimitAge: 8, LatestAge: 5, Exhausted: true}}
	Convey("Reports on prompt parts and the quarantine are unchanged after encoding and decoding", t, func() {
		assertRoundTrip(dragonflyfollowrequest.Request{
			Process: "e1", Role: dragonflyfollowrequest.Entry, Parts: parts, Quarantine: quarantine, QuarantineRevision: 3,
			Losses: []dragonflyloss.Loss{{ID: "i-1", Boot: 8, Age: 6, Refused: true, Parts: parts}},
		}, dragonflycodec.MarshalFollowRequest, dragonflycodec.UnmarshalFollowRequest)
		assertRoundTrip(dragonflyfollowresponse.Response{Leads: true, QuarantineRevision: 3, HasQuarantine: true, Quarantine: quarantine, HasWatched: true, Watched: []string{"a1"}},
			dragonflycodec.MarshalFollowResponse, dragonflycodec.UnmarshalFollowResponse)
	})
	Convey("The recorded quarantine and a release are unchanged after encoding and decoding", t, func() {
		r := dragonflyquarantinerecord.Record{
			Term: 2, Version: 3, Parts: quarantine, Losses: []dragonflyloss.Loss{{ID: "i-1", Boot: 8, Age: 6, Refused: true, Parts: parts}},
			Released: []string{"c"}, Releases: 70,
		}
		for _, ch := range []dragonflychange.Change{
			{ID: "q-1", Kind: dragonflychange.RecordQuarantine, Quarantine: r}, {ID: "q-2", Kind: dragonflychange.ReleaseKey, Key: "a1"},
		} {
			assertRoundTrip(ch, dragonflycodec.MarshalChange, dragonflycodec.UnmarshalChange)
		}
	})
}
