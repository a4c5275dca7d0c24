package dragonflycodec_test

import (
	"testing"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyclusterstate"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflyconsensusmessage"
	"dragonflyrelay.example/library/values/dragonflygroup"
	"dragonflyrelay.example/library/values/dragonflyhistory"
	"dragonflyrelay.example/library/values/dragonflylogentry"
	"dragonflyrelay.example/library/values/dragonflylogrecord"
	"dragonflyrelay.example/library/values/dragonflymember"
	"dragonflyrelay.example/library/values/dragonflyrelay"
	"dragonflyrelay.example/library/values/dragonflyreport"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"dragonflyrelay.example/library/values/dragonflysnapshot"
	"dragonflyrelay.example/library/values/dragonflystoredclaim"
	"dragonflyrelay.example/library/values/dragonflystoredresult"
	"dragonflyrelay.example/library/values/dragonflywatch"
	. "github.com/smartystreets/goconvey/convey"
)

func TestControlMessages(t *testing.T) {
	entries := []dragonflylogentry.Entry{{Index: 7, Term: 3, Change: dragonflychange.Change{
		ID: "c1", Kind: dragonflychange.Complete, ClaimKey: "k", Owner: "r1", Outcome: "done", Status: 201, Body: []byte("ok"),
	}}}
	snap := dragonflysnapshot.Snapshot{Index: 6, Term: 2, State: dragonflyclusterstate.State{
		Config: dragonflyconfig.Config{}.WithGroupSize(8).WithVersion(4), LastGroup: 5, LastFence: 9,
		Groups:        []dragonflygroup.Group{{ID: 5, Fence: 9, Model: "m", Members: []dragonflymember.Member{{Instance: "i1"}}}},
		Claims:        []dragonflystoredclaim.Claim{{Key: "k", Fingerprint: "f", Owner: "r", At: 8, Outcome: "done", Status: 200, Headers: [][2]string{{"a", "b"}}, Body: []byte("x")}},
		StoredResults: []dragonflystoredresult.StoredResult{{ID: "c0", Claim: "k", Result: dragonflyresult.Result{Outcome: dragonflyresult.ClaimStored, Version: 4}}},
		History:       []dragonflyhistory.Entry{{Version: 4, ChangeID: "c0", Operator: "ana", At: 7, Summary: "set"}},
	}}

	Convey("Records, snapshots and messages of control instances are unchanged after encoding and decoding", t, func() {
		assertRoundTrip(dragonflylogrecord.Record{Term: 3, Vote: "a", Entries: entries}, dragonflycodec.MarshalRecord, dragonflycodec.UnmarshalRecord)
		assertRoundTrip(snap, dragonflycodec.MarshalSnapshot, dragonflycodec.UnmarshalSnapshot)
		message := dragonflyconsensusmessage.Message{
			Kind: dragonflyconsensusmessage.Install, From: "a", To: "b", Zone: "z", Term: 3, Index: 6, LogTerm: 2, Granted: true,
			Commit: 5, SentAt: 99, Entries: entries, Snapshot: snap,
		}
		assertRoundTrip(message, dragonflycodec.MarshalMessage, dragonflycodec.UnmarshalMessage)
		assertRoundTrip([]dragonflyconsensusmessage.Message{message, message}, dragonflycodec.MarshalMessages, dragonflycodec.UnmarshalMessages)
		assertRoundTrip(dragonflyrelay.Relay{
			From: "a", Reports: []dragonflyreport.Report{{Incarnation: 2, Sequence: 9, Alive: true}}, Watch: dragonflywatch.Watch{Entry: "a", Term: 3, Revision: 8},
		}, dragonflycodec.MarshalRelay, dragonflycodec.UnmarshalRelay)
	})
}

func FuzzUnmarshalMessages(f *testing.F) {
	f.Add([]byte{0x81, 0xa1, 0x01, 0x05})
	f.Fuzz(func(t *testing.T, raw []byte) {
		ms, err := dragonflycodec.UnmarshalMessages(raw)
		if err != nil {
			return
		}
		if _, err := dragonflycodec.MarshalMessages(ms); err != nil {
			t.Fatal(err)
		}
	})
}
