package dragonflyrpcclient_test

import (
	"context"
	"net"
	"os"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	. "github.com/smartystreets/goconvey/convey"
)

// assertDials checks the number of dials of a call whose dials take the given times, in
// milliseconds, and time out, except for the one with the number connected.
func assertDials(ctx context.Context, t *testing.T, took []int, connected, dials int) {
	now, n := dragonflyinstant.Instant(1), 0
	peer := serveEcho(t, "secret")
	c := &dragonflyrpcclient.Client{
		Addr: peer, Key: func() string { return "secret" },
		Clock: dragonflyclock.Clock{Read: func() dragonflyinstant.Instant { return now }},
		Dial: func(_ context.Context, timeout dragonflyduration.Duration) (net.Conn, error) {
			So(timeout, ShouldEqual, dragonflyrpcclient.DefaultDialTimeout)
			now = now.Add(dragonflyduration.Duration(took[n]) * dragonflyduration.Millisecond)
			if n++; n == connected {
				return net.Dial("tcp", peer)
			}
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
		},
	}
	_, err := c.Call(ctx, "/echo", []byte("x"))
	So(err == nil, ShouldEqual, connected > 0)
	So(n, ShouldEqual, dials)
}

// TestDialWhileHeldUp guards against a peer that counts as unreachable because this process
// did not run while the peer answered.
func TestDialWhileHeldUp(t *testing.T) {
	Convey("A dial that times out late is repeated", t, func() { assertDials(context.Background(), t, []int{1200, 1}, 2, 2) })
	Convey("but not for ever", t, func() { assertDials(context.Background(), t, []int{1200, 900, 700, 1}, 0, 3) })
	Convey("A dial that times out in time is not, since the peer does not answer", t, func() {
		assertDials(context.Background(), t, []int{510, 1}, 0, 1)
	})
	Convey("Nor is one whose caller has given up", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		assertDials(ctx, t, []int{1200, 1}, 0, 1)
	})
}
