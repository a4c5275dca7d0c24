package dragonflyforwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	"dragonflyrelay.example/library/values/dragonflyleavingupstream"
	. "github.com/smartystreets/goconvey/convey"
)

// answer returns a step that writes a response with the given rest of its head and its
// body, and closes the connection.
func answer(status, rest string) func(c net.Conn, r *http.Request) {
	return func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, responseHead(r, status, rest))
		_ = c.Close()
	}
}

// withoutControl makes control answer nothing after the first table.
func withoutControl(q dragonflyfollowrequest.Request, _ *dragonflyfollowresponse.Response) {
	if q.Revision > 0 {
		time.Sleep(time.Minute)
	}
}

// assertNoMore sends n requests and checks that the upstream gets none of them.
func assertNoMore(e *entry, u *upstream, path string, n int) {
	before := len(u.requests())
	for i := range n {
		_, _, _ = e.call("POST", fmt.Sprint(path, "more", i))
	}
	So(u.requests(), ShouldHaveLength, before)
}

// TestLeaving guards against requests to an upstream that has said in an answer that it
// leaves, while control is lost and no table says so.
func TestLeaving(t *testing.T) {
	for name, step := range map[string]func(c net.Conn, r *http.Request){
		"an answer":                     answer("200 OK", "Server-Leaving: 1\r\nContent-Length: 2\r\n\r\nok"),
		"a refusal":                     answer("503 Full", "Server-Leaving: 1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"),
		"an error":                      answer("500 Failed", "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n"),
		"an answer that is cut off":     answer("200 OK", "Server-Leaving: 1\r\nContent-Length: 9\r\n\r\nok"),
		"an answer with a wrong coding": answer("200 OK", "Server-Leaving: 1\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok"),
	} {
		Convey("An upstream that leaves by "+name+" gets no more requests", t, func() {
			u, v := newUpstream(step), newUpstream(plainResponse("done"))
			e := newEntryWithControl(0, nil, withoutControl, u.endpoint("a", "app"), v.endpoint("b", "app"))
			for i := 0; len(u.requests()) == 0 && i < 20; i++ {
				_, _, _ = e.call("POST", fmt.Sprint("/once/", i))
			}
			So(u.requests(), ShouldHaveLength, 1)
			assertNoMore(e, u, "/once/", 20)
			assertResponse(e, "/once/last", 200, "done")
		})
	}
	Convey("An upstream that leaves by the head of a stream finishes the stream and gets no more requests", t, func() {
		u := newUpstream(func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, responseHead(r, "200 OK", "Server-Leaving: 1\r\nContent-Type: text/event-stream\r\n\r\n"+eventText(1, 2)))
			time.Sleep(300 * time.Millisecond)
			_, _ = io.WriteString(c, eventText(3, 4))
			_ = c.Close()
		})
		e := newEntryWithControl(0, nil, withoutControl, u.endpoint("a", "llm"))
		assertResponse(e, "/stream/1", 200, eventText(1, 4))
		assertNoMore(e, u, "/stream/", 3)
	})
	Convey("Answers of another request, misdirected requests and other values of the sign count for nothing", t, func() {
		for _, step := range []func(c net.Conn, r *http.Request){
			func(c net.Conn, _ *http.Request) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Seal: s\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n")
			},
			answer("421 Misdirected", "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n"),
			answer("200 OK", "Server-Leaving: 0\r\nContent-Length: 0\r\n\r\n"),
		} {
			u := newUpstream(step, plainResponse("done"))
			e := newEntry(u.endpoint("a", "app"))
			_, _, _ = e.call("POST", "/once/1")
			assertResponse(e, "/once/2", 200, "done")
		}
	})
	Convey("Control gets the leaving upstream with the next request", t, func() {
		reports := make(chan []dragonflyleavingupstream.Upstream, 16)
		u := newUpstream(answer("200 OK", "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n"))
		e := newEntryWithControl(0, nil, func(q dragonflyfollowrequest.Request, _ *dragonflyfollowresponse.Response) {
			if len(q.Leaving) > 0 {
				reports <- q.Leaving
			}
		}, u.endpoint("a", "app"))
		assertResponse(e, "/once/1", 200, "")
		got := <-reports
		So(got, ShouldHaveLength, 1)
		So(got[0].ID, ShouldEqual, "a")
		So(got[0].Boot, ShouldEqual, 1)
		time.Sleep(1200 * time.Millisecond)
		So(reports, ShouldBeEmpty)
	})
}
