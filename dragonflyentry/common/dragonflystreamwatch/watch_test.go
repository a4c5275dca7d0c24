package dragonflystreamwatch_test

import (
	"testing"

	"dragonflyrelay.example/dragonflyentry/common/dragonflystreamwatch"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	. "github.com/smartystreets/goconvey/convey"
)

const millisecond = dragonflyduration.Millisecond

// stream is one stream of the Watch under test and counts its aborts.
type stream struct {
	onEvent func(now dragonflyinstant.Instant)
	done    func()
	aborted int
	gone    bool
}

func openStream(w *dragonflystreamwatch.Watch, id string, now dragonflyinstant.Instant, retryable bool) *stream {
	s := &stream{}
	s.onEvent, s.done = w.Open(id, now, retryable, func(gone bool) { s.aborted, s.gone = s.aborted+1, gone })
	return s
}

// assertAborted checks that each of the streams was aborted n times.
func assertAborted(n int, streams ...*stream) {
	for _, s := range streams {
		So(s.aborted, ShouldEqual, n)
	}
}

// TestWatch guards against streams that stay at an endpoint that has stopped, and against
// the abort of a stream that must not be retried.
func TestWatch(t *testing.T) {
	start := dragonflyinstant.Instant(dragonflyduration.Second)
	openThree := func(w *dragonflystreamwatch.Watch) (all []*stream) {
		for range 3 {
			s := openStream(w, "a", start, true)
			s.onEvent(start)
			all = append(all, s)
		}
		return all
	}
	Convey("A silence of all streams of an endpoint aborts each of them once", t, func() {
		w := &dragonflystreamwatch.Watch{}
		all := openThree(w)
		So(w.AbortStopped(start.Add(100*millisecond)), ShouldBeEmpty)
		assertAborted(0, all...)
		So(w.AbortStopped(start.Add(2000*millisecond)), ShouldResemble, map[string]dragonflyduration.Duration{"a": 2000 * millisecond})
		So(w.AbortStopped(start.Add(2100*millisecond)), ShouldBeEmpty)
		assertAborted(1, all...)
		So(all[0].gone, ShouldBeFalse)
	})
	Convey("No stream is aborted while one of the endpoint's streams goes on", t, func() {
		w := &dragonflystreamwatch.Watch{}
		all := openThree(w)
		all[0].onEvent(start.Add(1900 * millisecond))
		So(w.AbortStopped(start.Add(2000*millisecond)), ShouldBeEmpty)
		assertAborted(0, all...)
	})
	Convey("A stream that must not be retried is not aborted at a stopped endpoint", t, func() {
		w := &dragonflystreamwatch.Watch{}
		once := openStream(w, "a", start, false)
		once.onEvent(start)
		So(w.AbortStopped(start.Add(5000*millisecond)), ShouldBeEmpty)
		assertAborted(0, once)
	})
	Convey("Only the streams of an endpoint that is gone are aborted", t, func() {
		w := &dragonflystreamwatch.Watch{}
		a, b := openStream(w, "a", start, false), openStream(w, "b", start, true)
		So(w.AbortExcept(func(id string) bool { return id == "b" }), ShouldResemble, map[string]int{"a": 1})
		assertAborted(1, a)
		So(a.gone, ShouldBeTrue)
		assertAborted(0, b)
	})
	Convey("The pass is the time between events, or a longer silence that lasts", t, func() {
		w := &dragonflystreamwatch.Watch{}
		s := openStream(w, "a", start, true)
		for i := range 5 {
			s.onEvent(start.Add(dragonflyduration.Duration(50*i) * millisecond))
		}
		now := start.Add(200 * millisecond)
		So(w.Speeds(now)[0].Pass, ShouldEqual, 50*millisecond)
		So(w.Speeds(now.Add(300 * millisecond))[0].Pass, ShouldEqual, 300*millisecond)
		waiting := openStream(w, "a", now, true)
		So(w.Speeds(now.Add(80 * millisecond))[0].Waited, ShouldEqual, 80*millisecond)
		waiting.done()
		s.done()
		So(w.Speeds(now), ShouldBeEmpty)
	})
}
