package dragonflytimeline_test

import (
	"bytes"
	"context"
	"testing"

	"dragonflyrelay.example/library/common/dragonflytimeline"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
	. "github.com/smartystreets/goconvey/convey"
)

func TestTimeline(t *testing.T) {
	Convey("Events that were queued before the context ended are written and can be parsed", t, func() {
		tl := dragonflytimeline.New("entry-1")
		want := dragonflyoccurrence.Occurrence{At: 7, Event: "attempt-refused", Request: "r", Group: 3, Detail: "overloaded"}
		tl.Add(want)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		var file bytes.Buffer
		So(tl.Run(ctx, &file), ShouldBeNil)
		got, err := dragonflytimeline.ParseLine(bytes.TrimSpace(file.Bytes()))
		So(err, ShouldBeNil)
		want.Process = "entry-1"
		So(got, ShouldResemble, want)
	})
	Convey("Add drops events instead of blocking when the ring is full", t, func() {
		tl := dragonflytimeline.New("entry-1")
		for range dragonflytimeline.RingCapacity + 10 {
			tl.Add(dragonflyoccurrence.Occurrence{Event: "x"})
		}
		tl.Close()
		var file bytes.Buffer
		So(tl.Run(context.Background(), &file), ShouldBeNil)
		So(bytes.Count(file.Bytes(), []byte("\n")), ShouldEqual, dragonflytimeline.RingCapacity)
	})
	Convey("A nil timeline drops all events", t, func() {
		var tl *dragonflytimeline.Timeline
		tl.Add(dragonflyoccurrence.Occurrence{Event: "x"})
	})
}
