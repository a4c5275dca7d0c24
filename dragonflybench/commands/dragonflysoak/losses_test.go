package dragonflysoak

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// testLosses is a record of three instances on a clock of its own.
type testLosses struct {
	*losses
	time time.Time
}

func newTestLosses() *testLosses {
	l := &testLosses{losses: newLosses(firstControls), time: time.Unix(1, 0)}
	l.clock = func() time.Time { return l.time }
	return l
}

func (l *testLosses) pass(d time.Duration) { l.time = l.time.Add(d) }

// readBack records that the configuration has been read back after the latest event.
func (l *testLosses) readBack() { l.verify(l.latest) }

// assertBegun begins a fault that must be allowed and returns the function that ends it.
func assertBegun(l *testLosses, f fault) (end func()) {
	end, ok := l.begin(f)
	So(ok, ShouldBeTrue)
	return end
}

// assertBound checks that the configuration must be read back within bound of the latest event.
func assertBound(l *testLosses, bound time.Duration) {
	e, ok := l.unverified()
	So(ok, ShouldBeTrue)
	So(e.bound, ShouldEqual, bound)
}

// TestDisks guards against the loss of a second disk before the first has been replaced,
// which no deployment that tolerates one lost instance survives.
func TestDisks(t *testing.T) {
	Convey("Given an instance that has lost its disk and is back", t, func() {
		l := newTestLosses()
		So(l.mayLoseDisk(), ShouldBeTrue)
		assertBegun(l, fault{instances: []int{0}, losesDisk: true})()

		Convey("another disk is lost only after the time to synchronize and a read", func() {
			l.pass(syncTime)
			So(l.mayLoseDisk(), ShouldBeFalse)
			l.readBack()
			So(l.mayLoseDisk(), ShouldBeTrue)
		})
		Convey("no other disk is lost while all instances stand still, and until they are back for as long", func() {
			l.readBack()
			l.pass(syncTime / 2)
			end := assertBegun(l, fault{instances: []int{0, 1, 2}})
			l.pass(3 * syncTime)
			_, ok := l.begin(fault{instances: []int{2}, losesDisk: true})
			So(ok, ShouldBeFalse)
			end()
			l.readBack()
			So(l.mayLoseDisk(), ShouldBeFalse)
			l.pass(syncTime)
			So(l.mayLoseDisk(), ShouldBeTrue)
		})
		Convey("a fault that begins after the deployment has settled does not count", func() {
			l.readBack()
			l.pass(syncTime)
			end := assertBegun(l, fault{instances: []int{1}})
			So(l.mayLoseDisk(), ShouldBeTrue)
			end()
		})
	})
}

// TestBounds guards against a bound that is longer or shorter than the platform's.
func TestBounds(t *testing.T) {
	Convey("Given three instances", t, func() {
		l := newTestLosses()

		Convey("a fault of one of them has the shortest bound, from its start on", func() {
			end := assertBegun(l, fault{instances: []int{0}})
			assertBound(l, contactTime)
			end()
			assertBound(l, contactTime)
		})
		Convey("a fault of all has twice that, once they are back", func() {
			end := assertBegun(l, fault{instances: []int{0, 1, 2}})
			_, ok := l.unverified()
			So(ok, ShouldBeFalse)
			end()
			assertBound(l, 2*contactTime)
		})
		Convey("losses overlap until an instance has been back for the time to synchronize", func() {
			assertBegun(l, fault{instances: []int{0}})()
			l.readBack()
			l.pass(syncTime / 2)
			assertBegun(l, fault{instances: []int{1}})()
			assertBound(l, recoveryTime)
			l.readBack()
			l.pass(syncTime)
			assertBegun(l, fault{instances: []int{2}})()
			assertBound(l, contactTime)
		})
		Convey("service may stop while one is out beside the lost disk of another", func() {
			end := assertBegun(l, fault{instances: []int{0}})
			assertBegun(l, fault{instances: []int{1}, losesDisk: true})()
			_, ok := l.unverified()
			So(ok, ShouldBeFalse)
			end()
			assertBound(l, recoveryTime)
		})
		Convey("an instance that replaces a lost one counts as lost at first, and one that replaces none does not", func() {
			l.add(3, false)
			assertBegun(l, fault{instances: []int{0}})()
			assertBound(l, contactTime)
			l.readBack()
			l.pass(syncTime)
			l.remove(0)
			l.add(4, true)
			assertBegun(l, fault{instances: []int{1}})()
			assertBound(l, recoveryTime)
		})
		Convey("only scenarios inject faults while the instances are reserved", func() {
			l.reserve()
			So(l.mayLoseDisk(), ShouldBeFalse)
			_, ok := l.begin(fault{instances: []int{0}})
			So(ok, ShouldBeFalse)
			assertBegun(l, fault{instances: []int{0}, losesDisk: true, scenario: true})()
		})
	})
}
