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

// call sends one request and returns status and body; a body that is broken off
// returns an error.
func (e *entry) call(method, path string, headers ...string) (status int, body string, err error) {
	req, err := http.NewRequest(method, "http://"+e.addr+path, strings.NewReader("prompt"))
	So(err, ShouldBeNil)
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
	Convey("An answer is passed on unchanged, and the connection used again", t, func() {
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
	Convey("A request that must run once is not sent again after its answer was lost", t, func() {
		u := newUpstream(closeConnection)
		v := newUpstream(closeConnection)
		e := newEntry(u.endpoint("a", "app"), v.endpoint("b", "app"))
		assertResponse(e, "/once/1", 502, "")
		So(len(u.requests())+len(v.requests()), ShouldEqual, 1)
	})
	Convey("A request that was not run goes to another upstream", t, func() {
		u := newUpstream(notRun)
		v := newUpstream(plainResponse("done"))
		e := newEntry(u.endpoint("a", "app"), v.endpoint("b", "app"))
		for i := range 4 {
			assertResponse(e, fmt.Sprint("/once/", i), 200, "done")
		}
	})
	Convey("A refusal that says not run is true and tells when to come back", t, func() {
		u := newUpstream(notRun)
		e := newEntry(u.endpoint("a", "app"))
		assertResponse(e, "/once/1", 503, "")
	})
	Convey("An idempotent request is tried again after a loss and after a failure", t, func() {
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
	Convey("An answer that is cut short is not passed on as whole", t, func() {
		u := newUpstream(func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, responseHead(r, "200 OK", "Content-Length: 10\r\n\r\nhal"))
			_ = c.Close()
		})
		e := newEntry(u.endpoint("a", "app"))
		assertResponse(e, "/once/1", 502, "")
	})
	Convey("An answer without a length ends with its connection", t, func() {
		u := newUpstream(func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, responseHead(r, "200 OK", "\r\nall of it"))
			_ = c.Close()
		})
		e := newEntry(u.endpoint("a", "app"))
		assertResponse(e, "/once/1", 200, "all of it")
	})
	Convey("A second answer on a kept connection goes to nobody", t, func() {
		u := newUpstream(func(c net.Conn, r *http.Request) {
			plainResponse("first")(c, r)
			plainResponse("extra")(c, r)
		}, plainResponse("second"))
		e := newEntry(u.endpoint("a", "app"))
		assertResponse(e, "/once/1", 200, "first")
		assertResponse(e, "/once/2", 200, "second")
	})
	Convey("An answer to another request is a loss", t, func() {
		u := newUpstream(func(c net.Conn, r *http.Request) {
			r.Header.Set("X-Attempt-Id", "another")
			plainResponse("not yours")(c, r)
		})
		e := newEntry(u.endpoint("a", "app"))
		assertResponse(e, "/once/1", 502, "")
	})
	Convey("The route's time limit ends a request that hangs", t, func() {
		u := newUpstream(func(_ net.Conn, _ *http.Request) { time.Sleep(3 * time.Second) })
		e := newEntry(u.endpoint("a", "app"))
		began := time.Now()
		assertResponse(e, "/once/1", 504, "")
		So(time.Since(began), ShouldBeLessThan, 1400*time.Millisecond)
	})
}

func TestStreams(t *testing.T) {
	Convey("Events are passed on in order to the end", t, func() {
		u := newUpstream(streamResponse(1, 5, true))
		e := newEntry(u.endpoint("a", "llm"))
		assertResponse(e, "/stream/1", 200, eventText(1, 5))
	})
	Convey("A stream that breaks off continues at another upstream after its last event", t, func() {
		resumed := func(c net.Conn, r *http.Request) {
			if r.Header.Get("Last-Event-Id") == "3" {
				streamResponse(3, 6, true)(c, r) // Begins one event too early.
				return
			}
			streamResponse(1, 3, false)(c, r)
		}
		u, v := newUpstream(resumed), newUpstream(resumed)
		e := newEntry(u.endpoint("a", "llm"), v.endpoint("b", "llm"))
		assertResponse(e, "/stream/1", 200, eventText(1, 6))
		So(len(u.requests())+len(v.requests()), ShouldEqual, 2)
	})
	Convey("A run at a group that has ended counts against the attempts", t, func() {
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
	Convey("The upstream's connection ends when the caller leaves", t, func() {
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
	Convey("Unknown routes and keys are refused", t, func() {
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
	Convey("Keys are not honoured when control's leadership is not confirmed", t, func() {
		u := newUpstream(plainResponse("x"))
		e := newEntryWithAge(time.Hour, u.endpoint("a", "app"))
		time.Sleep(200 * time.Millisecond)
		status, _, err := e.call("POST", "/once/1")
		So(err, ShouldBeNil)
		So(status, ShouldEqual, 503)
		So(u.requests(), ShouldBeEmpty)
	})
}

// TestDrain guards that a shutdown cuts no request in progress.
func TestDrain(t *testing.T) {
	Convey("A request in progress ends whole after SIGTERM", t, func() {
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
