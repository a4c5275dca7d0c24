package dragonflyforwarder_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dragonflyrelay.example/library/values/dragonflyendpoint"
	. "github.com/smartystreets/goconvey/convey"
)

// call sends one request and returns the status and the body. A body that is cut off is
// an error.
func (e *entry) call(method, path string, headers ...string) (status int, body string, err error) {
	req, err := http.NewRequest(method, "http://"+e.addr+path, strings.NewReader("prompt"))
	So(err, ShouldBeNil)
	return e.do(req, path, headers...)
}

// do sends req with an id made of path and the given headers.
func (e *entry) do(req *http.Request, path string, headers ...string) (status int, body string, err error) {
	req.Host = "h"
	req.Header.Set("X-Attempt-Id", "id-"+path)
	req.Header.Set("Api-Key", "k1")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

// startCall sends a POST request outside of a test's goroutine, and returns the error that
// ends its response.
func (e *entry) startCall(path string) error {
	req, err := http.NewRequest("POST", "http://"+e.addr+path, nil)
	if err != nil {
		return err
	}
	_, _, err = e.do(req, path)
	return err
}

// assertResponse sends a POST request and checks the status of the response, and its
// body unless body is "".
func assertResponse(e *entry, path string, status int, body string) {
	got, text, err := e.call("POST", path)
	So(err, ShouldBeNil)
	So(got, ShouldEqual, status)
	if body != "" {
		So(text, ShouldEqual, body)
	}
}

func eventText(first, last int) (text string) {
	for i := first; i <= last; i++ {
		text += fmt.Sprintf("id: %d\ndata: x%d\n\n", i, i)
	}
	return text
}

func TestPlainResponses(t *testing.T) {
	Convey("A response is passed on unchanged, and the connection is reused", t, func() {
		u := newUpstream(plainResponse("hello"))
		e := newEntry(u.endpoint("a", "app"))
		assertResponse(e, "/once/1", 200, "hello")
		assertResponse(e, "/once/2", 200, "hello")
		heads := u.requests()
		So(heads, ShouldHaveLength, 2)
		So(heads[0].Get("Api-Key"), ShouldBeEmpty)
		So(heads[0].Get("X-Tenant"), ShouldEqual, "t1")
		So(heads[0].Get("X-Expect-Instance"), ShouldEqual, "a")
	})
	Convey("A non-idempotent request is not retried after its response was lost", t, func() {
		u := newUpstream(closeConnection)
		v := newUpstream(closeConnection)
		e := newEntry(u.endpoint("a", "app"), v.endpoint("b", "app"))
		assertResponse(e, "/once/1", 502, "")
		So(len(u.requests())+len(v.requests()), ShouldEqual, 1)
	})
	Convey("A request that an upstream refused to run goes to another upstream", t, func() {
		u := newUpstream(notRun)
		v := newUpstream(plainResponse("done"))
		e := newEntry(u.endpoint("a", "app"), v.endpoint("b", "app"))
		for i := range 4 {
			assertResponse(e, fmt.Sprint("/once/", i), 200, "done")
		}
	})
	Convey("A request that no upstream would run is refused with 503", t, func() {
		u := newUpstream(notRun)
		e := newEntry(u.endpoint("a", "app"))
		assertResponse(e, "/once/1", 503, "")
	})
	Convey("An idempotent request is retried after a lost response and after a server error", t, func() {
		for _, step := range []func(net.Conn, *http.Request){closeConnection, func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, responseHead(r, "500 Error", "Content-Length: 0\r\n\r\n"))
		}} {
			u := newUpstream(step, plainResponse("done"))
			v := newUpstream(step, plainResponse("done"))
			e := newEntry(u.endpoint("a", "app"), v.endpoint("b", "app"))
			status, _, err := e.call("GET", "/read/1")
			So(err, ShouldBeNil)
			So(status, ShouldBeIn, 200, 502, 500)
			So(len(u.requests())+len(v.requests()), ShouldEqual, 2)
		}
	})
	Convey("A response that is cut off is not passed on as complete", t, func() {
		u := newUpstream(func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, responseHead(r, "200 OK", "Content-Length: 10\r\n\r\nhal"))
			_ = c.Close()
		})
		e := newEntry(u.endpoint("a", "app"))
		assertResponse(e, "/once/1", 502, "")
	})
	Convey("A response without a length ends with its connection", t, func() {
		u := newUpstream(func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, responseHead(r, "200 OK", "\r\nall of it"))
			_ = c.Close()
		})
		e := newEntry(u.endpoint("a", "app"))
		assertResponse(e, "/once/1", 200, "all of it")
	})
	Convey("An unrequested second response on a kept connection is not passed to the next request", t, func() {
		u := newUpstream(func(c net.Conn, r *http.Request) {
			plainResponse("first")(c, r)
			plainResponse("extra")(c, r)
		}, plainResponse("second"))
		e := newEntry(u.endpoint("a", "app"))
		assertResponse(e, "/once/1", 200, "first")
		assertResponse(e, "/once/2", 200, "second")
	})
	Convey("A response with the attempt id of another request is not passed on", t, func() {
		u := newUpstream(func(c net.Conn, r *http.Request) {
			r.Header.Set("X-Attempt-Id", "another")
			plainResponse("not yours")(c, r)
		})
		e := newEntry(u.endpoint("a", "app"))
		assertResponse(e, "/once/1", 502, "")
	})
	Convey("The route's timeout ends a request whose upstream does not respond", t, func() {
		u := newUpstream(func(_ net.Conn, _ *http.Request) { time.Sleep(3 * time.Second) })
		e := newEntry(u.endpoint("a", "app"))
		began := time.Now()
		assertResponse(e, "/once/1", 504, "")
		So(time.Since(began), ShouldBeLessThan, 1400*time.Millisecond)
	})
}

func TestStreams(t *testing.T) {
	Convey("All events are passed on in order", t, func() {
		u := newUpstream(streamResponse(1, 5, true))
		e := newEntry(u.endpoint("a", "llm"))
		assertResponse(e, "/stream/1", 200, eventText(1, 5))
	})
	Convey("A stream that is cut off continues at another upstream after its last event", t, func() {
		resumed := func(c net.Conn, r *http.Request) {
			if r.Header.Get("Last-Event-Id") == "3" {
				streamResponse(3, 6, true)(c, r) // Repeats the last event.
				return
			}
			streamResponse(1, 3, false)(c, r)
		}
		u, v := newUpstream(resumed), newUpstream(resumed)
		e := newEntry(u.endpoint("a", "llm"), v.endpoint("b", "llm"))
		assertResponse(e, "/stream/1", 200, eventText(1, 6))
		So(len(u.requests())+len(v.requests()), ShouldEqual, 2)
	})
	Convey("An attempt at a group that has ended counts against the maximum of attempts", t, func() {
		began := make(chan struct{})
		first := newUpstream(func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, responseHead(r, "200 OK", "Transfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: x1\n\n\r\n"))
			close(began)
			_, _ = c.Read(make([]byte, 1))
		})
		u, v := newUpstream(streamResponse(2, 3, false)), newUpstream(streamResponse(2, 3, false))
		next := make(chan []dragonflyendpoint.Endpoint, 1)
		e := newEntryWithTables(0, next, first.endpoint("a", "llm"))
		go func() {
			<-began
			next <- []dragonflyendpoint.Endpoint{u.endpoint("b", "llm"), v.endpoint("c", "llm")}
		}()
		_, _, err := e.call("POST", "/stream/1")
		So(err, ShouldNotBeNil)
		So(len(first.requests()), ShouldEqual, 1)
		So(len(u.requests())+len(v.requests()), ShouldEqual, 1)
	})
	Convey("A stream that cannot be continued does not look complete", t, func() {
		u := newUpstream(streamResponse(1, 3, false))
		e := newEntry(u.endpoint("a", "llm"))
		_, text, err := e.call("POST", "/stream/1")
		So(err, ShouldNotBeNil)
		So(text, ShouldEqual, eventText(1, 3))
	})
	Convey("The connection to the upstream is closed when the caller disconnects", t, func() {
		left := make(chan struct{})
		u := newUpstream(func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, responseHead(r, "200 OK", "Transfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: x1\n\n\r\n"))
			_, _ = c.Read(make([]byte, 1))
			close(left)
		})
		e := newEntry(u.endpoint("a", "llm"))
		ctx, cancel := context.WithCancel(context.Background())
		req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+e.addr+"/stream/1", nil)
		req.Host = "h"
		req.Header.Set("Api-Key", "k1")
		req.Header.Set("X-Attempt-Id", "x")
		go func() {
			time.Sleep(100 * time.Millisecond)
			cancel()
		}()
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		gone := false
		select {
		case <-left:
			gone = true
		case <-time.After(500 * time.Millisecond):
		}
		So(gone, ShouldBeTrue)
	})
}

func TestAdmission(t *testing.T) {
	Convey("Requests with an unknown route or key are refused", t, func() {
		u := newUpstream(plainResponse("x"))
		e := newEntry(u.endpoint("a", "app"))
		assertResponse(e, "/none/1", 404, "")
		status, _, _ := e.call("POST", "/once/1", "Api-Key", "forged")
		So(status, ShouldEqual, 401)
		So(u.requests(), ShouldBeEmpty)
	})
	Convey("A body over the limit is refused", t, func() {
		u := newUpstream(plainResponse("x"))
		e := newEntry(u.endpoint("a", "app"))
		req, _ := http.NewRequest("POST", "http://"+e.addr+"/once/1", strings.NewReader(strings.Repeat("x", 100_001)))
		req.Host = "h"
		req.Header.Set("Api-Key", "k1")
		resp, err := http.DefaultClient.Do(req)
		So(err, ShouldBeNil)
		_ = resp.Body.Close()
		So(resp.StatusCode, ShouldEqual, 413)
	})
	Convey("Keys are not accepted while control's leadership is unconfirmed", t, func() {
		u := newUpstream(plainResponse("x"))
		e := newEntryWithAge(time.Hour, u.endpoint("a", "app"))
		time.Sleep(200 * time.Millisecond)
		status, _, err := e.call("POST", "/once/1")
		So(err, ShouldBeNil)
		So(status, ShouldEqual, 503)
		So(u.requests(), ShouldBeEmpty)
	})
}

// TestDrain guards against a shutdown that cuts off requests in progress.
func TestDrain(t *testing.T) {
	Convey("A request in progress gets its complete response after the shutdown has begun", t, func() {
		u := newUpstream(func(c net.Conn, r *http.Request) {
			time.Sleep(500 * time.Millisecond)
			plainResponse("late")(c, r)
		})
		e := newEntry(u.endpoint("a", "app"))
		type outcome struct {
			status int
			body   string
			err    error
		}
		done := make(chan outcome, 1)
		go func() {
			req, _ := http.NewRequest("POST", "http://"+e.addr+"/once/1", nil)
			req.Host = "h"
			req.Header.Set("Api-Key", "k1")
			req.Header.Set("X-Attempt-Id", "d")
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				done <- outcome{err: err}
				return
			}
			raw, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			done <- outcome{resp.StatusCode, string(raw), err}
		}()
		time.Sleep(200 * time.Millisecond)
		e.stop()
		o := <-done
		So(o, ShouldResemble, outcome{status: 200, body: "late"})
		So(<-e.ended, ShouldBeNil)
	})
}
