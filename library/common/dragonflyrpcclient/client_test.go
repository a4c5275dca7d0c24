package dragonflyrpcclient_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflypool"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	"dragonflyrelay.example/library/common/dragonflyrpcserver"
	"dragonflyrelay.example/library/common/dragonflyrpcstream"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// serveEcho starts a server with a unary and a streaming echo call and returns its
// address.
func serveEcho(t *testing.T, key string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	srv := &dragonflyrpcserver.Server{
		Pool: &dragonflypool.Pool{Name: "test"},
		Key:  func() string { return key },
		Unary: map[string]func(context.Context, []byte) ([]byte, error){
			"/echo": func(_ context.Context, req []byte) ([]byte, error) { return req, nil },
		},
		Streams: map[string]func(*dragonflyrpcstream.Stream) error{
			"/stream": func(s *dragonflyrpcstream.Stream) error {
				for {
					msg, err := s.Receive()
					if err != nil {
						return nil
					}
					if err := s.Send(msg); err != nil {
						return err
					}
				}
			},
		},
	}
	go func() { _ = srv.Serve(ctx, l) }()
	return l.Addr().String()
}

func TestClient(t *testing.T) {
	ctx := context.Background()
	right := func() string { return "secret" }

	Convey("A unary call returns the response and reuses its connection", t, func() {
		c := &dragonflyrpcclient.Client{Addr: serveEcho(t, "secret"), Key: right, Connections: 1}
		for range 3 {
			res, err := c.Call(ctx, "/echo", []byte("hello"))
			So(err, ShouldBeNil)
			So(string(res), ShouldEqual, "hello")
		}
	})
	Convey("The server rejects a wrong key", t, func() {
		c := &dragonflyrpcclient.Client{Addr: serveEcho(t, "secret"), Key: func() string { return "wrong" }}
		_, err := c.Call(ctx, "/echo", []byte("hello"))
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "internal key")
	})
	Convey("A call beyond the maximum number of connections fails until a stream is closed", t, func() {
		c := &dragonflyrpcclient.Client{Addr: serveEcho(t, "secret"), Key: right, Connections: 1}
		s, err := c.Open(ctx, "/stream")
		So(err, ShouldBeNil)
		So(s.Send([]byte("one")), ShouldBeNil)
		msg, err := s.Receive()
		So(err, ShouldBeNil)
		So(string(msg), ShouldEqual, "one")

		_, err = c.Open(ctx, "/stream")
		So(errors.Is(err, dragonflyrpcclient.ErrBusy), ShouldBeTrue)
		So(s.Close(), ShouldBeNil)
		_, err = c.Call(ctx, "/echo", []byte("two"))
		So(err, ShouldBeNil)
	})
	Convey("A stream that its caller cancels ends with a cancellation", t, func() {
		c := &dragonflyrpcclient.Client{Addr: serveEcho(t, "secret"), Key: right}
		called, cancel := context.WithCancel(ctx)
		s, err := c.Open(called, "/stream")
		So(err, ShouldBeNil)
		cancel()
		_, err = s.Receive()
		So(errors.Is(err, context.Canceled), ShouldBeTrue)
	})
	Convey("A stream whose peer closes the connection does not end with a cancellation", t, func() {
		sent := make(chan struct{})
		s := openClosing(ctx, &dragonflyrpcclient.Client{Key: right}, sent)
		So(s.Send([]byte("one")), ShouldBeNil)
		close(sent)
		_, err := s.Receive()
		So(errors.Is(err, dragonflyrpcstream.ErrPeerClosed), ShouldBeTrue)
	})
	Convey("A message that the peer does not take before it closes the connection does not end with a cancellation", t, func() {
		opened := make(chan struct{})
		s := openClosing(ctx, &dragonflyrpcclient.Client{Key: right}, opened)
		time.AfterFunc(20*time.Millisecond, func() { close(opened) })
		err := s.Send(make([]byte, 16<<20))
		So(err, ShouldNotBeNil)
		So(errors.Is(err, context.Canceled), ShouldBeFalse)
	})
	Convey("A call to a peer that doesn't listen fails with ErrNotSent", t, func() {
		c := &dragonflyrpcclient.Client{Addr: "127.0.0.1:1"}
		_, err := c.Call(ctx, "/echo", nil)
		So(errors.Is(err, dragonflyrpcclient.ErrNotSent), ShouldBeTrue)
	})
}

// openClosing opens a stream of c to a peer that closes its side of the connection once
// mayClose is closed.
func openClosing(ctx context.Context, c *dragonflyrpcclient.Client, mayClose <-chan struct{}) *dragonflyrpcstream.Stream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	Reset(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err == nil {
			<-mayClose
			_ = conn.(*net.TCPConn).CloseWrite()
		}
	}()
	c.Addr = l.Addr().String()
	s, err := c.Open(ctx, "/stream")
	So(err, ShouldBeNil)
	return s
}

// silentConn is a connection on which nothing arrives any more once it is silent, in either
// direction, while its ends stay open.
type silentConn struct {
	net.Conn
	silent atomic.Bool
}

func (c *silentConn) Write(p []byte) (n int, err error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// TestSilentConnection guards against a peer that cannot be reached for good, or for several
// calls, because the connections to it have gone silent: new ones work.
func TestSilentConnection(t *testing.T) {
	Convey("Given a client whose connections have gone silent", t, func() {
		addr := serveEcho(t, "")
		var mu sync.Mutex
		var conns []*silentConn
		c := &dragonflyrpcclient.Client{Addr: addr, Connections: 2, Dial: func(ctx context.Context, timeout dragonflyduration.Duration) (net.Conn, error) {
			d := net.Dialer{Timeout: time.Duration(timeout)}
			conn, err := d.DialContext(ctx, "tcp", addr)
			mu.Lock()
			defer mu.Unlock()
			conns = append(conns, &silentConn{Conn: conn})
			return conns[len(conns)-1], err
		}}
		call := func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			_, err := c.Call(ctx, "/echo", []byte("hello"))
			return err
		}
		s, err := c.Open(context.Background(), "/stream") // so that the call needs another connection
		So(err, ShouldBeNil)
		So(call(), ShouldBeNil)
		So(s.Close(), ShouldBeNil)
		So(conns, ShouldHaveLength, 2)
		for _, conn := range conns {
			conn.silent.Store(true)
		}
		So(call(), ShouldNotBeNil)

		Convey("the call after the first that is not answered uses a new one", func() {
			So(call(), ShouldBeNil)
			So(conns, ShouldHaveLength, 3)
		})
	})
}
