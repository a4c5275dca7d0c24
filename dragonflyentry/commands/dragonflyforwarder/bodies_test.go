package dragonflyforwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dragonflyrelay.example/dragonflyentry/values/dragonflyforwardsettings"
	. "github.com/smartystreets/goconvey/convey"
)

// newBodyEntry returns an entry with memory bytes for bodies, which refuses bodies that stop
// for 200 ms.
func newBodyEntry(memory int64, u *upstream) *entry {
	return newEntryWithSettings(func(s *dragonflyforwardsettings.Settings) {
		s.BodyMemory, s.BodyStall = memory, durationOf(200*time.Millisecond)
	}, 0, nil, nil, u.endpoint("a", "app"))
}

// caller is a connection on which a test writes requests itself.
type caller struct {
	net.Conn
	br *bufio.Reader
}

func (e *entry) dial() caller {
	c, err := net.Dial("tcp", e.addr)
	So(err, ShouldBeNil)
	Reset(func() { _ = c.Close() })
	So(c.SetDeadline(time.Now().Add(5*time.Second)), ShouldBeNil)
	return caller{c, bufio.NewReader(c)}
}

// send writes the head of a request with the given lines, and a part of its body.
func (c caller) send(lines, body string) {
	_, _ = io.WriteString(c, "POST /once/1 HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\nX-Attempt-Id: b\r\n"+lines+"\r\n\r\n"+body)
}

// assertAnswer checks the status of the next response and whether its connection is closed.
func (c caller) assertAnswer(status int, closed bool) {
	resp, err := http.ReadResponse(c.br, nil)
	So(err, ShouldBeNil)
	_, err = io.Copy(io.Discard, resp.Body)
	So(err, ShouldBeNil)
	_ = resp.Body.Close()
	So(resp.StatusCode, ShouldEqual, status)
	So(resp.Close, ShouldEqual, closed)
	if closed {
		_, err = c.br.ReadByte()
		So(err, ShouldNotBeNil)
	}
}

// TestIncompleteBodies guards against bodies that are awaited for ever, against refusals of
// requests that are sent on all the same, and against limits that hit the next request.
func TestIncompleteBodies(t *testing.T) {
	Convey("A body that stops is refused, and its request is not sent", t, func() {
		u := newUpstream(plainResponse("x"))
		c := newBodyEntry(0, u).dial()
		c.send("Content-Length: 10", "abc")
		c.assertAnswer(503, true)
		So(u.requests(), ShouldBeEmpty)
	})
	Convey("A body over the limit is refused, if it was announced without a byte of it", t, func() {
		u := newUpstream(plainResponse("x"))
		e := newBodyEntry(0, u)
		c := e.dial()
		c.send("Content-Length: 100001", "")
		c.assertAnswer(413, true)
		c = e.dial()
		c.send("Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s", 100_001, strings.Repeat("x", 100_001)))
		c.assertAnswer(413, true)
		So(u.requests(), ShouldBeEmpty)
	})
	Convey("A request that is refused for another reason does not await its body", t, func() {
		u := newUpstream(plainResponse("x"))
		c := newBodyEntry(0, u).dial()
		_, _ = io.WriteString(c, "POST /none HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\nContent-Length: 10\r\n\r\nabc")
		resp, err := http.ReadResponse(c.br, nil)
		So(err, ShouldBeNil)
		_ = resp.Body.Close()
		So(resp.StatusCode, ShouldEqual, 404)
	})
	Convey("The time limit of a body ends with it", t, func() {
		u := newUpstream(func(conn net.Conn, r *http.Request) {
			time.Sleep(400 * time.Millisecond)
			plainResponse("x")(conn, r)
		})
		c := newBodyEntry(0, u).dial()
		for range 2 {
			c.send("Content-Length: 6", "abc")
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(c, "def")
			c.assertAnswer(200, false)
			time.Sleep(400 * time.Millisecond)
		}
		So(u.requests(), ShouldHaveLength, 2)
	})
}

// TestBodyMemory guards against ordinary callers that get no room beside others that hold it,
// and against responses that are lost for want of memory.
func TestBodyMemory(t *testing.T) {
	Convey("The largest and slowest bodies give way with 503, and an ordinary one is served", t, func() {
		u := newUpstream(plainResponse("x"))
		e := newEntryWithSettings(func(s *dragonflyforwardsettings.Settings) { s.BodyMemory = 400_000 }, 0, nil, nil, u.endpoint("a", "app"))
		first := e.dial()
		first.send("Content-Length: 100000", strings.Repeat("x", 99_999))
		time.Sleep(100 * time.Millisecond)
		for range 10 {
			e.dial().send("Content-Length: 100000", strings.Repeat("x", 99_999))
		}
		first.assertAnswer(503, true)
		assertResponse(e, "/once/1", 200, "x")
		So(u.requests(), ShouldHaveLength, 1)
	})
	Convey("A response without room is passed on as it arrives", t, func() {
		text := strings.Repeat("response", 40_000)
		u := newUpstream(plainResponse(text))
		e := newBodyEntry(100_000, u)
		assertResponse(e, "/once/1", 200, text)
		assertResponse(e, "/once/2", 200, text)
	})
}

// TestBrokenLargeResponse guards against a long response that breaks off before any of it was
// passed on, and that is cut short for the caller instead of being requested elsewhere.
func TestBrokenLargeResponse(t *testing.T) {
	Convey("A large response that breaks off early is replaced by another one", t, func() {
		u := newUpstream(func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, responseHead(r, "200 OK", "Content-Length: 2000000\r\n\r\npart"))
			_ = c.Close()
		}, plainResponse("x"))
		e := newEntry(u.endpoint("a", "app"), u.endpoint("b", "app"))
		status, text, err := e.call("GET", "/read/1")
		So(err, ShouldBeNil)
		So(status, ShouldEqual, 200)
		So(text, ShouldEqual, "x")
	})
}

// TestResponseWithoutBody guards against requests without a body that are closed for others
// after they have been sent.
func TestResponseWithoutBody(t *testing.T) {
	Convey("A request without a body keeps the memory of its response for a body that arrives", t, func() {
		started, finish := make(chan struct{}), make(chan struct{})
		half := strings.Repeat("x", 45_000)
		u := newUpstream(func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, responseHead(r, "200 OK", fmt.Sprintf("Content-Length: %d\r\n\r\n", 2*len(half)))+half)
			close(started)
			<-finish
			_, _ = io.WriteString(c, half)
		}, plainResponse("x"))
		e := newBodyEntry(120_000, u)
		c := e.dial()
		_, _ = io.WriteString(c, "GET /once/1 HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\nX-Attempt-Id: a\r\n\r\n")
		<-started
		time.Sleep(100 * time.Millisecond)
		e.dial().send("Content-Length: 60000", strings.Repeat("x", 59_999))
		time.Sleep(50 * time.Millisecond)
		close(finish)
		c.assertAnswer(200, false)
	})
}
