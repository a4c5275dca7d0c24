package dragonflyboundedlistener_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"dragonflyrelay.example/library/common/dragonflyboundedlistener"
	"dragonflyrelay.example/library/common/dragonflyreservations"
	. "github.com/smartystreets/goconvey/convey"
)

// server accepts the connections of a listener and keeps them.
type server struct {
	addr  string
	conns chan net.Conn
}

func newServer(l *dragonflyboundedlistener.Listener) *server {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	Reset(func() { _ = inner.Close() })
	l.Listener = inner
	s := &server{addr: inner.Addr().String(), conns: make(chan net.Conn, 16)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns <- c
		}
	}()
	return s
}

// dial returns both ends of a new connection.
func (s *server) dial() (caller, accepted net.Conn) {
	c, err := net.Dial("tcp", s.addr)
	So(err, ShouldBeNil)
	Reset(func() { _ = c.Close() })
	select {
	case accepted = <-s.conns:
	case <-time.After(5 * time.Second):
		So("a connection", ShouldEqual, "accepted")
	}
	return c, accepted
}

func setBusy(c net.Conn, busy bool) {
	dragonflyboundedlistener.SetBusy(dragonflyboundedlistener.WithConn(context.Background(), c), busy)
}

// assertClosed checks whether the server has closed the connection.
func assertClosed(c net.Conn, closed bool) {
	wait := 100 * time.Millisecond
	if closed {
		wait = 5 * time.Second
	}
	So(c.SetReadDeadline(time.Now().Add(wait)), ShouldBeNil)
	_, err := c.Read(make([]byte, 1))
	if closed {
		So(isTimeout(err), ShouldBeFalse)
		return
	}
	So(isTimeout(err), ShouldBeTrue)
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

// TestConnections guards against connections that take all descriptors, and against one that
// is closed while its request runs.
func TestConnections(t *testing.T) {
	Convey("The connection that is inactive for longest is closed for a new one", t, func() {
		s := newServer(&dragonflyboundedlistener.Listener{Name: "test", MaxConnections: 2})
		first, accepted := s.dial()
		second, _ := s.dial()
		_, err := first.Write([]byte("x"))
		So(err, ShouldBeNil)
		_, err = io.ReadFull(accepted, make([]byte, 1))
		So(err, ShouldBeNil)
		third, _ := s.dial()
		assertClosed(second, true)
		assertClosed(first, false)
		assertClosed(third, false)
	})
	Convey("A connection is replaced only once the server has ended it", t, func() {
		l := &dragonflyboundedlistener.Listener{Name: "test", MaxConnections: 1}
		s := newServer(l)
		_, accepted := s.dial()
		ended := make(chan struct{})
		go func() {
			_, _ = accepted.Read(make([]byte, 1))
			time.Sleep(20 * time.Millisecond) // The server still has the memory of the request.
			close(ended)
			_ = accepted.Close()
		}()
		_, _ = s.dial()
		select {
		case <-ended:
		default:
			So("the new connection", ShouldEqual, "accepted after the end of the first")
		}
	})
	Convey("Busy connections stay, and new ones are refused beside them", t, func() {
		s := newServer(&dragonflyboundedlistener.Listener{Name: "test", MaxConnections: 1})
		first, accepted := s.dial()
		setBusy(accepted, true)
		refused, err := net.Dial("tcp", s.addr)
		So(err, ShouldBeNil)
		assertClosed(refused, true)
		assertClosed(first, false)
		setBusy(accepted, false)
		_, _ = s.dial()
		assertClosed(first, true)
	})
}

// TestCloseWrite guards against a refusal whose end is not seen by a caller that still sends.
func TestCloseWrite(t *testing.T) {
	Convey("The server can end its side of a connection and keep reading", t, func() {
		s := newServer(&dragonflyboundedlistener.Listener{Name: "test"})
		caller, accepted := s.dial()
		c, ok := accepted.(interface{ CloseWrite() error })
		So(ok, ShouldBeTrue)
		So(c.CloseWrite(), ShouldBeNil)
		_, err := caller.Read(make([]byte, 1))
		So(err, ShouldEqual, io.EOF)
		_, err = caller.Write([]byte("x"))
		So(err, ShouldBeNil)
		_, err = io.ReadFull(accepted, make([]byte, 1))
		So(err, ShouldBeNil)
	})
}

// TestMemory guards against messages that exceed the memory of the process together.
func TestMemory(t *testing.T) {
	newMemory := func() *dragonflyreservations.Reservations {
		return &dragonflyreservations.Reservations{Name: "test", Limit: 8 << 20}
	}
	// countAll is the charge of a protocol in which all that is read belongs to one message.
	countAll := func() func(read []byte) int64 {
		sum := int64(0)
		return func(read []byte) int64 {
			sum += int64(len(read))
			return sum
		}
	}
	// send writes n bytes, which the server reads. It returns the error of the server.
	send := func(caller, accepted net.Conn, n int) error {
		go func() { _, _ = caller.Write(make([]byte, n)) }()
		_, err := io.CopyBuffer(struct{ io.Writer }{io.Discard}, struct{ io.Reader }{io.LimitReader(accepted, int64(n))}, make([]byte, 4<<10))
		return err
	}
	Convey("A message that does not end is closed for one that arrives", t, func() {
		s := newServer(&dragonflyboundedlistener.Listener{Name: "test", Memory: newMemory(), NewCharge: countAll})
		first, accepted := s.dial()
		So(send(first, accepted, 5<<20), ShouldBeNil)
		go func() { // A server reads on, and closes the connection once that fails.
			_, _ = io.Copy(io.Discard, accepted)
			_ = accepted.Close()
		}()
		second, other := s.dial()
		So(send(second, other, 4<<20), ShouldBeNil)
		assertClosed(first, true)
		assertClosed(second, false)
	})
	Convey("A message that alone exceeds the memory is closed", t, func() {
		s := newServer(&dragonflyboundedlistener.Listener{Name: "test", Memory: newMemory(), NewCharge: countAll})
		caller, accepted := s.dial()
		So(send(caller, accepted, 9<<20), ShouldNotBeNil)
		assertClosed(caller, true)
	})
}
