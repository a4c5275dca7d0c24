package dragonflyentryserver_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"dragonflyrelay.example/dragonflyentry/queries/dragonflyentrysettings"
	"dragonflyrelay.example/library/common/dragonflytimeline"
	"dragonflyrelay.example/library/values/dragonflyframe"
	"dragonflyrelay.example/library/values/dragonflytable"
	"dragonflyrelay.example/library/values/dragonflywork"
	"dragonflyrelay.example/library/values/dragonflyzone"
	. "github.com/smartystreets/goconvey/convey"
)

// postConcurrently posts n completions at the same time, every second one streamed.
func postConcurrently(url string, n, tokens int) []response {
	replies := make([]response, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			replies[i] = post(url, completionBody(fmt.Sprint("prompt ", i), tokens, i%2 == 0))
		}()
	}
	wg.Wait()
	return replies
}

func TestStreams(t *testing.T) {
	Convey("200 concurrent answers are complete although one of two groups fails", t, func() {
		// The agent stops at its twentieth request rather than after a time, so that the
		// test does not depend on the speed of the machine.
		const lastWork = 20
		var once sync.Once
		failing := newAgent(t, func(ctx context.Context, a *fakeAgent, w dragonflywork.Work, send func(dragonflyframe.Frame) error) {
			if a.received.Load() >= lastWork {
				once.Do(func() { go a.stop() })
			}
			answerSlowly(5*time.Millisecond)(ctx, a, w, send)
		})
		healthy := newAgent(t, answerSlowly(5*time.Millisecond))
		e := startEntry(t, nil, newControl(t, modelRoute(1, failing), modelRoute(2, healthy)))
		for i, r := range postConcurrently(e.url+"/v1/completions", 200, 30) {
			assertComplete(r, fmt.Sprint("prompt ", i), 30)
		}
		So(failing.received.Load(), ShouldBeGreaterThanOrEqualTo, lastWork)
		So(failing.received.Load()+healthy.received.Load(), ShouldBeGreaterThan, 200)
	})
	Convey("Late frames of an earlier attempt and repeated tokens are dropped", t, func() {
		a := newAgent(t, func(ctx context.Context, a *fakeAgent, w dragonflywork.Work, send func(dragonflyframe.Frame) error) {
			if w.Attempt == 1 {
				_ = send(dragonflyframe.Frame{Kind: dragonflyframe.Token, Index: 0, Text: tokenAt(w.Prompt, 0)})
				_ = send(dragonflyframe.Frame{Kind: dragonflyframe.Failed, MayHaveRun: true, Reason: "no-lease"})
				return
			}
			_ = send(dragonflyframe.Frame{Kind: dragonflyframe.Token, Attempt: 1, Index: 1, Text: "late"})
			_ = send(dragonflyframe.Frame{Kind: dragonflyframe.Done, Attempt: 1, Index: 2})
			_ = send(dragonflyframe.Frame{Kind: dragonflyframe.Token, Index: 0, Text: "repeated"})
			answer(ctx, a, w, send)
		})
		e := startEntry(t, nil, newControl(t, modelRoute(1, a), modelRoute(2, a)))
		assertComplete(post(e.url+"/v1/completions", completionBody("tela", 4, true)), "tela", 4)
		assertComplete(post(e.url+"/v1/completions", completionBody("tela", 4, false)), "tela", 4)
	})
	Convey("An answer that cannot be completed ends with an error, never as a complete one", t, func() {
		a := newAgent(t, func(_ context.Context, _ *fakeAgent, w dragonflywork.Work, send func(dragonflyframe.Frame) error) {
			i := len(w.Delivered)
			_ = send(dragonflyframe.Frame{Kind: dragonflyframe.Token, Index: i, Text: tokenAt(w.Prompt, i)})
			_ = send(dragonflyframe.Frame{Kind: dragonflyframe.Failed, MayHaveRun: true, Reason: "broken"})
		})
		e := startEntry(t, func(s *dragonflyentrysettings.Settings) { s.RouteWait = 100e6 }, newControl(t, modelRoute(1, a)))
		r := post(e.url+"/v1/completions", completionBody("tela", 50, false))
		assertError(r, 502, "failed", "broken")
		eventually(t, "the route is used again", func() bool {
			r = post(e.url+"/v1/completions", completionBody("tela", 50, true))
			return r.status == 200
		})
		So(r.last().kind, ShouldEqual, "error")
		So(r.last().data, ShouldContainSubstring, `"outcome":"failed"`)
		So(strings.Join(r.eventData(), ""), ShouldNotContainSubstring, "[DONE]")
	})
	Convey("The caller gets an error at the deadline of the class", t, func() {
		a := newAgent(t, stallUntilCancelled)
		e := startEntry(t, nil, newControl(t, modelRoute(1, a)))
		start := time.Now()
		assertError(post(e.url+"/v1/completions", completionBody("tela", 4, false), "dragonfly-class", "brief"), 504, "failed", "deadline")
		So(time.Since(start), ShouldBeLessThan, time.Second)
	})
}

func TestRefusals(t *testing.T) {
	Convey("A refused request is retried on another route, and reported as not run if all routes refuse it", t, func() {
		refusing, answering := newAgent(t, refuseWork("not-ready")), newAgent(t, nil)
		e := startEntry(t, nil, newControl(t, modelRoute(1, refusing), modelRoute(2, answering)))
		for i, r := range postConcurrently(e.url+"/v1/completions", 20, 3) {
			assertComplete(r, fmt.Sprint("prompt ", i), 3)
		}
		e = startEntry(t, func(s *dragonflyentrysettings.Settings) { s.RouteWait = 100e6 }, newControl(t, modelRoute(1, refusing)))
		assertError(post(e.url+"/v1/completions", completionBody("tela", 3, false)), 503, "not-run", "not-ready")
	})
	Convey("A request reported as not run has never run, despite refusals and lost connections", t, func() {
		flaky := func(ctx context.Context, a *fakeAgent, w dragonflywork.Work, send func(dragonflyframe.Frame) error) {
			switch {
			case w.Attempt%2 == 1 && len(w.Path)%3 == 0:
				_ = send(dragonflyframe.Frame{Kind: dragonflyframe.Refused, Reason: "overloaded"})
			case w.Attempt%2 == 0 && len(w.Path)%2 == 0:
				a.countRun(w) // The stream ends before the answer.
			default:
				answer(ctx, a, w, send)
			}
		}
		a, b := newAgent(t, flaky), newAgent(t, flaky)
		e := startEntry(t, nil, newControl(t, serviceRoute(1, a), serviceRoute(2, b)))
		replies := make([]response, 100)
		var wg sync.WaitGroup
		for i := range replies {
			wg.Add(1)
			go func() {
				defer wg.Done()
				replies[i] = post(e.url+"/services/orders/"+strings.Repeat("x", i%7), "", "call", fmt.Sprint(i))
			}()
		}
		wg.Wait()
		outcomes := map[string]int{}
		for i, r := range replies {
			runs := a.runsOf(fmt.Sprint(i)) + b.runsOf(fmt.Sprint(i))
			outcome := r.header.Get("dragonfly-outcome")
			outcomes[outcome]++
			So(runs, ShouldBeLessThanOrEqualTo, 1)
			switch outcome {
			case "not-run":
				So(runs, ShouldEqual, 0)
			case "":
				So(r.status, ShouldEqual, 201)
				So(runs, ShouldEqual, 1)
			default:
				So(outcome, ShouldEqual, "unknown")
			}
		}
		So(outcomes[""], ShouldBeGreaterThan, 0)
		So(outcomes["unknown"], ShouldBeGreaterThan, 0)
	})
	Convey("A zone that is taken out gets no new request after 3 s, although a control instance is lost", t, func() {
		a := newAgent(t, nil)
		lost, remaining := newControl(t, modelRoute(1, a)), newControl(t, modelRoute(1, a))
		e := startEntry(t, func(s *dragonflyentrysettings.Settings) { s.RouteWait = 10e6 }, lost, remaining)
		assertComplete(post(e.url+"/v1/completions", completionBody("tela", 3, false)), "tela", 3)
		lost.stop()
		start := time.Now()
		remaining.changeTable(func(t dragonflytable.Table) dragonflytable.Table {
			t.Config = t.Config.WithVersion(2).WithZone(dragonflyzone.Zone{}.WithName("zona-a").WithOut(true))
			return t
		})
		eventually(t, "requests are refused", func() bool {
			return post(e.url+"/v1/completions", completionBody("tela", 3, false)).status == 503
		})
		So(time.Since(start), ShouldBeLessThan, 3*time.Second)
	})
}

// openStream sends a streamed request over a new connection and returns the
// connection without reading the response.
func openStream(e *runningEntry, body string) net.Conn {
	conn, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
	So(err, ShouldBeNil)
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", bearer, len(body), body)
	So(err, ShouldBeNil)
	return conn
}

func TestCallers(t *testing.T) {
	Convey("The work of a caller that disconnects is cancelled at the agent within a second", t, func() {
		a := newAgent(t, stallUntilCancelled)
		e := startEntry(t, nil, newControl(t, modelRoute(1, a)))
		for i, stream := range []bool{true, false} {
			conn := openStream(e, completionBody("tela", 10, stream))
			eventually(t, "the agent has the work", func() bool { return a.received.Load() == int64(i+1) })
			start := time.Now()
			So(conn.Close(), ShouldBeNil)
			eventually(t, "the work is cancelled", func() bool { return a.cancelled.Load() == int64(i+1) })
			So(time.Since(start), ShouldBeLessThan, time.Second)
		}
	})
	Convey("A caller that does not read is disconnected and delays no other caller", t, func() {
		long := strings.Repeat("x", 8<<10)
		a := newAgent(t, func(ctx context.Context, a *fakeAgent, w dragonflywork.Work, send func(dragonflyframe.Frame) error) {
			if w.Prompt != "slow" {
				answer(ctx, a, w, send)
				return
			}
			for i := 0; ctx.Err() == nil; i++ { // Ends only when the work is cancelled.
				_ = send(dragonflyframe.Frame{Kind: dragonflyframe.Token, Index: i, Text: long})
			}
			a.cancelled.Add(1)
		})
		e := startEntry(t, func(s *dragonflyentrysettings.Settings) { s.WriteTimeout = 300e6 }, newControl(t, modelRoute(1, a)))
		conn := openStream(e, completionBody("slow", 4000, true))
		defer func() { _ = conn.Close() }()
		eventually(t, "the agent has the work", func() bool { return a.received.Load() == 1 })
		for range 10 {
			start := time.Now()
			assertComplete(post(e.url+"/v1/completions", completionBody("tela", 5, true)), "tela", 5)
			So(time.Since(start), ShouldBeLessThan, time.Second)
		}
		eventually(t, "the slow caller's work is cancelled", func() bool { return a.cancelled.Load() == 1 })
	})
	Convey("A caller that does not send its body is disconnected", t, func() {
		e := startEntry(t, func(s *dragonflyentrysettings.Settings) { s.ReadTimeout = 200e6 }, newControl(t))
		conn, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
		So(err, ShouldBeNil)
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprint(conn, "POST /v1/completions HTTP/1.1\r\nHost: e\r\nContent-Length: 100\r\n\r\n{")
		So(err, ShouldBeNil)
		So(conn.SetReadDeadline(time.Now().Add(3*time.Second)), ShouldBeNil)
		raw, err := io.ReadAll(conn)
		So(err, ShouldBeNil) // The entry has closed the connection.
		So(string(raw), ShouldStartWith, "HTTP/1.1 4")
	})
	Convey("A shutdown interrupts no stream and refuses new requests as not run", t, func() {
		a := newAgent(t, answerSlowly(20*time.Millisecond))
		e := startEntry(t, nil, newControl(t, modelRoute(1, a), serviceRoute(1, a)))
		replies := make(chan []response, 1)
		go func() { replies <- postConcurrently(e.url+"/v1/completions", 50, 40) }()
		eventually(t, "all streams run", func() bool { return a.received.Load() == 50 })
		e.shutdown()
		eventually(t, "the entry is not ready", func() bool {
			res, err := http.Get(e.url + "/readyz")
			return err == nil && res.Body.Close() == nil && res.StatusCode == 503
		})
		assertError(post(e.url+"/v1/completions", completionBody("tela", 3, false)), 503, "not-run", "shutting-down")
		for i, r := range <-replies {
			assertComplete(r, fmt.Sprint("prompt ", i), 40)
		}
		So(<-e.done, ShouldBeNil)
		So(a.received.Load(), ShouldEqual, 50)
	})
	Convey("A shutdown that exceeds the drain timeout answers the remaining callers with an error", t, func() {
		a := newAgent(t, stallUntilCancelled)
		e := startEntry(t, func(s *dragonflyentrysettings.Settings) { s.DrainTimeout = 100e6 }, newControl(t, modelRoute(1, a)))
		got := make(chan response, 1)
		go func() { got <- post(e.url+"/v1/completions", completionBody("tela", 3, false)) }()
		eventually(t, "the agent has the work", func() bool { return a.received.Load() == 1 })
		e.shutdown()
		assertError(<-got, 502, "unknown", "entry-stopped")
		So(<-e.done, ShouldNotBeNil)
	})
	Convey("The timeline records each request and its attempts", t, func() {
		path := filepath.Join(t.TempDir(), "timeline.jsonl")
		refusing, answering := newAgent(t, refuseWork("not-ready")), newAgent(t, nil)
		e := startEntry(t, func(s *dragonflyentrysettings.Settings) { s.Timeline = path }, newControl(t, modelRoute(1, refusing), modelRoute(2, answering)))
		ids := map[string]bool{}
		for _, r := range postConcurrently(e.url+"/v1/completions", 10, 3) {
			ids[r.header.Get("dragonfly-request-id")] = true
		}
		e.shutdown()
		So(<-e.done, ShouldBeNil)
		raw, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		events := map[string]int{}
		for line := range strings.Lines(string(raw)) {
			o, err := dragonflytimeline.ParseLine([]byte(line))
			So(err, ShouldBeNil)
			So(ids[o.Request], ShouldBeTrue)
			events[o.Event]++
		}
		So(events["request-ended"], ShouldEqual, 10)
		So(events["attempt-sent"], ShouldEqual, 10+events["attempt-refused"])
		So(events["attempt-refused"], ShouldBeGreaterThan, 0)
	})
	Convey("An entry at its cap refuses requests as not run", t, func() {
		a := newAgent(t, stallUntilCancelled)
		e := startEntry(t, func(s *dragonflyentrysettings.Settings) { s.StreamCap = 1 }, newControl(t, modelRoute(1, a)))
		conn := openStream(e, completionBody("tela", 3, true))
		defer func() { _ = conn.Close() }()
		eventually(t, "the agent has the work", func() bool { return a.received.Load() == 1 })
		assertError(post(e.url+"/v1/completions", completionBody("tela", 3, false)), 503, "not-run", "entry-busy")
	})
}
