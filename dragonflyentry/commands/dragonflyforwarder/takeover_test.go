package dragonflyforwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const streamHead = "Content-Type: text/event-stream\r\n"

// chunked returns the head and the body of an answer in one chunk, with its end.
func chunked(r *http.Request, status, header, body string) string {
	text := responseHead(r, status, header+"Transfer-Encoding: chunked\r\n\r\n")
	if body != "" {
		text += fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	return text + "0\r\n\r\n"
}

// breakThen returns a step that breaks a stream off after event 3, and answers the request
// for its continuation with text.
func breakThen(text func(r *http.Request) string) func(c net.Conn, r *http.Request) {
	return func(c net.Conn, r *http.Request) {
		if r.Header.Get("Last-Event-Id") == "" {
			streamResponse(1, 3, false)(c, r)
			return
		}
		_, _ = io.WriteString(c, text(r))
		_ = c.Close()
	}
}

// callBroken sends a streaming request to two upstreams of which the second answers with
// text, and returns what the caller got.
func callBroken(text func(r *http.Request) string) (body string, err error) {
	u, v := newUpstream(breakThen(text)), newUpstream(breakThen(text))
	e := newEntry(u.endpoint("a", "llm"), v.endpoint("b", "llm"))
	status, body, err := e.call("POST", "/stream/1")
	So(status, ShouldEqual, 200)
	So(len(u.requests())+len(v.requests()), ShouldEqual, 2)
	return body, err
}

// assertBroken checks that the caller gets events up to last and a stream that is broken
// off.
func assertBroken(last int, text func(r *http.Request) string) {
	body, err := callBroken(text)
	So(body, ShouldEqual, eventText(1, last))
	So(err, ShouldNotBeNil)
}

// assertContinued checks that the caller gets events up to last and a complete stream.
func assertContinued(last int, text func(r *http.Request) string) {
	body, err := callBroken(text)
	So(body, ShouldEqual, eventText(1, last))
	So(err, ShouldBeNil)
}

// answer returns the text of a chunked answer.
func answerText(status, header, body string) func(r *http.Request) string {
	return func(r *http.Request) string { return chunked(r, status, header, body) }
}

// TestErrorsAfterEvents guards against the answer of a next upstream that is no
// continuation in the middle of a stream, or as its complete end.
func TestErrorsAfterEvents(t *testing.T) {
	const oops = "event: error\ndata: oops\n\n"
	for name, text := range map[string]func(r *http.Request) string{
		"400":                   answerText("400 Bad", "", oops),
		"404 as a stream":       answerText("404 Not Found", streamHead, oops),
		"500":                   answerText("500 Error", "Content-Type: text/plain\r\n", oops),
		"503 without a mark":    answerText("503 Full", "", oops),
		"503 not run":           answerText("503 Full", "X-Not-Run: 1\r\n", oops),
		"302":                   answerText("302 Found", "Location: /\r\n", oops),
		"204":                   func(r *http.Request) string { return responseHead(r, "204 No Content", "\r\n") },
		"205":                   func(r *http.Request) string { return responseHead(r, "205 Reset", "Content-Length: 0\r\n\r\n") },
		"206":                   answerText("206 Partial", streamHead, eventText(4, 6)),
		"202 empty":             answerText("202 Accepted", streamHead, ""),
		"200 as text":           answerText("200 OK", "Content-Type: text/plain\r\n", oops),
		"200 as JSON, numbered": answerText("200 OK", "Content-Type: application/json\r\n", eventText(4, 6)),
		"200 without a type":    answerText("200 OK", "", oops),
		"200 empty as JSON":     answerText("200 OK", "Content-Type: application/json\r\n", ""),
		"200 encoded":           answerText("200 OK", streamHead+"Content-Encoding: gzip\r\n", eventText(4, 6)),
		"200 without a seal": func(*http.Request) string {
			return "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-/stream/1\r\n" + streamHead + "\r\n" + eventText(4, 6)
		},
		"an event without an id":  answerText("200 OK", streamHead, oops),
		"an id that is no number": answerText("200 OK", streamHead, "id: four\ndata: x4\n\n"),
		"empty without a length":  func(r *http.Request) string { return responseHead(r, "200 OK", streamHead+"\r\n") },
		"earlier, without a length": func(r *http.Request) string {
			return responseHead(r, "200 OK", streamHead+"\r\n"+eventText(1, 3))
		},
		"a head in an event": func(r *http.Request) string {
			return responseHead(r, "200 OK", streamHead+"Transfer-Encoding: chunked\r\n\r\nHTTP/1.1 500 Error\r\n\r\n")
		},
	} {
		Convey(name, t, func() { assertBroken(3, text) })
	}
	Convey("New events and then the end of the connection in an event", t, func() {
		assertBroken(4, func(r *http.Request) string {
			return responseHead(r, "200 OK", streamHead+"\r\n"+eventText(4, 4)+"id: 5\ndata:")
		})
	})
	Convey("New events and then an event without an id", t, func() {
		assertBroken(5, answerText("200 OK", streamHead, eventText(4, 5)+oops+eventText(6, 7)))
	})
}

// TestEventOrder guards against events of two upstreams that come twice, out of order or
// with a gap.
func TestEventOrder(t *testing.T) {
	Convey("A continuation that begins beyond the next event is broken off", t, func() {
		assertBroken(3, answerText("200 OK", streamHead, eventText(5, 7)))
	})
	Convey("A continuation with earlier events first, also in one piece, is passed on without them", t, func() {
		assertContinued(6, answerText("200 OK", streamHead, eventText(1, 6)))
	})
	Convey("Events that come again or late in a continuation are passed on once", t, func() {
		assertContinued(6, answerText("200 OK", streamHead, eventText(4, 5)+eventText(2, 2)+eventText(4, 5)+eventText(6, 6)))
	})
	Convey("A continuation without new events, with an end, is complete", t, func() {
		assertContinued(3, answerText("200 OK", streamHead, ""))
	})
	Convey("A continuation without a length that has new events is complete", t, func() {
		assertContinued(5, func(r *http.Request) string {
			return responseHead(r, "200 OK", streamHead+"\r\n"+eventText(4, 5))
		})
	})
	Convey("A stream that an upstream refused first may have events without an id", t, func() {
		const comments = ": wait\n\n" + "id: 1\ndata: x1\n\n" + ": wait\n\n"
		steps := []func(c net.Conn, r *http.Request){func(c net.Conn, r *http.Request) {
			notRun(c, r)
		}, func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, chunked(r, "200 OK", streamHead, comments))
		}}
		u, v := newUpstream(steps...), newUpstream(steps[1])
		e := newEntry(u.endpoint("a", "llm"), v.endpoint("b", "llm"))
		for i := range 4 {
			assertResponse(e, fmt.Sprint("/stream/", i), 200, comments)
		}
	})
	Convey("Events of one stream that come again are passed on once", t, func() {
		e := newEntry(newUpstream(func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, chunked(r, "200 OK", streamHead, eventText(1, 3)+eventText(2, 4)))
		}).endpoint("a", "llm"))
		assertResponse(e, "/stream/1", 200, eventText(1, 4))
	})
}
