package dragonflyforwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dragonflyrelay.example/dragonflyentry/commands/dragonflyforwarder"
	"dragonflyrelay.example/dragonflyentry/values/dragonflyforwardsettings"
	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflypool"
	"dragonflyrelay.example/library/common/dragonflyrpcserver"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflynews"
	"dragonflyrelay.example/library/values/dragonflyrepeatlimits"
	"dragonflyrelay.example/platform/dragonflydocumentjson"
	. "github.com/smartystreets/goconvey/convey"
)

const document = `{"version":1,"routes":[
{"name":"s","host":"h","path_prefix":"/stream/","kind":"streaming","timeout_ms":3000,"goal_ms":2000,"service":"llm","max_attempts":2,"can_resume":true,"gap_target_ms":2000},
{"name":"u","host":"h","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":1000,"goal_ms":500,"service":"app","max_attempts":1},
{"name":"i","host":"h","path_prefix":"/read/","kind":"idempotent","timeout_ms":1000,"goal_ms":500,"service":"app","max_attempts":2}],
"services":[{"name":"llm"},{"name":"app"}],"tenants":[{"name":"t1","api_keys":["k1"]}],"limits":{"max_body_bytes":100000}}`

// upstream is a stand-in that answers each request by a script, one step a
// request; the last step repeats.
type upstream struct {
	l     net.Listener
	steps []func(c net.Conn, r *http.Request)

	mu    sync.Mutex
	heads []http.Header
	gone  chan struct{} // receives when a caller's connection ends during a step
}

func newUpstream(steps ...func(c net.Conn, r *http.Request)) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	u := &upstream{l: l, steps: steps, gone: make(chan struct{}, 16)}
	Reset(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	return u
}

func (u *upstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	b := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		u.mu.Lock()
		n := min(len(u.heads), len(u.steps)-1)
		u.heads = append(u.heads, r.Header)
		step := u.steps[n]
		u.mu.Unlock()
		step(c, r)
	}
}

func (u *upstream) requests() []http.Header {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]http.Header(nil), u.heads...)
}

func (u *upstream) row(id, service string) dragonflyendpoint.Endpoint {
	return dragonflyendpoint.Endpoint{ID: id, Boot: 1, Address: u.l.Addr().String(), Service: service, Slots: 8}
}

func headOf(r *http.Request, status, rest string) string {
	return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + r.Header.Get("X-Attempt-Id") + "\r\nX-Server-Seal: seal\r\n" + rest
}

func whole(body string) func(c net.Conn, r *http.Request) {
	return func(c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "%s", headOf(r, "200 OK", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)))
	}
}

// events writes the events from first to last in one chunk each, and ends the
// answer only if whole.
func events(first, last int, complete bool) func(c net.Conn, r *http.Request) {
	return func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, headOf(r, "200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		for i := first; i <= last; i++ {
			e := fmt.Sprintf("id: %d\ndata: x%d\n\n", i, i)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
		}
		if complete {
			_, _ = io.WriteString(c, "0\r\n\r\n")
			return
		}
		_, _ = io.WriteString(c, "8\r\nid: 9\nda\r\n")
		_ = c.Close()
	}
}

func lost(c net.Conn, _ *http.Request) { _ = c.Close() }

func notRun(c net.Conn, r *http.Request) {
	_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Attempt-Id: "+r.Header.Get("X-Attempt-Id")+"\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
}

// entry is a running entry before a stand-in of control.
type entry struct {
	addr, ready string
	stop        context.CancelFunc
	ended       chan error
}

func newEntry(rows ...dragonflyendpoint.Endpoint) *entry {
	return newEntryWith(0, rows...)
}

func newEntryWith(age time.Duration, rows ...dragonflyendpoint.Endpoint) *entry {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	control := &dragonflyrpcserver.Server{Pool: &dragonflypool.Pool{}, Unary: map[string]func(context.Context, []byte) ([]byte, error){
		"/dragonfly.control/Follow": func(ctx context.Context, req []byte) ([]byte, error) {
			q, err := dragonflycodec.UnmarshalQuestion(req)
			if err != nil {
				return nil, err
			}
			n := dragonflynews.News{Leads: true, Version: 1, Content: []byte(document), Term: 1, Revision: 1, Entries: 1, Complete: true}
			n.Age = dragonflynews.News{}.Age + durationOf(age)
			if q.Revision != 1 {
				n.HasTable, n.Endpoints = true, rows
				return dragonflycodec.MarshalNews(n)
			}
			n.Content = nil
			select {
			case <-time.After(time.Duration(q.Wait)):
			case <-ctx.Done():
			}
			return dragonflycodec.MarshalNews(n)
		},
	}}
	go func() { _ = control.Serve(ctx, l) }()
	e := &entry{ended: make(chan error, 1), stop: cancel}
	bound := make(chan [2]net.Addr, 1)
	s := &dragonflyforwarder.Server{
		Settings: dragonflyforwardsettings.Settings{
			Name: "e1", Listen: "127.0.0.1:0", ReadyListen: "127.0.0.1:0", Control: []string{l.Addr().String()},
			Repeats:  dragonflyrepeatlimits.Limits{Ratio: 0.2, Extra: 100, Window: durationOf(10 * time.Second)},
			KeyLease: durationOf(2 * time.Second), Grace: durationOf(2 * time.Second),
		},
		Decode:    dragonflydocumentjson.Unmarshal,
		Listening: func(callers, ready net.Addr) { bound <- [2]net.Addr{callers, ready} },
	}
	go func() { e.ended <- s.Run(ctx) }()
	addrs := <-bound
	e.addr, e.ready = addrs[0].String(), addrs[1].String()
	Reset(cancel)
	if age == 0 {
		So(e.isReady(), ShouldBeTrue)
	}
	return e
}

// isReady waits up to a second for the ready page to say so.
func (e *entry) isReady() bool {
	for range 50 {
		if resp, err := http.Get("http://" + e.ready + "/readyz"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

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

func assertAnswer(e *entry, path string, status int, body string) {
	got, text, err := e.call("POST", path)
	So(err, ShouldBeNil)
	So(got, ShouldEqual, status)
	if body != "" {
		So(text, ShouldEqual, body)
	}
}

func sequence(first, last int) (text string) {
	for i := first; i <= last; i++ {
		text += fmt.Sprintf("id: %d\ndata: x%d\n\n", i, i)
	}
	return text
}

func TestWholeAnswers(t *testing.T) {
	Convey("An answer is passed on unchanged, and the connection used again", t, func() {
		u := newUpstream(whole("hello"))
		e := newEntry(u.row("a", "app"))
		assertAnswer(e, "/once/1", 200, "hello")
		assertAnswer(e, "/once/2", 200, "hello")
		heads := u.requests()
		So(heads, ShouldHaveLength, 2)
		So(heads[0].Get("Api-Key"), ShouldBeEmpty)
		So(heads[0].Get("X-Tenant"), ShouldEqual, "t1")
		So(heads[0].Get("X-Expect-Instance"), ShouldEqual, "a")
	})
	Convey("A request that must run once is not sent again after its answer was lost", t, func() {
		u := newUpstream(lost)
		v := newUpstream(lost)
		e := newEntry(u.row("a", "app"), v.row("b", "app"))
		assertAnswer(e, "/once/1", 502, "")
		So(len(u.requests())+len(v.requests()), ShouldEqual, 1)
	})
	Convey("A request that was not run goes to another upstream", t, func() {
		u := newUpstream(notRun)
		v := newUpstream(whole("done"))
		e := newEntry(u.row("a", "app"), v.row("b", "app"))
		for i := range 4 {
			assertAnswer(e, fmt.Sprint("/once/", i), 200, "done")
		}
	})
	Convey("A refusal that says not run is true and tells when to come back", t, func() {
		u := newUpstream(notRun)
		e := newEntry(u.row("a", "app"))
		assertAnswer(e, "/once/1", 503, "")
	})
	Convey("An idempotent request is tried again after a loss and after a failure", t, func() {
		for _, step := range []func(net.Conn, *http.Request){lost, func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, headOf(r, "500 Error", "Content-Length: 0\r\n\r\n"))
		}} {
			u := newUpstream(step, whole("done"))
			v := newUpstream(step, whole("done"))
			e := newEntry(u.row("a", "app"), v.row("b", "app"))
			status, _, err := e.call("GET", "/read/1")
			So(err, ShouldBeNil)
			So(status, ShouldBeIn, 200, 502, 500)
			So(len(u.requests())+len(v.requests()), ShouldEqual, 2)
		}
	})
	Convey("An answer that is cut short is not passed on as whole", t, func() {
		u := newUpstream(func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, headOf(r, "200 OK", "Content-Length: 10\r\n\r\nhal"))
			_ = c.Close()
		})
		e := newEntry(u.row("a", "app"))
		assertAnswer(e, "/once/1", 502, "")
	})
	Convey("An answer without a length ends with its connection", t, func() {
		u := newUpstream(func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, headOf(r, "200 OK", "\r\nall of it"))
			_ = c.Close()
		})
		e := newEntry(u.row("a", "app"))
		assertAnswer(e, "/once/1", 200, "all of it")
	})
	Convey("A second answer on a kept connection goes to nobody", t, func() {
		u := newUpstream(func(c net.Conn, r *http.Request) {
			whole("first")(c, r)
			whole("extra")(c, r)
		}, whole("second"))
		e := newEntry(u.row("a", "app"))
		assertAnswer(e, "/once/1", 200, "first")
		assertAnswer(e, "/once/2", 200, "second")
	})
	Convey("An answer to another request is a loss", t, func() {
		u := newUpstream(func(c net.Conn, r *http.Request) {
			r.Header.Set("X-Attempt-Id", "another")
			whole("not yours")(c, r)
		})
		e := newEntry(u.row("a", "app"))
		assertAnswer(e, "/once/1", 502, "")
	})
	Convey("The route's time limit ends a request that hangs", t, func() {
		u := newUpstream(func(_ net.Conn, _ *http.Request) { time.Sleep(3 * time.Second) })
		e := newEntry(u.row("a", "app"))
		began := time.Now()
		assertAnswer(e, "/once/1", 504, "")
		So(time.Since(began), ShouldBeLessThan, 1400*time.Millisecond)
	})
}

func TestStreams(t *testing.T) {
	Convey("Events are passed on in order to the end", t, func() {
		u := newUpstream(events(1, 5, true))
		e := newEntry(u.row("a", "llm"))
		assertAnswer(e, "/stream/1", 200, sequence(1, 5))
	})
	Convey("A stream that breaks off continues at another upstream after its last event", t, func() {
		resumed := func(c net.Conn, r *http.Request) {
			if r.Header.Get("Last-Event-Id") == "3" {
				events(3, 6, true)(c, r) // Begins one event too early.
				return
			}
			events(1, 3, false)(c, r)
		}
		u, v := newUpstream(resumed), newUpstream(resumed)
		e := newEntry(u.row("a", "llm"), v.row("b", "llm"))
		assertAnswer(e, "/stream/1", 200, sequence(1, 6))
		So(len(u.requests())+len(v.requests()), ShouldEqual, 2)
	})
	Convey("A stream that cannot be continued does not look complete", t, func() {
		u := newUpstream(events(1, 3, false))
		e := newEntry(u.row("a", "llm"))
		_, text, err := e.call("POST", "/stream/1")
		So(err, ShouldNotBeNil)
		So(text, ShouldEqual, sequence(1, 3))
	})
	Convey("The upstream's connection ends when the caller leaves", t, func() {
		left := make(chan struct{})
		u := newUpstream(func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, headOf(r, "200 OK", "Transfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: x1\n\n\r\n"))
			_, _ = c.Read(make([]byte, 1))
			close(left)
		})
		e := newEntry(u.row("a", "llm"))
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
		u := newUpstream(whole("x"))
		e := newEntry(u.row("a", "app"))
		assertAnswer(e, "/none/1", 404, "")
		status, _, _ := e.call("POST", "/once/1", "Api-Key", "forged")
		So(status, ShouldEqual, 401)
		So(u.requests(), ShouldBeEmpty)
	})
	Convey("A body over the limit is refused", t, func() {
		u := newUpstream(whole("x"))
		e := newEntry(u.row("a", "app"))
		req, _ := http.NewRequest("POST", "http://"+e.addr+"/once/1", strings.NewReader(strings.Repeat("x", 100_001)))
		req.Host = "h"
		req.Header.Set("Api-Key", "k1")
		resp, err := http.DefaultClient.Do(req)
		So(err, ShouldBeNil)
		_ = resp.Body.Close()
		So(resp.StatusCode, ShouldEqual, 413)
	})
	Convey("Keys are not honoured when control's leadership is not confirmed", t, func() {
		u := newUpstream(whole("x"))
		e := newEntryWith(time.Hour, u.row("a", "app"))
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
			whole("late")(c, r)
		})
		e := newEntry(u.row("a", "app"))
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
