package dragonflystreamwatch_test

import (
	"testing"

	"dragonflyrelay.example/dragonflyentry/common/dragonflystreamwatch"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	. "github.com/smartystreets/goconvey/convey"
)

const millisecond = dragonflyduration.Millisecond

// stream is one stream of the watch under test.
type stream struct {
	onEvent func(now dragonflyinstant.Instant)
	done    func()
	aborted int
	gone    bool
}

func openStream(w *dragonflystreamwatch.Watch, id string, now dragonflyinstant.Instant, repeatable bool) *stream {
	s := &stream{}
	s.onEvent, s.done = w.Open(id, now, repeatable, func(gone bool) { s.aborted, s.gone = s.aborted+1, gone })
	return s
}

// assertAborted guards how often the streams were aborted.
func assertAborted(n int, streams ...*stream) {
	for _, s := range streams {
		So(s.aborted, ShouldEqual, n)
	}
}

// TestWatch guards against streams that stay at an endpoint that has stopped, and
// against the loss of one that must not be repeated.
func TestWatch(t *testing.T) {
	start := dragonflyinstant.Instant(dragonflyduration.Second)
	three := func(w *dragonflystreamwatch.Watch) (all []*stream) {
		for range 3 {
			s := openStream(w, "a", start, true)
			s.onEvent(start)
			all = append(all, s)
		}
		return all
	}
	Convey("A common silence aborts the streams once", t, func() {
		w := &dragonflystreamwatch.Watch{}
		all := three(w)
		So(w.AbortStopped(start.Add(100*millisecond)), ShouldBeEmpty)
		assertAborted(0, all...)
		So(w.AbortStopped(start.Add(2000*millisecond)), ShouldResemble, []string{"a"})
		So(w.AbortStopped(start.Add(2100*millisecond)), ShouldBeEmpty)
		assertAborted(1, all...)
		So(all[0].gone, ShouldBeFalse)
	})
	Convey("One stream that goes on keeps the others", t, func() {
		w := &dragonflystreamwatch.Watch{}
		all := three(w)
		all[0].onEvent(start.Add(1900 * millisecond))
		So(w.AbortStopped(start.Add(2000*millisecond)), ShouldBeEmpty)
		assertAborted(0, all...)
	})
	Convey("A stream that must not be repeated stays", t, func() {
		w := &dragonflystreamwatch.Watch{}
		once := openStream(w, "a", start, false)
		once.onEvent(start)
		So(w.AbortStopped(start.Add(5000*millisecond)), ShouldBeEmpty)
		assertAborted(0, once)
	})
	Convey("Streams of an endpoint that is gone are aborted, others stay", t, func() {
		w := &dragonflystreamwatch.Watch{}
		a, b := openStream(w, "a", start, false), openStream(w, "b", start, true)
		w.AbortExcept(func(id string) bool { return id == "b" })
		assertAborted(1, a)
		So(a.gone, ShouldBeTrue)
		assertAborted(0, b)
	})
	Convey("The pass is the time between events, and a longer silence counts", t, func() {
		w := &dragonflystreamwatch.Watch{}
		s := openStream(w, "a", start, true)
		for i := range 5 {
			s.onEvent(start.Add(dragonflyduration.Duration(50*i) * millisecond))
		}
		now := start.Add(200 * millisecond)
		So(w.Speeds(now)[0].Pass, ShouldEqual, 50*millisecond)
		So(w.Speeds(now.Add(300 * millisecond))[0].Pass, ShouldEqual, 300*millisecond)
		waits := openStream(w, "a", now, true)
		So(w.Speeds(now.Add(80 * millisecond))[0].Waited, ShouldEqual, 80*millisecond)
		waits.done()
		s.done()
		So(w.Speeds(now), ShouldBeEmpty)
	})
}
