package dragonflyrpcserver_test

import (
	"context"
	"net"
	"testing"

	"dragonflyrelay.example/library/common/dragonflypool"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	"dragonflyrelay.example/library/common/dragonflyrpcserver"
	"dragonflyrelay.example/library/common/dragonflyrpcstream"
	. "github.com/smartystreets/goconvey/convey"
)

// TestPanic guards against a process that ends with one message that its handler does not
// expect.
func TestPanic(t *testing.T) {
	Convey("A call that panics is an error, and later calls are served", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(context.Background())
		Reset(cancel)
		srv := &dragonflyrpcserver.Server{
			Pool: &dragonflypool.Pool{},
			Unary: map[string]func(context.Context, []byte) ([]byte, error){
				"/panic": func(context.Context, []byte) ([]byte, error) { panic("unexpected value") },
				"/echo":  func(_ context.Context, req []byte) ([]byte, error) { return req, nil },
			},
			Streams: map[string]func(*dragonflyrpcstream.Stream) error{
				"/stream": func(*dragonflyrpcstream.Stream) error { panic("unexpected value") },
			},
		}
		go func() { _ = srv.Serve(ctx, l) }()
		c := &dragonflyrpcclient.Client{Addr: l.Addr().String(), Connections: 1}
		for _, rpc := range []string{"/panic", "/stream"} {
			_, err = c.Call(ctx, rpc, []byte("x"))
			So(err, ShouldNotBeNil)
		}
		res, err := c.Call(ctx, "/echo", []byte("x"))
		So(err, ShouldBeNil)
		So(string(res), ShouldEqual, "x")
	})
}
