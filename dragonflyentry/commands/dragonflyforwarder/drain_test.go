package dragonflyforwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// callSlowly sends the head of a request and calls during. It sends the body after that, and
// returns the response, whose status is 0 if there was none, with its whole body.
func (e *entry) callSlowly(path string, during func()) (resp http.Response, body string) {
	c, err := net.Dial("tcp", e.addr)
	So(err, ShouldBeNil)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\nX-Attempt-Id: %s\r\nContent-Length: 4\r\n\r\nbo", path, path)
	So(err, ShouldBeNil)
	time.Sleep(50 * time.Millisecond)
	during()
	_, err = io.WriteString(c, "dy")
	So(err, ShouldBeNil)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return resp, ""
	}
	defer func() { _ = r.Body.Close() }()
	raw, err := io.ReadAll(r.Body)
	So(err, ShouldBeNil)
	return *r, string(raw)
}

// assertLateRequest sends a request whose body ends at the given time after the shutdown has
// begun, and checks its status and how many requests reach the upstream, which answers after
// a while.
func assertLateRequest(path string, after, answerTime time.Duration, status, sends int) {
	u := newUpstream(func(c net.Conn, r *http.Request) {
		time.Sleep(answerTime)
		plainResponse("late")(c, r)
	})
	e := newEntry(u.endpoint("a", "app"), u.endpoint("b", "llm"))
	resp, _ := e.callSlowly(path, func() {
		e.stop()
		time.Sleep(after)
	})
	So(resp.StatusCode, ShouldEqual, status)
	So(resp.Close, ShouldBeTrue)
	So(u.requests(), ShouldHaveLength, sends)
	if status == http.StatusServiceUnavailable {
		So(resp.Header.Get("Retry-After"), ShouldEqual, "0.010")
	}
}

// TestLateRequests guards against requests that are taken late in a shutdown, passed on and
// cut off without an answer at its end. The grace period of the tests is 2 s, and requests
// in progress end after 1.6 s.
func TestLateRequests(t *testing.T) {
	Convey("A request that may take longer than the shutdown is refused and not passed on", t, func() {
		assertLateRequest("/stream/1", 1200*time.Millisecond, 0, 503, 0)
	})
	Convey("A request that arrives while the load balancer may still open connections is served", t, func() {
		assertLateRequest("/once/1", 300*time.Millisecond, 100*time.Millisecond, 200, 1)
		assertLateRequest("/once/1", 700*time.Millisecond, 100*time.Millisecond, 200, 1)
	})
	Convey("A call that is in progress at the end gets an answer", t, func() {
		assertLateRequest("/once/1", 900*time.Millisecond, time.Minute, 504, 1)
	})
	Convey("A request whose time limit lies after the end gets an answer at the end", t, func() {
		began := time.Now()
		assertLateRequest("/stream/1", 100*time.Millisecond, time.Minute, 504, 1)
		So(time.Since(began), ShouldBeBetween, 1500*time.Millisecond, 2100*time.Millisecond)
	})
}
