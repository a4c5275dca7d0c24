package dragonflyintegration_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// noticeTime is the time in which each entry that is in use gets an answer of an upstream
// that has begun to leave.
const noticeTime = 1500 * time.Millisecond

// assertNoneAfter checks that none of the requests arrived later than noticeTime after
// from.
func assertNoneAfter(arrivals []time.Time, from time.Time) {
	late := 0
	for _, at := range arrivals {
		if at.After(from.Add(noticeTime)) {
			late++
		}
	}
	So(late, ShouldEqual, 0)
	So(len(arrivals), ShouldBeGreaterThan, 0)
}

// TestLeavingHead guards against requests to an upstream whose answers say that it leaves,
// and against a group that is replaced only after the heartbeat of its head says so.
func TestLeavingHead(t *testing.T) {
	Convey("Given a deployment with two groups, the head of one of which leaves by its answers only", t, func() {
		d := newDeployment(t, 7, 3)
		So(d.eventually(10*time.Second, func() bool { return len(d.fleet.Heads()) == 2 }), ShouldBeTrue)
		leaving := d.fleet.Heads()[0]

		Convey("it gets no more requests while it stays, and a successor of its group forms", func() {
			d.fleet.SetLeaving(leaving, true)
			from := time.Now()
			whole, all := sendSound(d, "s", 4*time.Second)
			assertNoneAfter(d.fleet.Arrivals(leaving), from)
			So(whole, ShouldBeGreaterThan, all*9/10)
			So(d.fleet.Heads(), ShouldNotContain, leaving)
			So(d.fleet.Heads(), ShouldHaveLength, 2)
			So(d.fleet.Violations(), ShouldBeEmpty)
		})
		Convey("it gets no more requests while control is lost", func() {
			for _, stop := range d.controls {
				stop()
			}
			d.fleet.SetLeaving(leaving, true)
			from := time.Now()
			whole, all := sendSound(d, "s", 4*time.Second)
			assertNoneAfter(d.fleet.Arrivals(leaving), from)
			So(whole, ShouldBeGreaterThan, all*9/10)
		})
		Convey("it gets no more requests from a leader that does not know of it yet", func() {
			d.fleet.SetLeaving(leaving, true)
			from := time.Now()
			sendSound(d, "s", 2*time.Second)
			d.controls[d.controlIPs[0]]()
			sendSound(d, "t", 4*time.Second)
			assertNoneAfter(d.fleet.Arrivals(leaving), from)
			So(d.fleet.Violations(), ShouldBeEmpty)
		})
	})
}
