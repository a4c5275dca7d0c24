package dragonflyforwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dragonflyrelay.example/library/common/dragonflymachinewait"
	. "github.com/smartystreets/goconvey/convey"
)

// maxTaken bounds the bytes that an entry may take of an answer without end: a few
// times the buffers of a loopback connection.
const maxTaken = 32 << 20

// endless returns a step that sends start, and then part until the entry closes the
// connection or 64 MiB are written. It adds the bytes sent to taken.
func endless(taken *atomic.Int64, start func(r *http.Request) string, part string) func(c net.Conn, r *http.Request) {
	return func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, start(r))
		chunk := []byte(strings.Repeat(part, 1+(32<<10)/len(part)))
		for taken.Load() < 64<<20 {
			n, err := c.Write(chunk)
			taken.Add(int64(n))
			if err != nil {
				return
			}
		}
	}
}

// assertBounded checks that an idempotent request whose first upstream answers without
// end is served by the second within its timeout, and that the entry has taken at most
// maxTaken bytes of the first. A request that ran out of time because this process had no
// processor shows nothing of that, so the check is repeated with other upstreams.
func assertBounded(start func(r *http.Request) string, part string) {
	for range 5 {
		if isBounded(start, part) {
			return
		}
	}
	So("a request whose time was not used up without a processor", ShouldBeEmpty)
}

// isBounded carries out one check. It returns false if it was not conclusive.
func isBounded(start func(r *http.Request) string, part string) bool {
	const timeout = time.Second // Of the route.
	var taken atomic.Int64
	bad, good := newUpstream(endless(&taken, start, part)), newUpstream(plainResponse("sound"))
	e := newEntry(bad.endpoint("a", "app"), good.endpoint("b", "app"))
	// Which of the two is asked first is up to the entry.
	for range 20 {
		var wait dragonflymachinewait.MachineWait
		end := wait.Watch()
		began := time.Now()
		status, body := e.get("/read/1")
		end()
		if took := time.Since(began); took >= timeout && wait.Ran() < timeout {
			return false
		}
		So(status, ShouldEqual, http.StatusOK)
		So(body, ShouldEqual, "sound")
		So(time.Since(began), ShouldBeLessThan, timeout)
		if len(bad.requests()) > 0 {
			break
		}
	}
	So(bad.requests(), ShouldNotBeEmpty)
	So(taken.Load(), ShouldBeLessThan, maxTaken)
	return true
}

// get sends a request with a new id and returns the status and the whole body.
func (e *entry) get(path string) (status int, body string) {
	r, err := http.NewRequest(http.MethodGet, "http://"+e.addr+path, nil)
	So(err, ShouldBeNil)
	r.Host = "h"
	r.Header.Set("Api-Key", "k1")
	r.Header.Set("X-Attempt-Id", fmt.Sprint("id-", time.Now().UnixNano()))
	resp, err := http.DefaultClient.Do(r)
	So(err, ShouldBeNil)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	So(err, ShouldBeNil)
	return resp.StatusCode, string(raw)
}

// TestEndless guards against an entry that fills its memory with the bytes of an
// upstream in trouble, and against callers that wait for such an answer.
func TestEndless(t *testing.T) {
	nothing := func(*http.Request) string { return "" }
	Convey("Bytes without end instead of a head", t, func() { assertBounded(nothing, "\x00garbage") })
	Convey("Interim responses without end", t, func() {
		assertBounded(nothing, "HTTP/1.1 100 Continue\r\n\r\n")
	})
	Convey("Header lines without end", t, func() {
		assertBounded(func(r *http.Request) string { return responseHead(r, "200 OK", "") }, "X-More: more\r\n")
	})
	Convey("A header line without end", t, func() {
		assertBounded(func(r *http.Request) string { return responseHead(r, "200 OK", "X-More: ") }, "more")
	})
	Convey("The body of a refusal without end", t, func() {
		assertBounded(func(r *http.Request) string {
			return "HTTP/1.1 503 Full\r\nX-Attempt-Id: " + r.Header.Get("X-Attempt-Id") + "\r\nX-Not-Run: 1\r\nContent-Length: 9999999999\r\n\r\n"
		}, "more")
	})
	Convey("The body of a server error without end", t, func() {
		assertBounded(func(r *http.Request) string {
			return responseHead(r, "500 Error", "Transfer-Encoding: chunked\r\n\r\n")
		}, "8\r\n12345678\r\n")
	})
}
