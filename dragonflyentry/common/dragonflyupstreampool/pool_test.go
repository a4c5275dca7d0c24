package dragonflyupstreampool_test

import (
	"context"
	"net"
	"testing"
	"time"

	"dragonflyrelay.example/dragonflyentry/common/dragonflyupstreampool"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	. "github.com/smartystreets/goconvey/convey"
)

// upstream accepts connections and hands them out.
func upstream() (e dragonflyendpoint.Endpoint, accepted chan net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	accepted = make(chan net.Conn, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	Reset(func() { _ = l.Close() })
	return dragonflyendpoint.Endpoint{ID: "u", Boot: 1, Address: l.Addr().String()}, accepted
}

// assertUsed guards whether a connection is a kept one.
func assertUsed(p *dragonflyupstreampool.Pool, e dragonflyendpoint.Endpoint, want bool) *net.TCPConn {
	c, used, err := p.Get(context.Background(), e)
	So(err, ShouldBeNil)
	So(used, ShouldEqual, want)
	return c
}

// TestPool guards against requests on connections that are dead, dirty or belong to
// another upstream.
func TestPool(t *testing.T) {
	Convey("An idle connection is used again, one at a time", t, func() {
		p := &dragonflyupstreampool.Pool{}
		e, _ := upstream()
		p.Put(e, assertUsed(p, e, false), time.Minute)
		assertUsed(p, e, true)
		assertUsed(p, e, false)
	})
	Convey("One that the upstream has closed or written to is not", t, func() {
		p := &dragonflyupstreampool.Pool{}
		e, accepted := upstream()
		for _, spoil := range []func(c net.Conn){
			func(c net.Conn) { _ = c.Close() },
			func(c net.Conn) { _, _ = c.Write([]byte("late")) },
		} {
			conn := assertUsed(p, e, false)
			p.Put(e, conn, time.Minute)
			spoil(<-accepted)
			// The end or the bytes are there once a peek sees them.
			time.Sleep(100 * time.Millisecond)
			_ = assertUsed(p, e, false).Close()
			<-accepted
		}
	})
	Convey("One is not used for another boot at the same address, nor after it was swept", t, func() {
		p := &dragonflyupstreampool.Pool{}
		e, _ := upstream()
		p.Put(e, assertUsed(p, e, false), time.Minute)
		next := e
		next.Boot = 2
		assertUsed(p, next, false)
		p.Sweep([]dragonflyendpoint.Endpoint{next})
		assertUsed(p, e, false)
	})
	Convey("One that the upstream is about to close is not kept", t, func() {
		p := &dragonflyupstreampool.Pool{}
		e, _ := upstream()
		p.Put(e, assertUsed(p, e, false), 500*time.Millisecond)
		assertUsed(p, e, false)
	})
}
