package dragonflyupstreampool_test

import (
	"context"
	"net"
	"os"
	"testing"

	"dragonflyrelay.example/dragonflyentry/common/dragonflyupstreampool"
	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	. "github.com/smartystreets/goconvey/convey"
)

// assertDials checks the number of dials of connect if the first one times out after the
// given time, in milliseconds, and another one succeeds.
func assertDials(took, dials int, connect func(p *dragonflyupstreampool.Pool, e dragonflyendpoint.Endpoint) error) {
	now, n := dragonflyinstant.Instant(1), 0
	e, _ := newUpstream()
	p := &dragonflyupstreampool.Pool{
		Clock: dragonflyclock.Clock{Read: func() dragonflyinstant.Instant { return now }},
		Connect: func(_ context.Context, addr string, _ dragonflyduration.Duration) (net.Conn, error) {
			if n++; n > 1 {
				return net.Dial("tcp", addr)
			}
			now = now.Add(dragonflyduration.Duration(took) * dragonflyduration.Millisecond)
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
		},
	}
	err := connect(p, e)
	So(err == nil, ShouldEqual, dials > 1)
	So(n, ShouldEqual, dials)
}

// TestDialWhileHeldUp guards against requests that are refused, and upstreams that count as
// unreachable, because this process did not run while the upstream answered.
func TestDialWhileHeldUp(t *testing.T) {
	for name, connect := range map[string]func(p *dragonflyupstreampool.Pool, e dragonflyendpoint.Endpoint) error{
		"for a request": func(p *dragonflyupstreampool.Pool, e dragonflyendpoint.Endpoint) error {
			_, _, err := p.Get(context.Background(), e)
			return err
		},
		"for a request that needs a new connection": func(p *dragonflyupstreampool.Pool, e dragonflyendpoint.Endpoint) error {
			_, err := p.Dial(context.Background(), e)
			return err
		},
		"after a loss": func(p *dragonflyupstreampool.Pool, e dragonflyendpoint.Endpoint) error {
			return p.Check(context.Background(), e)
		},
	} {
		Convey("A dial "+name+" that times out late is repeated, one that times out in time is not", t, func() {
			assertDials(900, 2, connect)
			assertDials(410, 1, connect)
		})
	}
}
