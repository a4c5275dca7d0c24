package dragonflyupstream_test

import (
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"dragonflyrelay.example/dragonflyagent/commands/dragonflyupstream"
	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflywork"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// assertUpstreamDials checks the number of dials of a call whose dials take the given times,
// in milliseconds, and time out, except for the one with the number connected.
func assertUpstreamDials(ctx context.Context, took []int, connected, dials int) {
	now, n := dragonflyinstant.Instant(1), 0
	address := newRawUpstream(func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
	})
	c := &dragonflyupstream.Client{
		Clock: dragonflyclock.Clock{Read: func() dragonflyinstant.Instant { return now }},
		Dial: func(address string, timeout dragonflyduration.Duration) (network.Conn, error) {
			So(timeout, ShouldEqual, dragonflyupstream.DefaultDialTimeout)
			now = now.Add(dragonflyduration.Duration(took[n]) * dragonflyduration.Millisecond)
			if n++; n == connected {
				return standard.NewDialer().DialConnection("tcp", address, time.Duration(timeout), nil)
			}
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
		},
	}
	work := dragonflywork.Work{Request: "r", Method: "POST", Path: "/x"}
	_, err := c.Call(ctx, address, work, dragonflyduration.Second)
	So(err == nil, ShouldEqual, connected > 0)
	So(errors.Is(err, dragonflyupstream.ErrNotSent), ShouldEqual, connected == 0)
	So(n, ShouldEqual, dials)
}

// TestUpstreamDialWhileHeldUp guards against work that is refused, as if the upstream did not
// accept connections, because this process did not run while the upstream accepted one.
func TestUpstreamDialWhileHeldUp(t *testing.T) {
	Convey("A dial that times out late is repeated", t, func() { assertUpstreamDials(context.Background(), []int{1200, 1}, 2, 2) })
	Convey("but not for ever", t, func() { assertUpstreamDials(context.Background(), []int{1200, 900, 700, 1}, 0, 3) })
	Convey("A dial that times out in time is not, since the upstream does not answer", t, func() {
		assertUpstreamDials(context.Background(), []int{510, 1}, 0, 1)
	})
}
