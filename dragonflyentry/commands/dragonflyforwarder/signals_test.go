package dragonflyforwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"dragonflyrelay.example/library/common/dragonflycompression"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	"dragonflyrelay.example/library/values/dragonflyleavingupstream"
	. "github.com/smartystreets/goconvey/convey"
)

// answer returns a step that writes a response with the given rest of its head and its
// body, and closes the connection.
func answer(status, rest string) func(c net.Conn, r *http.Request) {
	return func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, responseHead(r, status, "Connection: close\r\n"+rest))
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

// pausing returns a step that turns a request away and asks for a pause.
func pausing(seconds string) func(c net.Conn, r *http.Request) {
	return answer("503 Full", "X-Not-Run: 1\r\nRetry-After: "+seconds+"\r\nContent-Length: 0\r\n\r\n")
}

// assertRefusedUntil sends a request with the time limit of limit, and checks that it is
// refused at once with a Retry-After in the given bounds, in seconds. The header has
// milliseconds, so that a refusal within half of one names the whole pause.
func assertRefusedUntil(e *entry, limit string, least, most float64) {
	req, err := http.NewRequest("POST", "http://"+e.addr+"/once/refused", http.NoBody)
	So(err, ShouldBeNil)
	req.Host = "h"
	for name, value := range map[string]string{"X-Attempt-Id": "id", "Api-Key": "k1", "X-Deadline-Ms": limit} {
		req.Header.Set(name, value)
	}
	began := time.Now()
	resp, err := http.DefaultClient.Do(req)
	So(err, ShouldBeNil)
	_ = resp.Body.Close()
	So(time.Since(began), ShouldBeLessThan, 200*time.Millisecond)
	So(resp.StatusCode, ShouldEqual, 503)
	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	So(err, ShouldBeNil)
	So(after, ShouldBeBetweenOrEqual, least, most)
}

// TestPause guards against requests to an upstream that has asked for a pause, and against
// requests that wait for its end in vain.
func TestPause(t *testing.T) {
	Convey("An upstream that asks for a pause gets no request until its end, and others serve", t, func() {
		u, v := newUpstream(pausing("0.8"), plainResponse("back")), newUpstream(plainResponse("done"))
		e := newEntryWithControl(0, nil, withoutControl, u.endpoint("a", "app"), v.endpoint("b", "app"))
		for i := 0; len(u.requests()) == 0 && i < 20; i++ {
			assertResponse(e, fmt.Sprint("/once/", i), 200, "done")
		}
		until := time.Now().Add(700 * time.Millisecond)
		for i := 0; time.Now().Before(until); i++ {
			assertResponse(e, fmt.Sprint("/once/more", i), 200, "done")
		}
		So(u.requests(), ShouldHaveLength, 1)
		time.Sleep(200 * time.Millisecond)
		for i := 0; len(u.requests()) == 1 && i < 20; i++ {
			assertResponse(e, fmt.Sprint("/once/last", i), 200, "")
		}
		So(len(u.requests()), ShouldBeGreaterThan, 1)
	})
	Convey("Where all pause, a request that can be served in its time waits, also the one that was turned away", t, func() {
		u := newUpstream(pausing("0.4"), plainResponse("done"))
		e := newEntryWithControl(0, nil, withoutControl, u.endpoint("a", "app"))
		began := time.Now()
		assertResponse(e, "/once/1", 200, "done")
		So(time.Since(began), ShouldBeBetween, 400*time.Millisecond, 800*time.Millisecond)
		So(u.requests(), ShouldHaveLength, 2)
	})
	Convey("Where all pause, a request that cannot be served in its time is refused at once with the earliest end", t, func() {
		u, v := newUpstream(pausing("4")), newUpstream(pausing("3"))
		e := newEntryWithControl(0, nil, withoutControl, u.endpoint("a", "app"), v.endpoint("b", "app"))
		assertRefusedUntil(e, "900", 2.9, 3.01)
		assertRefusedUntil(e, "900", 2.8, 3)
		So(len(u.requests())+len(v.requests()), ShouldEqual, 2)
	})
	Convey("A pause that cannot be read holds nothing back", t, func() {
		for _, text := range []string{"-1", "NaN", "soon", "Sat, 05 Dec 2026 06:00:00 GMT", "0"} {
			u := newUpstream(pausing(text), plainResponse("done"))
			e := newEntry(u.endpoint("a", "app"))
			assertResponse(e, "/once/1", 503, "")
			assertResponse(e, "/once/2", 200, "done")
		}
	})
	Convey("A 503 to another request, and a Retry-After with another status, are no pause", t, func() {
		for _, step := range []func(c net.Conn, r *http.Request){
			func(c net.Conn, _ *http.Request) {
				_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Attempt-Id: other\r\nX-Not-Run: 1\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n")
			},
			answer("429 Full", "X-Not-Run: 1\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n"),
			answer("421 Misdirected", "Retry-After: 3\r\nContent-Length: 0\r\n\r\n"),
		} {
			u := newUpstream(step, plainResponse("done"))
			e := newEntry(u.endpoint("a", "app"))
			_, _, _ = e.call("POST", "/once/1")
			assertResponse(e, "/once/2", 200, "done")
		}
	})
}

// assertAllServed sends n requests at once to an upstream that turns the first one away and
// asks for a pause of 0.2 s. It checks that all are served, and the refused one alone is
// sent twice, and returns how long the slowest one took. The route lets a request take 10 s:
// beside a busy processor, a request may wait for longer than the second of the other tests.
func assertAllServed(n int) (slowest time.Duration) {
	packed, err := dragonflycompression.Compress([]byte(strings.Replace(document,
		`"kind":"non_idempotent","timeout_ms":1000`, `"kind":"non_idempotent","timeout_ms":10000`, 1)))
	So(err, ShouldBeNil)
	u := newUpstream(func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, refusalText("503 Full", "X-Attempt-Id: "+r.Header.Get("X-Attempt-Id")+"\r\n", "Retry-After: 0.2\r\n"))
	}, plainResponse("done"))
	e := newEntryWithControl(0, nil, func(q dragonflyfollowrequest.Request, resp *dragonflyfollowresponse.Response) {
		resp.Content = packed
		withoutControl(q, resp)
	}, u.endpoint("a", "app"))
	statuses := make(chan int, n)
	began := time.Now()
	for i := range n {
		path := fmt.Sprint("/once/", i)
		req, err := http.NewRequest("POST", "http://"+e.addr+path, strings.NewReader("prompt"))
		So(err, ShouldBeNil)
		go func() {
			status, _, _ := e.do(req, path)
			statuses <- status
		}()
	}
	for range n {
		So(<-statuses, ShouldEqual, http.StatusOK)
	}
	slowest = time.Since(began)
	So(u.requests(), ShouldHaveLength, n+1)
	return slowest
}

// TestPauseWhileConnecting guards against the refusal of a request that was chosen for an
// upstream which asks for a pause before the request is sent, and which could be served in
// its time after the pause, and against one that goes on waiting. If all six wait, they
// return at eight a second, the last one after 825 ms. Only the fastest round is timed,
// since the processor may be busy in the others.
func TestPauseWhileConnecting(t *testing.T) {
	Convey("Requests at the same time as one that is turned away wait for the end of the pause", t, func() {
		fastest := time.Hour
		for range 10 {
			fastest = min(fastest, assertAllServed(6))
		}
		So(fastest, ShouldBeBetween, 200*time.Millisecond, time.Second)
	})
}
