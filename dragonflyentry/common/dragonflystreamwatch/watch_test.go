package dragonflystreamwatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dragonflyrelay.example/dragonflyentry/common/dragonflystreamwatch"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	millisecond = dragonflyduration.Millisecond
	start       = dragonflyinstant.Instant(dragonflyduration.Second)
)

// watch is the Watch under test. Its streams have names as handles.
type watch = dragonflystreamwatch.Watch[string]

// openThree opens the streams x, y and z of the endpoint a and gives each an event.
func openThree(w *watch) (onEvent []func(now dragonflyinstant.Instant), done []func()) {
	for _, name := range []string{"x", "y", "z"} {
		e, d := w.Open("a", start, name)
		e(start)
		onEvent, done = append(onEvent, e), append(done, d)
	}
	return onEvent, done
}

// assertSuspects checks which streams are to move after the given time.
func assertSuspects(w *watch, after dragonflyduration.Duration, names ...string) {
	got := w.Suspects(start.Add(after))
	slices.Sort(got)
	So(got, ShouldResemble, names)
}

// assertMoves checks whether the stream of the endpoint a may move after the given time.
func assertMoves(w *watch, after dragonflyduration.Duration, name string, moves bool) {
	calls := 0
	So(w.Move("a", name, start.Add(after), func(bool) bool { calls++; return true }), ShouldEqual, moves)
	So(calls == 1, ShouldEqual, moves)
}

// assertContact checks the age of the latest event of the endpoint a after the given time, -1
// for none.
func assertContact(w *watch, after, age dragonflyduration.Duration) {
	got := dragonflyduration.Duration(-1)
	for _, c := range w.Contacts(start.Add(after), []string{"a", "other"}) {
		So(c.ID, ShouldEqual, "a")
		got = c.Age
	}
	So(got, ShouldEqual, age)
}

// assertEnded checks which streams end because their endpoints have been missing from the
// table for 400 ms at the given time.
func assertEnded(w *watch, after dragonflyduration.Duration, names ...string) {
	var got []string
	w.EndDropped(start.Add(after), 400*millisecond, func(s string) { got = append(got, s) })
	So(got, ShouldResemble, names)
}

// TestWatch guards against streams that stay at an endpoint that has stopped, and against
// the move of a stream whose endpoint goes on.
func TestWatch(t *testing.T) {
	Convey("A silence of all streams of an endpoint makes them suspects until it goes on", t, func() {
		w := &watch{}
		onEvent, done := openThree(w)
		assertSuspects(w, 100*millisecond)
		assertSuspects(w, 2000*millisecond, "x", "y", "z")
		assertMoves(w, 2000*millisecond, "x", true)
		done[0]()
		assertMoves(w, 2000*millisecond, "x", false)
		assertSuspects(w, 2000*millisecond, "y", "z")
		onEvent[1](start.Add(2100 * millisecond))
		assertSuspects(w, 2100*millisecond)
		assertMoves(w, 2100*millisecond, "y", false)
	})
	Convey("No stream is a suspect while one of the endpoint's streams goes on", t, func() {
		w := &watch{}
		onEvent, _ := openThree(w)
		onEvent[0](start.Add(1900 * millisecond))
		assertSuspects(w, 2000*millisecond)
	})
	Convey("A silence is reported while it lasts and once when it ends", t, func() {
		w := &watch{}
		onEvent, _ := openThree(w)
		var got []string
		check := func(after dragonflyduration.Duration) {
			w.Silences(start.Add(after), func(id string, silent, changed bool, streams int, silence dragonflyduration.Duration) {
				got = append(got, fmt.Sprint(id, " ", silent, " ", changed, " ", streams, " ", silence.Milliseconds()))
			})
		}
		check(100 * millisecond)
		check(500 * millisecond)
		check(600 * millisecond)
		onEvent[0](start.Add(700 * millisecond))
		check(700 * millisecond)
		check(800 * millisecond)
		So(got, ShouldResemble, []string{"a true true 3 500", "a true false 3 600", "a false true 3 0"})
	})
	Convey("Only the streams of an endpoint that is not in the table are suspects, also of one that was chosen before", t, func() {
		w := &watch{}
		_, done := w.Open("a", start, "x")
		w.Open("b", start, "y")
		So(w.SetTable(start, map[string]bool{"b": true}, true), ShouldResemble, map[string]int{"a": 1})
		So(w.SetTable(start.Add(millisecond), map[string]bool{"b": true}, true), ShouldBeEmpty)
		assertSuspects(w, millisecond, "x")
		assertMoves(w, millisecond, "x", true)
		assertEnded(w, 399*millisecond)
		assertEnded(w, 400*millisecond, "x")
		So(w.Dropped(), ShouldResemble, []string{"a"})
		done()
		So(w.Dropped(), ShouldBeEmpty)
		w.Open("a", start.Add(500*millisecond), "late")
		assertSuspects(w, 500*millisecond, "late")
		w.SetTable(start.Add(600*millisecond), map[string]bool{"a": true, "b": true}, true)
		assertSuspects(w, 600*millisecond)
		assertEnded(w, 2000*millisecond)
	})
	Convey("An incomplete table adds endpoints and drops none", t, func() {
		w := &watch{}
		w.Open("a", start, "x")
		w.SetTable(start, map[string]bool{"a": true}, true)
		So(w.SetTable(start, map[string]bool{"b": true}, false), ShouldBeEmpty)
		w.Open("b", start, "y")
		assertSuspects(w, millisecond)
		So(w.SetTable(start, map[string]bool{"b": true}, true), ShouldResemble, map[string]int{"a": 1})
		assertSuspects(w, millisecond, "x")
	})
	Convey("A held request keeps its endpoint among the dropped ones until it ends, and moves nowhere", t, func() {
		w := &watch{}
		release, other := w.Hold("a"), w.Hold("a")
		So(w.Lacks("a"), ShouldBeFalse)
		w.SetTable(start, nil, true)
		So(w.Lacks("a"), ShouldBeTrue)
		_, done := w.Open("a", start, "x")
		assertSuspects(w, millisecond, "x")
		So(w.Dropped(), ShouldResemble, []string{"a"})
		done()
		release()
		assertEnded(w, 2000*millisecond)
		So(w.Dropped(), ShouldResemble, []string{"a"})
		other()
		So(w.Dropped(), ShouldBeEmpty)
	})
	Convey("The pass is the time between events, or a longer silence that lasts", t, func() {
		w := &watch{}
		onEvent, done := w.Open("a", start, "x")
		for i := range 5 {
			onEvent(start.Add(dragonflyduration.Duration(50*i) * millisecond))
		}
		now := start.Add(200 * millisecond)
		So(w.Speeds(now)[0].Pass, ShouldEqual, 50*millisecond)
		So(w.Speeds(now.Add(300 * millisecond))[0].Pass, ShouldEqual, 300*millisecond)
		_, waitingDone := w.Open("a", now, "y")
		So(w.Speeds(now.Add(80 * millisecond))[0].Waited, ShouldEqual, 80*millisecond)
		waitingDone()
		done()
		So(w.Speeds(now), ShouldBeEmpty)
	})
}

// TestOwnPause guards against an entry that takes the time for which it stood still for the
// silence of all endpoints, and moves their streams.
func TestOwnPause(t *testing.T) {
	check := func(w *watch, after dragonflyduration.Duration) (silent bool) {
		w.BeginCheck(start.Add(after))
		w.Silences(start.Add(after), func(string, bool, bool, int, dragonflyduration.Duration) { silent = true })
		return silent
	}
	newChecked := func() (w *watch, onEvent []func(now dragonflyinstant.Instant)) {
		w = &watch{}
		onEvent, _ = openThree(w)
		for i := range 10 {
			now := dragonflyduration.Duration(i) * 40 * millisecond
			onEvent[0](start.Add(now))
			So(check(w, now), ShouldBeFalse)
		}
		return w, onEvent
	}
	for _, pause := range []dragonflyduration.Duration{500, 2000, 20_000} {
		Convey(fmt.Sprintf("No endpoint is silent for a pause of %d ms of the process", pause), t, func() {
			w, onEvent := newChecked()
			at := (360 + pause) * millisecond
			So(check(w, at), ShouldBeFalse)
			assertSuspects(w, at)
			assertMoves(w, at+10*millisecond, "x", false)
			pass := w.Speeds(start.Add(at))[0].Pass
			So(pass, ShouldBeLessThan, 100*millisecond)
			onEvent[0](start.Add(at + 20*millisecond))
			So(w.Speeds(start.Add(at + 20*millisecond))[0].Pass, ShouldBeLessThan, 100*millisecond)
		})
	}
	Convey("An event before the first check after the pause does not count as a long pass", t, func() {
		w, onEvent := newChecked()
		onEvent[0](start.Add(3000 * millisecond))
		So(w.Speeds(start.Add(3000 * millisecond))[0].Pass, ShouldBeLessThan, 100*millisecond)
	})
	Convey("An endpoint that stays silent after the pause is found", t, func() {
		w, _ := newChecked()
		for i := range 12 {
			check(w, 3000*millisecond+dragonflyduration.Duration(i)*40*millisecond)
		}
		assertSuspects(w, 3440*millisecond, "x", "y", "z")
	})
}

// TestEndOfDoneStreams guards against the end of a stream that is done, whose connection may
// serve another request already.
func TestEndOfDoneStreams(t *testing.T) {
	Convey("No stream is done while it is ended", t, func() {
		w := &watch{}
		_, done := w.Open("a", start, "x")
		w.SetTable(start, nil, true)
		isDone := make(chan struct{})
		w.EndDropped(start, 0, func(string) {
			go func() {
				done()
				close(isDone)
			}()
			select {
			case <-isDone:
				So("done while it is ended", ShouldBeEmpty)
			case <-time.After(50 * time.Millisecond):
			}
		})
		<-isDone
		assertEnded(w, 2000*millisecond)
	})
}

// BenchmarkSuspects measures a check of 365 endpoints with 48 streams each, all of them
// silent.
func BenchmarkSuspects(b *testing.B) {
	w := &watch{}
	for i := range 365 {
		for j := range 48 {
			onEvent, _ := w.Open(fmt.Sprint(i), start, fmt.Sprint(i, " ", j))
			onEvent(start)
		}
	}
	for b.Loop() {
		w.Suspects(start.Add(1000 * millisecond))
	}
}

// TestContacts guards against a head at work that control takes for lost because no entry
// reports its answers.
func TestContacts(t *testing.T) {
	Convey("The latest event counts, also after its stream has ended", t, func() {
		w := &watch{}
		assertContact(w, 0, -1)
		onEvent, done := openThree(w)
		assertContact(w, 300*millisecond, 300*millisecond)
		onEvent[1](start.Add(500 * millisecond))
		assertContact(w, 600*millisecond, 100*millisecond)
		for _, end := range done {
			end()
		}
		assertContact(w, 800*millisecond, 300*millisecond)
	})
	Convey("An endpoint that leaves the routing table is forgotten", t, func() {
		w := &watch{}
		openThree(w)
		w.SetTable(start, map[string]bool{"b": true}, true)
		assertContact(w, 0, -1)
	})
}
