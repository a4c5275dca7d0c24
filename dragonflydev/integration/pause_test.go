package dragonflyintegration_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	// pauseSlack is the time after the first refusal in which requests on the way may
	// still arrive.
	pauseSlack = 500 * time.Millisecond
	// maxInPause bounds the requests of one entry in the rest of a pause.
	maxInPause = 2
)

// assertPauseKept checks that few requests arrived from pauseSlack after the first one
// until the end of a pause of the given length, from all entries together.
func assertPauseKept(arrivals []time.Time, length time.Duration, entries int) {
	So(len(arrivals), ShouldBeGreaterThan, 0)
	from, to, n := arrivals[0].Add(pauseSlack), arrivals[0].Add(length), 0
	for _, at := range arrivals {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	So(n, ShouldBeLessThanOrEqualTo, maxInPause*entries)
}

// TestPausingHead guards against requests to an upstream that has turned a request away and
// asked for a pause.
func TestPausingHead(t *testing.T) {
	Convey("Given a deployment with two groups, the head of one of which asks for a pause", t, func() {
		const entries = 3
		d := newDeployment(t, 7, entries)
		So(d.eventually(10*time.Second, func() bool { return len(d.fleet.Heads()) == 2 }), ShouldBeTrue)
		pausing := d.fleet.Heads()[0]

		Convey("it gets no more requests until the end and some after it, and callers are served", func() {
			d.fleet.SetPause(pausing, 2500*time.Millisecond, false)
			whole, all := sendSound(d, "s", 4500*time.Millisecond)
			arrivals := d.fleet.Arrivals(pausing)
			assertPauseKept(arrivals, 2500*time.Millisecond, entries)
			So(arrivals[len(arrivals)-1].Sub(arrivals[0]), ShouldBeGreaterThan, 2500*time.Millisecond)
			So(whole, ShouldBeGreaterThan, all*9/10)
		})
	})
	Convey("Given a deployment with one group, whose head renews its pause while control is lost", t, func() {
		const entries = 3
		d := newDeployment(t, 4, entries)
		So(d.eventually(10*time.Second, func() bool { return len(d.fleet.Heads()) == 1 }), ShouldBeTrue)
		pausing := d.fleet.Heads()[0]
		for _, stop := range d.controls {
			stop()
		}
		d.fleet.SetPause(pausing, time.Second, true)
		sendSound(d, "s", 3*time.Second)

		Convey("it gets no more requests in each pause, and serves again after the last one", func() {
			arrivals := d.fleet.Arrivals(pausing)
			assertPauseKept(arrivals, time.Second, entries)
			So(len(arrivals), ShouldBeLessThan, 40)
			d.fleet.SetPause(pausing, 0, false)
			So(d.eventually(4*time.Second, func() bool { return d.call(0, "last", "").complete }), ShouldBeTrue)
		})
	})
}
