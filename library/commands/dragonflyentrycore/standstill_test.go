package dragonflyentrycore_test

import (
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyentryevent"
	"dragonflyrelay.example/library/values/dragonflyframe"
	. "github.com/smartystreets/goconvey/convey"
)

// assertAttempts checks the number of attempts at a completion that has a token, if the
// process then stands still for the given time and ticks for the time after.
func assertAttempts(standstill, after dragonflyduration.Duration, attempts int) {
	d := newDriver(group(1), group(2))
	d.begin("a", nil)
	d.advance(100 * ms)
	at := d.sends[0].Work.Attempt
	d.frame("a", dragonflyframe.Frame{Kind: dragonflyframe.Started, Attempt: at})
	d.frame("a", token(at, 0))
	d.now = d.now.Add(standstill)
	d.step(dragonflyentryevent.Event{Kind: dragonflyentryevent.Tick})
	d.advance(after)
	So(d.sends, ShouldHaveLength, attempts)
}

// TestStandstill guards against completions that are sent to another upstream because the
// entry stood still, while their frames were on the way.
func TestStandstill(t *testing.T) {
	Convey("A completion is not lost when the entry resumes, and its frames are awaited", t, func() {
		assertAttempts(10*dragonflyduration.Second, 2900*ms, 1)
	})
	Convey("but one that goes on to be silent is", t, func() { assertAttempts(10*dragonflyduration.Second, 3100*ms, 2) })
	Convey("A late tick does not extend the silence", t, func() { assertAttempts(900*ms, 2200*ms, 2) })
}
