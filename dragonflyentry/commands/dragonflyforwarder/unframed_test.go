package dragonflyforwarder_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// unframedStream returns a step that writes events with neither a length nor chunks and
// closes the connection after them.
func unframedStream(events string) func(c net.Conn, r *http.Request) {
	return func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, responseHead(r, "200 OK", "Content-Type: text/event-stream\r\n\r\n"+events))
		_ = c.Close()
	}
}

// TestUnframedStreams guards against streams without a length or chunks that look complete
// after their upstream has crashed.
func TestUnframedStreams(t *testing.T) {
	const first, second = "id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"
	for name, step := range map[string]func(c net.Conn, r *http.Request){
		"in an event": unframedStream(first + "id: 2\nda"), "before its first event": unframedStream(""),
	} {
		Convey("A stream that ends "+name+" continues at another upstream", t, func() {
			u, v := newUpstream(step), newUpstream(unframedStream(first+second))
			e := newEntry(u.endpoint("i-1", "llm"), v.endpoint("i-2", "llm"))
			for range 2 {
				status, body, err := e.call("POST", "/stream/1")
				So(err, ShouldBeNil)
				So(status, ShouldEqual, 200)
				So(body, ShouldEqual, first+second)
			}
			So(u.requests(), ShouldNotBeEmpty)
		})
	}
	Convey("A stream that ends with its connection is complete", t, func() {
		e := newEntry(newUpstream(unframedStream(first+second)).endpoint("i-1", "llm"))
		assertResponse(e, "/stream/1", 200, first+second)
	})
	Convey("A stream without an event is not complete if no other upstream answers", t, func() {
		e := newEntry(newUpstream(unframedStream("")).endpoint("i-1", "llm"))
		assertResponse(e, "/stream/1", 502, "")
	})
}
