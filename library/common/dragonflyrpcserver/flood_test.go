package dragonflyrpcserver_test

import (
	"context"
	"expvar"
	"net"
	"testing"
	"time"

	"dragonflyrelay.example/library/common/dragonflypool"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	"dragonflyrelay.example/library/common/dragonflyrpcserver"
	. "github.com/smartystreets/goconvey/convey"
	"storj.io/drpc/drpcwire"
)

// startEcho starts a server whose calls return their message, one of them after 1 s, and
// returns its address.
func startEcho() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	Reset(cancel)
	srv := &dragonflyrpcserver.Server{Pool: &dragonflypool.Pool{}, Unary: map[string]func(context.Context, []byte) ([]byte, error){
		"/echo": func(_ context.Context, req []byte) ([]byte, error) { return req, nil },
		"/later": func(_ context.Context, req []byte) ([]byte, error) {
			time.Sleep(time.Second)
			return req, nil
		},
	}}
	go func() { _ = srv.Serve(ctx, l) }()
	return l.Addr().String()
}

// assertEcho checks that a message of n bytes comes back, on a connection that is kept.
func assertEcho(c *dragonflyrpcclient.Client, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	res, err := c.Call(ctx, "/echo", make([]byte, n))
	So(err, ShouldBeNil)
	So(len(res), ShouldEqual, n)
}

// TestFlood guards against messages that together exceed the memory of a process, and against
// a connection that counts messages that have ended.
func TestFlood(t *testing.T) {
	Convey("Messages one after the other take no more room than one", t, func() {
		c := &dragonflyrpcclient.Client{Addr: startEcho(), Connections: 1}
		for range 20 {
			assertEcho(c, 3<<20)
			assertEcho(c, 0)
			assertEcho(c, 100)
		}
	})
	Convey("An ordinary message arrives beside many that do not end, and a large one once they are gone", t, func() {
		addr := startEcho()
		frame := drpcwire.AppendFrame(nil, drpcwire.Frame{Data: make([]byte, 1<<20), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke})
		conns := make([]net.Conn, 10)
		for i := range conns {
			conn, err := net.Dial("tcp", addr)
			So(err, ShouldBeNil)
			conns[i] = conn
			go func() {
				for range 3 {
					_, _ = conn.Write(frame)
				}
			}()
		}
		time.Sleep(200 * time.Millisecond)
		c := &dragonflyrpcclient.Client{Addr: addr, Connections: 1}
		assertEcho(c, 100)
		for _, conn := range conns {
			_ = conn.Close()
		}
		assertEcho(c, 3<<20)
	})
}

// TestKeptBuffers guards against idle connections that reserve the memory of a message which
// does not arrive, so that large messages on others wait for it and close them.
func TestKeptBuffers(t *testing.T) {
	Convey("Large messages on several connections do not wait for each other", t, func() {
		addr := startEcho()
		clients := make([]*dragonflyrpcclient.Client, 3)
		for i := range clients {
			clients[i] = &dragonflyrpcclient.Client{Addr: addr, Connections: 1}
		}
		closed := expvar.Get("dragonfly-memory-closed").(*expvar.Map)
		assertEcho(clients[0], 3<<19)
		before := closed.Get("calls").String()
		for range 2 {
			for _, c := range clients {
				assertEcho(c, 3<<19)
			}
		}
		So(closed.Get("calls").String(), ShouldEqual, before)
	})
}

// TestCallsInProgress guards against calls that are broken off for the buffer that their
// connection has kept from an earlier message.
func TestCallsInProgress(t *testing.T) {
	Convey("A call in progress is not closed for a large message on another connection", t, func() {
		addr := startEcho()
		ended := make(chan error, 6)
		clients := make([]*dragonflyrpcclient.Client, cap(ended))
		for i := range clients {
			clients[i] = &dragonflyrpcclient.Client{Addr: addr, Connections: 1}
			assertEcho(clients[i], 3<<20/2)
		}
		time.Sleep(2100 * time.Millisecond) // The patience of the budget is 2 s.
		for _, c := range clients {
			go func() {
				_, err := c.Call(context.Background(), "/later", nil)
				ended <- err
			}()
		}
		time.Sleep(200 * time.Millisecond)
		large := &dragonflyrpcclient.Client{Addr: addr, Connections: 1}
		for range 2 {
			assertEcho(large, 3<<20)
		}
		another := &dragonflyrpcclient.Client{Addr: addr, Connections: 1}
		assertEcho(another, 3<<20)
		for range clients {
			So(<-ended, ShouldBeNil)
		}
	})
}
