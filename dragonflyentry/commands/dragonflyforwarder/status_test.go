package dragonflyforwarder_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// withInnerAnswer returns a step that answers with the given status line and header lines.
// The body is a whole answer to the request.
func withInnerAnswer(status, lines string) func(c net.Conn, r *http.Request) {
	return func(c net.Conn, r *http.Request) {
		inner := responseHead(r, "200 OK", "Content-Length: 5\r\n\r\ninner")
		_, _ = io.WriteString(c, responseHead(r, status, lines+"Content-Length: "+strconv.Itoa(len(inner))+"\r\n\r\n"+inner))
	}
}

// withInnerChunk returns a step like withInnerAnswer whose body is sent in one chunk.
func withInnerChunk(status string) func(c net.Conn, r *http.Request) {
	return func(c net.Conn, r *http.Request) {
		inner := responseHead(r, "200 OK", "Content-Length: 5\r\n\r\ninner")
		_, _ = io.WriteString(c, responseHead(r, status, "Transfer-Encoding: chunked\r\n\r\n"+
			strconv.FormatInt(int64(len(inner)), 16)+"\r\n"+inner+"\r\n0\r\n\r\n"))
	}
}

// withBody returns a step that answers with the given status line and a sound body.
func withBody(status string) func(c net.Conn, r *http.Request) {
	return func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, responseHead(r, status, "Content-Length: 4\r\n\r\nbody"))
	}
}

// assertNoAnswer checks that the entry passes nothing of the answer of the step on, sends the
// next request on another connection, and serves a request that may be repeated elsewhere.
func assertNoAnswer(step func(c net.Conn, r *http.Request)) {
	u := newUpstream(step)
	e := newEntry(u.endpoint("a", "app"))
	assertResponse(e, "/once/1", 502, "")
	So(u.requests(), ShouldHaveLength, 1)

	bad, sound := newUpstream(step), newUpstream(plainResponse("done"))
	e = newEntry(bad.endpoint("a", "app"), sound.endpoint("b", "app"))
	for i := range 2 { // One of the two is sent to the bad upstream first.
		assertResponse(e, "/read/"+strconv.Itoa(i), 200, "done")
	}
}

// TestInvalidStatuses guards against bytes that are no answer and that reach a caller as one:
// the parser takes what follows a status without a body as the next answer.
func TestInvalidStatuses(t *testing.T) {
	for _, status := range []string{"000 OK", "001 OK", "099 OK", "600 OK", "999 OK", "101 Switching Protocols"} {
		Convey("A status that is none, "+status, t, func() { assertNoAnswer(withBody(status)) })
		Convey("A status that is none before a body that looks like an answer, "+status, t, func() { assertNoAnswer(withInnerAnswer(status, "")) })
		Convey("A status that is none before such a body in chunks, "+status, t, func() { assertNoAnswer(withInnerChunk(status)) })
	}
	for _, status := range []string{"100 Continue", "102 Processing", "103 Early Hints", "199 Other"} {
		Convey("An interim answer that announces a body, "+status, t, func() { assertNoAnswer(withInnerAnswer(status, "")) })
		Convey("An interim answer that announces chunks, "+status, t, func() { assertNoAnswer(withInnerChunk(status)) })
	}
	Convey("Interim answers without a body precede an answer", t, func() {
		u := newUpstream(func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n")
			plainResponse("done")(c, r)
		})
		assertResponse(newEntry(u.endpoint("a", "app")), "/once/1", 200, "done")
	})
	for _, status := range []string{"200 OK", "299 Other", "404 Missing", "599 Other"} {
		Convey("A status that an upstream may choose is passed on, "+status, t, func() {
			u := newUpstream(withBody(status))
			code, _ := strconv.Atoi(status[:3])
			assertResponse(newEntry(u.endpoint("a", "app")), "/once/1", code, "body")
		})
	}
}
