package dragonflyagentserver

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// pausedOnce returns a clock whose first value is older than writeTimeout, as for a
// process that is paused after it has read the clock.
func pausedOnce() func() time.Time {
	paused := false
	return func() time.Time {
		if !paused {
			paused = true
			return time.Now().Add(-2 * writeTimeout)
		}
		return time.Now()
	}
}

// connect returns both ends of a loopback connection; the server's end is as the
// listener accepts it.
func connect() (server, client net.Conn) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	l := listener{tcp}
	defer func() { _ = l.Close() }()
	client, err = net.Dial("tcp", l.Addr().String())
	So(err, ShouldBeNil)
	server, err = l.Accept()
	So(err, ShouldBeNil)
	Reset(func() {
		_ = server.Close()
		_ = client.Close()
	})
	return server, client
}

// TestBoundedConn guards against streams that end because the agent was paused during
// a write, and against writes that wait for a peer that does not read.
func TestBoundedConn(t *testing.T) {
	Convey("A process that was paused during a write completes it", t, func() {
		server, client := connect()
		n, err := boundedConn{server.(boundedConn).Conn, pausedOnce()}.Write([]byte("token"))
		So(err, ShouldBeNil)
		So(n, ShouldEqual, 5)
		got := make([]byte, 5)
		_, err = io.ReadFull(client, got)
		So(err, ShouldBeNil)
		So(string(got), ShouldEqual, "token")
	})
	Convey("A peer that does not read fails the write", t, func() {
		server, _ := connect()
		began := time.Now()
		_, err := boundedConn{server.(boundedConn).Conn, pausedOnce()}.Write(make([]byte, 64<<20))
		So(err, ShouldNotBeNil)
		So(time.Since(began), ShouldBeLessThan, writeTimeout)
	})
	Convey("Little data waits for a peer that does not read", t, func() {
		const readBufferBytes = 64 << 10
		server, client := connect()
		So(client.(*net.TCPConn).SetReadBuffer(readBufferBytes), ShouldBeNil)
		So(server.SetWriteDeadline(time.Now().Add(2*time.Second)), ShouldBeNil)
		sent := 0
		for err := error(nil); err == nil && sent < 16<<20; {
			var n int
			n, err = server.(boundedConn).Conn.Write(make([]byte, 256))
			sent += n
		}
		// Linux doubles the requested size of a buffer.
		So(sent, ShouldBeLessThanOrEqualTo, 2*(writeBufferBytes+readBufferBytes))
	})
}
