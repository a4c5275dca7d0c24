package dragonflycodec_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyclass"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflyframe"
	"dragonflyrelay.example/library/values/dragonflygrouporder"
	"dragonflyrelay.example/library/values/dragonflyheartbeat"
	"dragonflyrelay.example/library/values/dragonflyheartbeatack"
	"dragonflyrelay.example/library/values/dragonflymember"
	"dragonflyrelay.example/library/values/dragonflyorders"
	"dragonflyrelay.example/library/values/dragonflyroute"
	"dragonflyrelay.example/library/values/dragonflywork"
	"dragonflyrelay.example/library/values/dragonflyworkspace"
	"dragonflyrelay.example/library/values/dragonflyzone"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// assertRoundTrip checks that decoding restores v, which fails if the encoder or
// the decoder omits a field.
func assertRoundTrip[T any](v T, marshal func(T) ([]byte, error), unmarshal func([]byte) (T, error)) {
	raw, err := marshal(v)
	So(err, ShouldBeNil)
	back, err := unmarshal(raw)
	So(err, ShouldBeNil)
	So(back, ShouldResemble, v)
}

func TestCodec(t *testing.T) {
	Convey("Work, routes and frames are unchanged after encoding and decoding", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			w := rapid.Make[dragonflywork.Work]().Draw(t, "work")
			raw, err := dragonflycodec.MarshalWork(w)
			if err != nil {
				t.Fatal(err)
			}
			back, err := dragonflycodec.UnmarshalWork(raw)
			if err != nil {
				t.Fatal(err)
			}
			if fmt.Sprintf("%v", back) != fmt.Sprintf("%v", w) {
				t.Fatalf("got %v, want %v", back, w)
			}
		})
		assertRoundTrip(dragonflyroute.Route{Key: "g7", Group: 7, Zones: []string{"za", "zb"}, Silent: true, CrossDomain: true},
			dragonflycodec.MarshalRoute, dragonflycodec.UnmarshalRoute)
		assertRoundTrip(dragonflyframe.Frame{Kind: dragonflyframe.Token, Attempt: 2, Index: 7, Text: "seda"},
			dragonflycodec.MarshalFrame, dragonflycodec.UnmarshalFrame)
	})
	Convey("Orders carry the complete configuration", t, func() {
		cfg := dragonflyconfig.Config{}.WithVersion(9).WithGroupSize(4).
			WithClass(dragonflyclass.Class{}.WithName("fitting").WithGap(25 * dragonflyduration.Millisecond)).
			WithWorkspace(dragonflyworkspace.Workspace{}.WithName("puebla").WithKeyHash("ab")).
			WithZone(dragonflyzone.Zone{}.WithName("zona-a").WithOut(true))
		raw, err := dragonflycodec.MarshalOrders(dragonflyorders.Orders{
			Term: 3, Config: cfg, HasConfig: true,
			Order: dragonflygrouporder.Order{
				Kind: dragonflygrouporder.Form, Fence: 8,
				Members: []dragonflymember.Member{{Instance: "i1", AgentAddress: "127.0.0.1:1"}},
			},
		})
		So(err, ShouldBeNil)
		back, err := dragonflycodec.UnmarshalOrders(raw)
		So(err, ShouldBeNil)
		So(back.Config.Version(), ShouldEqual, 9)
		So(back.Config.GroupSize(), ShouldEqual, 4)
		So(back.Config.ZoneOut("zona-a"), ShouldBeTrue)
		So(back.Config.ZoneOut("zona-b"), ShouldBeFalse)
		c, ok := back.Config.Classes().Get("fitting")
		So(ok, ShouldBeTrue)
		So(c.Gap(), ShouldEqual, 25*dragonflyduration.Millisecond)
		So(back.Order.Members[0].Instance, ShouldEqual, "i1")
	})
	Convey("Random heartbeats and acknowledgements are unchanged after encoding and decoding", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			h := rapid.Make[dragonflyheartbeat.Heartbeat]().Draw(t, "heartbeat")
			raw, err := dragonflycodec.MarshalHeartbeat(h)
			if back, err2 := dragonflycodec.UnmarshalHeartbeat(raw); err != nil || err2 != nil || back != h {
				t.Fatalf("got %v, want %v", back, h)
			}
			a := rapid.Make[dragonflyheartbeatack.Ack]().Draw(t, "ack")
			raw, err = dragonflycodec.MarshalAck(a)
			if back, err2 := dragonflycodec.UnmarshalAck(raw); err != nil || err2 != nil || back != a {
				t.Fatalf("got %v, want %v", back, a)
			}
		})
	})
	Convey("Malformed input is an error rather than a zero message", t, func() {
		_, err := dragonflycodec.UnmarshalWork([]byte{0xff, 0x00})
		So(err, ShouldNotBeNil)
	})
}

func FuzzUnmarshalWork(f *testing.F) {
	f.Add([]byte{0xa1, 0x01, 0x61, 0x61})
	f.Fuzz(func(t *testing.T, raw []byte) {
		w, err := dragonflycodec.UnmarshalWork(raw)
		if err != nil {
			return
		}
		if _, err := dragonflycodec.MarshalWork(w); err != nil {
			t.Fatal(err)
		}
	})
}
