package dragonflydialer_test

import (
	"context"
	"expvar"
	"net"
	"os"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflydialer"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	. "github.com/smartystreets/goconvey/convey"
)

var errTimeout = &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}

// assertAttempts checks the number of attempts if each takes the time of its place in took,
// in milliseconds, and ends with the error of its place in errs.
func assertAttempts(ctx context.Context, took []int, errs []error, attempts int) {
	now, n, counter := dragonflyinstant.Instant(1), 0, &expvar.Int{}
	d := dragonflydialer.Dialer{
		Timeout:  400 * dragonflyduration.Millisecond,
		Clock:    dragonflyclock.Clock{Read: func() dragonflyinstant.Instant { return now }},
		Attempts: counter,
		Dial: func(_ context.Context, addr string, timeout dragonflyduration.Duration) (net.Conn, error) {
			So(addr, ShouldEqual, "peer")
			So(timeout, ShouldEqual, 400*dragonflyduration.Millisecond)
			now = now.Add(dragonflyduration.Duration(took[n]) * dragonflyduration.Millisecond)
			n++
			return nil, errs[n-1]
		},
	}
	_, err := d.Connect(ctx, "peer")
	So(err, ShouldEqual, errs[attempts-1])
	So(n, ShouldEqual, attempts)
	So(counter.Value(), ShouldEqual, attempts)
}

// TestConnect guards against a peer that counts as unreachable because this process did not
// run while the peer answered, and against repeated attempts at one that does not answer.
func TestConnect(t *testing.T) {
	ctx := context.Background()
	Convey("An attempt that times out late is repeated", t, func() {
		assertAttempts(ctx, []int{450, 1}, []error{errTimeout, nil}, 2)
	})
	Convey("but not for ever", t, func() {
		assertAttempts(ctx, []int{1200, 900, 700}, []error{errTimeout, errTimeout, errTimeout}, 3)
	})
	Convey("One that times out in time is not", t, func() { assertAttempts(ctx, []int{449}, []error{errTimeout}, 1) })
	Convey("One that connects or fails late is not", t, func() {
		assertAttempts(ctx, []int{900}, []error{nil}, 1)
		assertAttempts(ctx, []int{900}, []error{net.ErrClosed}, 1)
	})
	Convey("Nor is one whose caller has given up", t, func() {
		ended, cancel := context.WithCancel(ctx)
		cancel()
		assertAttempts(ended, []int{1200}, []error{errTimeout}, 1)
	})
	Convey("Without a seam, the peer is dialed over TCP", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		Reset(func() { _ = l.Close() })
		conn, err := dragonflydialer.Dialer{Timeout: dragonflyduration.Second}.Connect(ctx, l.Addr().String())
		So(err, ShouldBeNil)
		So(conn.RemoteAddr().String(), ShouldEqual, l.Addr().String())
		_ = conn.Close()
	})
}
