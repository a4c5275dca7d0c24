package dragonflyforwarder_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dragonflyrelay.example/library/common/dragonflycompression"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	. "github.com/smartystreets/goconvey/convey"
)

// TestRevokedWhileWaiting guards against requests that are sent by a key or a route that the
// document in force has taken away while they waited for an endpoint.
func TestRevokedWhileWaiting(t *testing.T) {
	for name, c := range map[string]struct {
		old, new string
		status   int
	}{
		"A key that is revoked gets 401":   {`"k1"`, `"k2"`, 401},
		"A route that is removed gets 404": {`"path_prefix":"/stream/"`, `"path_prefix":"/gone/"`, 404},
	} {
		Convey(name, t, func() {
			So(document, ShouldContainSubstring, c.old)
			packed, err := dragonflycompression.Compress([]byte(strings.Replace(document, c.old, c.new, 1)))
			So(err, ShouldBeNil)
			back, next, revoked := &returning{}, make(chan []dragonflyendpoint.Endpoint, 1), atomic.Bool{}
			amend := func(q dragonflyfollowrequest.Request, n *dragonflyfollowresponse.Response) {
				back.amend(q, n)
				if revoked.Load() {
					n.Version, n.Content = 2, packed
				}
			}
			u, v := newUpstream(plainResponse("ok")), newUpstream(streamResponse(1, 3, true))
			back.expect(1500 * time.Millisecond)
			e := newEntryWithMemory(waitingMemory, 0, next, amend, u.endpoint("a", "app"))
			time.AfterFunc(100*time.Millisecond, func() { revoked.Store(true) })
			// The table comes only after the document.
			time.AfterFunc(1200*time.Millisecond, func() {
				next <- []dragonflyendpoint.Endpoint{u.endpoint("a", "app"), v.endpoint("b", "llm")}
			})
			status, _, _ := e.timedCall("/stream/1", "k1")
			So(status, ShouldEqual, c.status)
			So(v.requests(), ShouldHaveLength, 0)
		})
	}
}

// TestLargeBodyWithoutDocument guards against a final refusal by the default limit of bodies
// while the document, which may allow more, is not known.
func TestLargeBodyWithoutDocument(t *testing.T) {
	Convey("A body above the default limit gets 503 while no document is known", t, func() {
		c := &returning{leads: time.Now().Add(time.Minute)}
		e := newEntryWithMemory(waitingMemory, time.Nanosecond, nil, c.amend)
		conn, err := net.Dial("tcp", e.addr)
		So(err, ShouldBeNil)
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprint(conn, "POST /once/1 HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\nX-Attempt-Id: 1\r\nContent-Length: 6000000\r\n\r\n")
		So(err, ShouldBeNil)
		go func() { _, _ = conn.Write(make([]byte, 6000000)) }()
		r, err := http.ReadResponse(bufio.NewReader(conn), nil)
		So(err, ShouldBeNil)
		_ = r.Body.Close()
		So(r.StatusCode, ShouldEqual, 503)
	})
}

// TestKeyLeaseWhileWaiting guards against a request that is sent after the key lease has
// ended while it waited for an endpoint that this entry could not reach.
func TestKeyLeaseWhileWaiting(t *testing.T) {
	Convey("A request that waits beyond the key lease is not sent", t, func() {
		c := &returning{}
		v := newUpstream(streamResponse(1, 3, true))
		addr := v.l.Addr().String()
		So(v.l.Close(), ShouldBeNil)
		c.expect(2500 * time.Millisecond)
		lost := atomic.Bool{}
		amend := func(q dragonflyfollowrequest.Request, n *dragonflyfollowresponse.Response) {
			c.amend(q, n)
			n.Leads = n.Leads && !lost.Load()
		}
		e := newEntryWithMemory(waitingMemory, 0, nil, amend, v.endpoint("b", "llm"))
		lost.Store(true)
		<-time.After(1500 * time.Millisecond)
		time.AfterFunc(1100*time.Millisecond, func() {
			l, err := net.Listen("tcp", addr)
			if err != nil {
				return
			}
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go v.serve(conn)
			}
		})
		status, _, _ := e.timedCall("/stream/1", "k1")
		So(status, ShouldEqual, 503)
		So(v.requests(), ShouldHaveLength, 0)
	})
}

// TestUnreadBodies guards against bodies of callers that nobody knows yet, which are read
// without room for them or without an end.
func TestUnreadBodies(t *testing.T) {
	call := func(head, body string) (status int, took time.Duration) {
		c := &returning{leads: time.Now().Add(time.Minute)}
		e := newEntryWithMemory(waitingMemory, time.Nanosecond, nil, c.amend)
		began := time.Now()
		conn, err := net.Dial("tcp", e.addr)
		So(err, ShouldBeNil)
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprint(conn, "POST /once/1 HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\nX-Attempt-Id: 1\r\n"+head+"\r\n\r\n"+body)
		So(err, ShouldBeNil)
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		r, err := http.ReadResponse(bufio.NewReader(conn), nil)
		So(err, ShouldBeNil)
		_ = r.Body.Close()
		return r.StatusCode, time.Since(began)
	}
	Convey("A body that the room cannot hold is refused before it arrives", t, func() {
		status, took := call("Content-Length: 3000000", "")
		So(status, ShouldEqual, 503)
		So(took, ShouldBeLessThan, time.Second)
	})
	Convey("A body that does not arrive is refused at the end of the wait", t, func() {
		status, took := call("Content-Length: 3000", "x")
		So(status, ShouldEqual, 503)
		So(took, ShouldBeBetween, time.Second, 2500*time.Millisecond)
		assertWaitingNumber("0")
	})
	Convey("A long body of which no length is stated is refused without the caller's fault", t, func() {
		status, _ := call("Transfer-Encoding: chunked", "50000\r\n"+strings.Repeat("x", 0x50000)+"\r\n0\r\n\r\n")
		So(status, ShouldEqual, 503)
	})
}
