package dragonflyforwarder_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// refusalText returns a refusal with the given attempt id lines.
func refusalText(status, idLines, rest string) string {
	return "HTTP/1.1 " + status + "\r\n" + idLines + "X-Not-Run: 1\r\n" + rest + "Content-Length: 4\r\n\r\nfull"
}

// runAfter returns a step that writes text, and runs the request without an answer.
func runAfter(text func(id string) string) func(c net.Conn, r *http.Request) {
	return func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, text(r.Header.Get("X-Attempt-Id")))
		time.Sleep(50 * time.Millisecond)
		_ = c.Close()
	}
}

// refuseFirst refuses the request and keeps the connection open.
func refuseFirst(c net.Conn, r *http.Request) {
	_, _ = io.WriteString(c, refusalText("503 Full", "X-Attempt-Id: "+r.Header.Get("X-Attempt-Id")+"\r\n", ""))
}

// assertUnknown checks that a non-idempotent request that an upstream may have run gets 502
// and is sent once. Both upstreams take the same steps; with two, the first is a refusal.
func assertUnknown(steps ...func(c net.Conn, r *http.Request)) {
	u, v := newUpstream(steps...), newUpstream(steps...)
	e := newEntry(u.endpoint("a", "app"), v.endpoint("b", "app"))
	refusals := 0
	if len(steps) > 1 {
		assertResponse(e, "/once/first", 503, "")
		refusals = 2
		time.Sleep(350 * time.Millisecond) // Endpoints that refused are avoided.
	}
	assertResponse(e, "/once/second", 502, "")
	So(len(u.requests())+len(v.requests()), ShouldEqual, refusals+1)
}

// TestRepeatedRefusals guards against an earlier refusal, repeated on a kept connection,
// that passes for the answer to a request that was run.
func TestRepeatedRefusals(t *testing.T) {
	const old = "X-Attempt-Id: id-/once/first\r\n"
	own := func(id string) string { return "X-Attempt-Id: " + id + "\r\n" }
	for name, text := range map[string]func(id string) string{
		"with its id":                  func(string) string { return refusalText("503 Full", old, "") },
		"as 421":                       func(string) string { return refusalText("421 Misdirected", old, "") },
		"as 429":                       func(string) string { return refusalText("429 Many", old, "") },
		"without an id":                func(string) string { return refusalText("503 Full", "", "") },
		"400 without an id":            func(string) string { return refusalText("400 Bad", "", "") },
		"421 without a mark or an id":  func(string) string { return "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n" },
		"after interim responses":      func(string) string { return "HTTP/1.1 102 Processing\r\n\r\n" + refusalText("503 Full", old, "") },
		"with the id in another case":  func(id string) string { return refusalText("503 Full", own(strings.ToUpper(id)), "") },
		"with both ids, the own first": func(id string) string { return refusalText("503 Full", own(id)+old, "") },
		"with both ids, the own last":  func(id string) string { return refusalText("503 Full", old+own(id), "") },
		"with the own id in an interim": func(id string) string {
			return "HTTP/1.1 103 Hints\r\n" + own(id) + "\r\n" + refusalText("503 Full", old, "")
		},
		"encoded":                  func(id string) string { return refusalText("503 Full", own(id), "Content-Encoding: gzip\r\n") },
		"as a success with a mark": func(id string) string { return refusalText("200 OK", own(id), "X-Server-Seal: s\r\n") },
		"as an error that was run": func(id string) string { return refusalText("500 Error", own(id), "") },
		"bytes before it":          func(id string) string { return "full" + refusalText("503 Full", own(id), "") },
	} {
		Convey("Repeated after the next request was written, "+name, t, func() { assertUnknown(refuseFirst, runAfter(text)) })
		Convey("On a new connection, "+name, t, func() { assertUnknown(runAfter(text)) })
	}
	Convey("Repeated right after the refusal's body, in the same segment", t, func() {
		u := newUpstream(func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, strings.Repeat(refusalText("503 Full", own(r.Header.Get("X-Attempt-Id")), ""), 2))
		}, plainResponse("done"))
		e := newEntry(u.endpoint("a", "app"))
		assertResponse(e, "/once/first", 503, "")
		time.Sleep(350 * time.Millisecond)
		assertResponse(e, "/once/second", 200, "done")
	})
	Convey("Repeated in two segments, one before and one after the next request", t, func() {
		text := refusalText("503 Full", old, "")
		for _, at := range []int{1, 20, len(text) - 2} {
			u := newUpstream(func(c net.Conn, r *http.Request) {
				refuseFirst(c, r)
				time.Sleep(50 * time.Millisecond)
				_, _ = io.WriteString(c, text[:at])
			}, plainResponse("done"))
			e := newEntry(u.endpoint("a", "app"))
			assertResponse(e, "/once/first", 503, "")
			time.Sleep(350 * time.Millisecond)
			assertResponse(e, "/once/second", 200, "done")
		}
	})
	for _, path := range []string{"/once/", "/read/"} {
		Convey("Repeated after its own request was sent again at the end of a pause, "+path, t, func() { assertRunsOnce(path) })
	}
	Convey("A second copy of an answer that comes after the next request", t, func() {
		u := newUpstream(plainResponse("first"), runAfter(func(string) string {
			return "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-/once/1\r\nX-Server-Seal: seal\r\nContent-Length: 5\r\n\r\nfirst"
		}))
		e := newEntry(u.endpoint("a", "app"))
		assertResponse(e, "/once/1", 200, "first")
		assertResponse(e, "/once/2", 502, "")
	})
}

// assertRunsOnce sends a request to an upstream that asks for a pause and repeats that
// refusal, with the same id, if the request comes again on the same connection. It checks
// that the caller gets the answer to the request, which is run once.
func assertRunsOnce(path string) {
	var first net.Conn
	refusal := func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, refusalText("503 Full", "X-Attempt-Id: "+r.Header.Get("X-Attempt-Id")+"\r\n", "Retry-After: 0.3\r\n"))
	}
	u := newUpstream(func(c net.Conn, r *http.Request) {
		first = c
		refusal(c, r)
	}, func(c net.Conn, r *http.Request) {
		if c == first {
			refusal(c, r)
		}
		plainResponse("done")(c, r)
	})
	e := newEntry(u.endpoint("a", "app"))
	assertResponse(e, path+"1", 200, "done")
	So(u.requests(), ShouldHaveLength, 2)
}
