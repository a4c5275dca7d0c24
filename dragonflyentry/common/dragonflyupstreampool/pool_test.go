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

// newUpstream accepts connections and hands them out.
func newUpstream() (e dragonflyendpoint.Endpoint, accepted chan net.Conn) {
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

// assertReused guards whether a connection is a kept one.
func assertReused(p *dragonflyupstreampool.Pool, e dragonflyendpoint.Endpoint, want bool) *net.TCPConn {
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
		e, _ := newUpstream()
		p.Put(e, assertReused(p, e, false), time.Minute)
		assertReused(p, e, true)
		assertReused(p, e, false)
	})
	Convey("One that the upstream has closed or written to is not", t, func() {
		p := &dragonflyupstreampool.Pool{}
		e, accepted := newUpstream()
		for _, spoil := range []func(c net.Conn){
			func(c net.Conn) { _ = c.Close() },
			func(c net.Conn) { _, _ = c.Write([]byte("late")) },
		} {
			conn := assertReused(p, e, false)
			p.Put(e, conn, time.Minute)
			spoil(<-accepted)
			// The end or the bytes are there once a peek sees them.
			time.Sleep(100 * time.Millisecond)
			_ = assertReused(p, e, false).Close()
			<-accepted
		}
	})
	Convey("One is not used for another boot at the same address, nor after it was swept", t, func() {
		p := &dragonflyupstreampool.Pool{}
		e, _ := newUpstream()
		p.Put(e, assertReused(p, e, false), time.Minute)
		next := e
		next.Boot = 2
		assertReused(p, next, false)
		p.Sweep([]dragonflyendpoint.Endpoint{next})
		assertReused(p, e, false)
	})
	Convey("One that the upstream is about to close is not kept", t, func() {
		p := &dragonflyupstreampool.Pool{}
		e, _ := newUpstream()
		p.Put(e, assertReused(p, e, false), 500*time.Millisecond)
		assertReused(p, e, false)
	})
}
