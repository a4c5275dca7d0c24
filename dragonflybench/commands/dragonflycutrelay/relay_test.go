package dragonflycutrelay_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"dragonflyrelay.example/dragonflybench/commands/dragonflycutrelay"
	"dragonflyrelay.example/library/common/dragonflypool"
	. "github.com/smartystreets/goconvey/convey"
)

// greeting is a message with the name "p1".
const greeting = "\x62p1 hello"

// assertReceived checks what arrives on c within a short time, "" for nothing.
func assertReceived(c net.Conn, want string) {
	buf := make([]byte, 100)
	So(c.SetReadDeadline(time.Now().Add(100*time.Millisecond)), ShouldBeNil)
	n, _ := c.Read(buf)
	So(string(buf[:n]), ShouldEqual, want)
}

// TestCutOff guards against a process that reaches another one though it is cut off, and
// against one that is cut off for good.
func TestCutOff(t *testing.T) {
	Convey("Given a relay before an echo server", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		Reset(func() { _ = l.Close() })
		accepted := make(chan net.Conn, 10)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				accepted <- c
			}
		}()
		free, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		addr := free.Addr().String()
		So(free.Close(), ShouldBeNil)
		r := &dragonflycutrelay.Relay{Listen: addr, Target: l.Addr().String(), Pool: &dragonflypool.Pool{Name: "test"}, Exempt: "exempt"}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- r.Run(ctx) }()
		Reset(func() {
			cancel()
			<-done
		})
		dial := func() net.Conn {
			c, err := net.Dial("tcp", addr)
			for end := time.Now().Add(2 * time.Second); err != nil && time.Now().Before(end); c, err = net.Dial("tcp", addr) {
				time.Sleep(5 * time.Millisecond)
			}
			So(err, ShouldBeNil)
			Reset(func() { _ = c.Close() })
			return c
		}
		send := func(c net.Conn, s string) {
			_, err := c.Write([]byte(s))
			So(err, ShouldBeNil)
		}
		c := dial()
		send(c, greeting)
		server := <-accepted
		assertReceived(server, greeting)

		Convey("what is sent on an open connection arrives after the cut, also if it is closed", func() {
			r.SetCutOff("p1", true)
			send(c, "a")
			send(server, "b")
			assertReceived(server, "")
			assertReceived(c, "")
			So(c.(*net.TCPConn).CloseWrite(), ShouldBeNil)
			r.SetCutOff("p1", false)
			assertReceived(server, "a")
		})
		Convey("what is sent on a new connection is lost", func() {
			r.SetCutOff("p1", true)
			c := dial()
			send(c, greeting)
			server := <-accepted
			assertReceived(server, "")
			r.SetCutOff("p1", false)
			assertReceived(server, "")
		})
		Convey("other processes are not cut off", func() {
			r.SetCutOff("p10", true)
			r.SetCutOff("p", true)
			send(c, "a")
			assertReceived(server, "a")
		})
		Convey("what is held in one direction arrives afterwards, and the other direction works", func() {
			r.Hold(true, false)
			send(c, "a")
			send(server, "b")
			assertReceived(server, "")
			assertReceived(c, "b")
			r.Hold(false, true)
			assertReceived(server, "a")
			send(server, "c")
			assertReceived(c, "")
			r.Hold(false, false)
			assertReceived(c, "c")
		})
		Convey("a connection that is opened while answers are held is lost", func() {
			r.Hold(false, true)
			c := dial()
			send(c, greeting)
			assertReceived(<-accepted, "")
			r.Hold(false, false)
			assertReceived(c, "")
		})
		Convey("an exempt connection is neither held nor silenced", func() {
			r.Hold(true, true)
			c := dial()
			send(c, "exempt")
			server := <-accepted
			assertReceived(server, "exempt")
			r.Silence()
			send(server, "a")
			assertReceived(c, "a")
		})
		Convey("an open connection is silent for good, also about its end, and a new one works", func() {
			r.Silence()
			send(c, "a")
			assertReceived(server, "")
			So(c.Close(), ShouldBeNil)
			assertReceived(server, "")
			_, err := server.Read(make([]byte, 1))
			So(err, ShouldNotEqual, io.EOF)
			c := dial()
			send(c, greeting)
			assertReceived(<-accepted, greeting)
		})
	})
}
