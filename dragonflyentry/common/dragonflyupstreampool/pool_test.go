package dragonflyupstreampool_test

import (
	"context"
	"net"
	"testing"
	"time"

	"dragonflyrelay.example/dragonflyentry/common/dragonflyupstreampool"
	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	. "github.com/smartystreets/goconvey/convey"
)

// newUpstream returns the endpoint of a listener and the connections that it accepts.
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

// assertReused checks whether the connection that Get returns is a kept one, and returns
// it.
func assertReused(p *dragonflyupstreampool.Pool, e dragonflyendpoint.Endpoint, want bool) *net.TCPConn {
	c, reused, err := p.Get(context.Background(), e)
	So(err, ShouldBeNil)
	So(reused, ShouldEqual, want)
	return c
}

// TestPool guards against requests on connections that are closed, hold unread bytes or
// belong to another upstream.
func TestPool(t *testing.T) {
	Convey("An idle connection is reused for one request at a time", t, func() {
		p := &dragonflyupstreampool.Pool{}
		e, _ := newUpstream()
		p.Put(e, assertReused(p, e, false), time.Minute)
		assertReused(p, e, true)
		assertReused(p, e, false)
	})
	Convey("A connection that the upstream has closed or written to is not reused", t, func() {
		p := &dragonflyupstreampool.Pool{}
		e, accepted := newUpstream()
		for _, spoil := range []func(c net.Conn){
			func(c net.Conn) { _ = c.Close() },
			func(c net.Conn) { _, _ = c.Write([]byte("late")) },
		} {
			conn := assertReused(p, e, false)
			p.Put(e, conn, time.Minute)
			spoil(<-accepted)
			// Get peeks at the connection, so the end of file or the bytes must have arrived.
			time.Sleep(100 * time.Millisecond)
			_ = assertReused(p, e, false).Close()
			<-accepted
		}
	})
	Convey("A connection is not reused for another boot at the same address, nor after a sweep without its upstream", t, func() {
		p := &dragonflyupstreampool.Pool{}
		e, _ := newUpstream()
		p.Put(e, assertReused(p, e, false), time.Minute)
		next := e
		next.Boot = 2
		assertReused(p, next, false)
		p.Sweep([]dragonflyendpoint.Endpoint{next})
		assertReused(p, e, false)
	})
	Convey("A connection is not reused after the machine was suspended for longer than it is kept", t, func() {
		now := dragonflyinstant.Instant(1)
		p := &dragonflyupstreampool.Pool{Clock: dragonflyclock.Clock{Read: func() dragonflyinstant.Instant { return now }}}
		e, _ := newUpstream()
		p.Put(e, assertReused(p, e, false), 5*time.Second)
		now = now.Add(4 * dragonflyduration.Second)
		p.Put(e, assertReused(p, e, true), 5*time.Second)
		now = now.Add(5 * dragonflyduration.Second)
		assertReused(p, e, false)
	})
	Convey("A connection that the upstream is about to close is not kept", t, func() {
		p := &dragonflyupstreampool.Pool{}
		e, _ := newUpstream()
		p.Put(e, assertReused(p, e, false), 500*time.Millisecond)
		assertReused(p, e, false)
	})
}
