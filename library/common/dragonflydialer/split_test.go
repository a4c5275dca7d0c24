package dragonflydialer_test

import (
	"net"
	"testing"

	"dragonflyrelay.example/library/common/dragonflydialer"
	"dragonflyrelay.example/library/common/dragonflyduration"
	. "github.com/smartystreets/goconvey/convey"
)

// assertSplit checks the timeouts, in milliseconds, of the attempts within one of the given
// timeout, if they end with the errors errs.
func assertSplit(timeout int, errs []error, want ...int) {
	var got []int
	err := dragonflydialer.Split(dragonflyduration.Duration(timeout)*dragonflyduration.Millisecond, func(d dragonflyduration.Duration) error {
		got = append(got, int(d/dragonflyduration.Millisecond))
		return errs[len(got)-1]
	})
	So(err, ShouldEqual, errs[len(want)-1])
	So(got, ShouldResemble, want)
}

// TestSplit guards against a peer that counts as unreachable because this process ran again
// only shortly before or after the timeout, and against a silent peer that costs more than it.
func TestSplit(t *testing.T) {
	Convey("A peer that answered while this process did not run is found by the last part", t, func() {
		assertSplit(400, []error{errTimeout, nil}, 350, 50)
	})
	Convey("A silent peer takes the timeout as a whole", t, func() {
		assertSplit(400, []error{errTimeout, errTimeout}, 350, 50)
		assertSplit(100, []error{errTimeout, errTimeout}, 50, 50)
	})
	Convey("A peer that answers or refuses is asked once", t, func() {
		assertSplit(400, []error{nil}, 350)
		assertSplit(400, []error{net.ErrClosed}, 350)
	})
	Convey("A short timeout is not split", t, func() { assertSplit(99, []error{errTimeout}, 99) })
}
