package dragonflytimeline_test

import (
	"bytes"
	"context"
	"expvar"
	"strconv"
	"syscall"
	"testing"
	"time"

	"dragonflyrelay.example/library/common/dragonflytimeline"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
	. "github.com/smartystreets/goconvey/convey"
)

// file is a file on a disk that is full for one write.
type file struct {
	bytes.Buffer
	room int // bytes that the full disk still takes
	full bool
}

func (f *file) Write(p []byte) (n int, err error) {
	if !f.full {
		return f.Buffer.Write(p)
	}
	f.full = false
	n, _ = f.Buffer.Write(p[:min(len(p), f.room)])
	return n, syscall.ENOSPC
}

// events returns the details of the events in f, and the number of damaged lines.
func (f *file) events() (details []string, damaged int) {
	for _, raw := range bytes.Split(bytes.TrimSpace(f.Bytes()), []byte("\n")) {
		o, err := dragonflytimeline.ParseLine(raw)
		if err != nil {
			damaged++
			continue
		}
		details = append(details, o.Detail)
	}
	return details, damaged
}

// TestFullDisk guards against a timeline that writes nothing more once a write has
// failed, while the process runs.
func TestFullDisk(t *testing.T) {
	Convey("Events are written again once the disk has room, and only those of the meantime are lost", t, func() {
		dropped := expvar.Get("dragonfly-timeline-dropped").(*expvar.Int)
		before := dropped.Value()
		f := &file{full: true, room: 30}
		tl := dragonflytimeline.New("control-1")
		done := make(chan error, 1)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { done <- tl.Run(ctx, f) }()
		const events = 5000
		for i := range events {
			tl.Add(dragonflyoccurrence.Occurrence{Event: "change-accepted", Detail: strconv.Itoa(i)})
			if i%100 == 0 {
				time.Sleep(time.Millisecond) // Spreads the events over several writes.
			}
		}
		tl.Close()
		So(<-done, ShouldBeNil)
		details, damaged := f.events()
		So(damaged, ShouldBeLessThanOrEqualTo, 1)
		So(details, ShouldNotBeEmpty)
		So(details[len(details)-1], ShouldEqual, strconv.Itoa(events-1))
		So(int(dropped.Value()-before)+len(details), ShouldEqual, events)
	})
}
