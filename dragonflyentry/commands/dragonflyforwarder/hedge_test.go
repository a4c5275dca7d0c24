package dragonflyforwarder_test

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dragonflyrelay.example/dragonflyentry/values/dragonflyforwardsettings"
	"dragonflyrelay.example/library/common/dragonflycompression"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	. "github.com/smartystreets/goconvey/convey"
)

type step = func(c net.Conn, r *http.Request)

// pair are two upstreams before an entry. A request whose path contains "test" is handled by
// the next of their common steps, and any other one at once.
type pair struct {
	upstreams [2]*upstream
	entry     *entry

	mu    sync.Mutex
	steps []step
	sent  []time.Time // arrivals of the requests with steps
	// instances are the ids of the endpoints that got requests, from the first one with a
	// step on.
	instances []string
}

// newPair returns a pair whose entry may send the share ratio of the requests twice, and knows
// the usual times of calls and streams. Change changes the routing document.
func newPair(ratio float64, change func(document string) string, steps ...step) *pair {
	p := &pair{steps: steps}
	for i := range p.upstreams {
		p.upstreams[i] = newUpstream(p.handle)
	}
	content, err := dragonflycompression.Compress([]byte(change(document)))
	So(err, ShouldBeNil)
	amend := func(_ dragonflyfollowrequest.Request, n *dragonflyfollowresponse.Response) { n.Content = content }
	share := func(s *dragonflyforwardsettings.Settings) { s.SecondSendRatio = ratio }
	a, b := p.upstreams[0], p.upstreams[1]
	p.entry = newEntryWithSettings(share, 0, nil, amend,
		a.endpoint("a", "app"), b.endpoint("b", "app"), a.endpoint("c", "app"), a.endpoint("d", "llm"), b.endpoint("e", "llm"), a.endpoint("f", "llm"))
	for i := range 10 {
		assertResponse(p.entry, fmt.Sprint("/read/", i), 200, fmt.Sprint("/read/", i))
		assertResponse(p.entry, fmt.Sprint("/stream/", i), 200, eventText(1, lastEvent))
	}
	return p
}

func sameDocument(document string) string { return document }

// answerPath answers a stream with events, and a call with its path.
func answerPath(c net.Conn, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		streamResponse(1, lastEvent, true)(c, r)
		return
	}
	plainResponse(r.URL.Path)(c, r)
}

func (p *pair) handle(c net.Conn, r *http.Request) {
	p.mu.Lock()
	if len(p.sent) > 0 || strings.Contains(r.URL.Path, "test") {
		p.instances = append(p.instances, r.Header.Get("X-Expect-Instance"))
	}
	if !strings.Contains(r.URL.Path, "test") {
		p.mu.Unlock()
		answerPath(c, r)
		return
	}
	next := p.steps[min(len(p.sent), len(p.steps)-1)]
	p.sent = append(p.sent, time.Now())
	p.mu.Unlock()
	next(c, r)
}

// assertSends checks how often the requests with steps were sent.
func (p *pair) assertSends(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	So(p.sent, ShouldHaveLength, n)
}

// hang returns a step that sends nothing until the entry closes the connection, and the time
// of the closing.
func hang() (s step, closed chan time.Time) {
	closed = make(chan time.Time, 1)
	return func(c net.Conn, _ *http.Request) {
		_, _ = c.Read(make([]byte, 1))
		closed <- time.Now()
	}, closed
}

// assertClosed checks that the entry has closed the connection of a hanging step by now.
func assertClosed(closed chan time.Time) {
	select {
	case <-closed:
	case <-time.After(100 * time.Millisecond):
		So("the connection of the other upstream is open", ShouldBeEmpty)
	}
}

// after returns s delayed by d.
func after(d time.Duration, s step) step {
	return func(c net.Conn, r *http.Request) {
		time.Sleep(d)
		s(c, r)
	}
}

const ms = time.Millisecond

// secondSends returns the counter of second attempts with the given name.
func secondSends(name string) string {
	if v := expvar.Get("dragonfly-forward-second-sends").(*expvar.Map).Get(name); v != nil {
		return v.String()
	}
	return "0"
}

// TestHedgedCalls guards against callers that wait for a slow upstream while another one has
// the answer, and against anything of the other attempt that reaches a caller.
func TestHedgedCalls(t *testing.T) {
	Convey("The second upstream answers first; the first one is left at once and not avoided", t, func() {
		stuck, closed := hang()
		p := newPair(1, sameDocument, stuck, answerPath, stuck, answerPath)
		before, won := secondSends("sent"), secondSends("won")
		began := time.Now()
		assertResponse(p.entry, "/read/test", 200, "/read/test")
		So(time.Since(began), ShouldBeGreaterThan, 250*ms)
		assertClosed(closed)
		p.assertSends(2)
		So(secondSends("sent"), ShouldNotEqual, before)
		So(secondSends("won"), ShouldNotEqual, won)
		p.mu.Lock()
		left, n := p.instances[0], len(p.instances)
		p.mu.Unlock()
		for i := range 4 {
			assertResponse(p.entry, fmt.Sprint("/once/", i), 200, fmt.Sprint("/once/", i))
		}
		So(p.instances[n:], ShouldContain, left)

		// The request is no suspect of a crash.
		assertResponse(p.entry, "/read/test", 200, "/read/test")
		assertClosed(closed)
		p.assertSends(4)
	})
	Convey("The first upstream answers after the second one got the request", t, func() {
		stuck, closed := hang()
		p := newPair(1, sameDocument, after(600*ms, answerPath), stuck)
		assertResponse(p.entry, "/read/test", 200, "/read/test")
		assertClosed(closed)
		p.assertSends(2)
	})
	Convey("The answer of the other upstream comes late, to nobody", t, func() {
		p := newPair(1, sameDocument, after(800*ms, plainResponse("late")), after(50*ms, answerPath))
		assertResponse(p.entry, "/read/test", 200, "/read/test")
		for i := range 40 {
			assertResponse(p.entry, fmt.Sprint("/once/", i), 200, fmt.Sprint("/once/", i))
			time.Sleep(15 * ms)
		}
	})
	for name, s := range map[string]step{"is lost": closeConnection, "is refused": notRun, "fails": func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, responseHead(r, "500 Error", "Content-Length: 0\r\n\r\n"))
	}} {
		Convey("The second attempt "+name+", and the first one continues", t, func() {
			p := newPair(1, sameDocument, after(600*ms, answerPath), s)
			assertResponse(p.entry, "/read/test", 200, "/read/test")
			p.assertSends(2)
		})
		Convey("The first attempt "+name+" after the second one was sent, which continues", t, func() {
			p := newPair(1, sameDocument, after(300*ms, s), after(200*ms, answerPath))
			assertResponse(p.entry, "/read/test", 200, "/read/test")
			p.assertSends(2)
		})
	}
	Convey("Both attempts are lost, which are all that the route allows", t, func() {
		p := newPair(1, sameDocument, after(300*ms, closeConnection), after(150*ms, closeConnection), answerPath)
		assertResponse(p.entry, "/read/test", 502, "")
		p.assertSends(2)
	})
	Convey("Both are lost, and the route allows a third one", t, func() {
		three := func(d string) string { return strings.ReplaceAll(d, `"max_attempts":2`, `"max_attempts":3`) }
		p := newPair(1, three, after(300*ms, closeConnection), after(150*ms, closeConnection), answerPath)
		assertResponse(p.entry, "/read/test", 200, "/read/test")
		p.assertSends(3)
	})
	Convey("The caller leaves, which ends both", t, func() {
		stuck, closed := hang()
		other, otherClosed := hang()
		p := newPair(1, sameDocument, stuck, other)
		ctx, cancel := context.WithTimeout(context.Background(), 600*ms)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, "POST", "http://"+p.entry.addr+"/read/test", nil)
		So(err, ShouldBeNil)
		_, _, err = p.entry.do(req, "/read/test")
		So(err, ShouldNotBeNil)
		p.assertSends(2)
		assertClosed(closed)
		assertClosed(otherClosed)
	})
	Convey("Many requests whose attempts answer at about the same time get their own answers", t, func() {
		p := newPair(1, sameDocument, after(300*ms, answerPath), after(50*ms, answerPath), after(260*ms, answerPath), after(10*ms, answerPath))
		results := make(chan string, 12)
		for i := range 12 {
			go func() {
				path := fmt.Sprint("/read/test", i)
				req, _ := http.NewRequest("POST", "http://"+p.entry.addr+path, nil)
				status, body, err := p.entry.do(req, path)
				results <- fmt.Sprint(status, body == path, err)
			}()
		}
		for range 12 {
			So(<-results, ShouldEqual, "200 true <nil>")
		}
	})
}

// TestNeverHedged guards against a second copy of a request that must be sent once only.
func TestNeverHedged(t *testing.T) {
	slow := after(600*ms, answerPath)
	assertOnce := func(p *pair, path string) {
		assertResponse(p.entry, path, 200, path)
		p.assertSends(1)
	}
	Convey("A non-idempotent call", t, func() { assertOnce(newPair(1, sameDocument, slow), "/once/test") })
	Convey("A call whose route allows one attempt", t, func() {
		one := func(d string) string { return strings.ReplaceAll(d, `"max_attempts":2`, `"max_attempts":1`) }
		assertOnce(newPair(1, one, slow), "/read/test")
	})
	Convey("A call at an entry without a share", t, func() { assertOnce(newPair(0, sameDocument, slow), "/read/test") })
	Convey("A call beyond the share", t, func() {
		refused := secondSends("refused-budget")
		p := newPair(0.01, sameDocument, slow)
		assertOnce(p, "/read/test")
		So(secondSends("refused-budget"), ShouldNotEqual, refused)
	})
	Convey("A stream that cannot be resumed", t, func() {
		fixed := func(d string) string { return strings.ReplaceAll(d, `"can_resume":true`, `"can_resume":false`) }
		p := newPair(1, fixed, after(1300*ms, answerPath))
		assertResponse(p.entry, "/stream/test", 200, eventText(1, lastEvent))
		p.assertSends(1)
	})
	Convey("A call that was lost with an upstream lately", t, func() {
		p := newPair(1, sameDocument, closeConnection, closeConnection, slow)
		assertResponse(p.entry, "/read/test", 502, "")
		time.Sleep(500 * ms)
		assertResponse(p.entry, "/read/test", 200, "/read/test")
		p.assertSends(3)
	})
	Convey("A call that has lost an attempt", t, func() {
		three := func(d string) string { return strings.ReplaceAll(d, `"max_attempts":2`, `"max_attempts":3`) }
		p := newPair(1, three, closeConnection, slow)
		assertResponse(p.entry, "/read/test", 200, "/read/test")
		p.assertSends(2)
	})
}

// TestHedgedStreams guards against streams that wait for the first event of a slow upstream,
// and against events of two upstreams in one stream.
func TestHedgedStreams(t *testing.T) {
	// headOnly sends the head of a stream and then behaves like s.
	headOnly := func(s step) step {
		return func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, responseHead(r, "200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
			s(c, r)
		}
	}
	assertHedged := func(closed chan time.Time, steps ...step) {
		p := newPair(1, sameDocument, steps...)
		began := time.Now()
		assertResponse(p.entry, "/stream/test", 200, eventText(1, lastEvent))
		So(time.Since(began), ShouldBeGreaterThan, 1000*ms)
		p.assertSends(2)
		if closed != nil {
			assertClosed(closed)
		}
	}
	Convey("The second upstream has the first event first", t, func() {
		stuck, closed := hang()
		assertHedged(closed, headOnly(stuck), answerPath)
	})
	Convey("The first upstream has it after the second one got the request", t, func() {
		stuck, closed := hang()
		assertHedged(closed, after(1600*ms, answerPath), headOnly(stuck))
	})
	Convey("The second attempt is lost, and the first one continues", t, func() {
		assertHedged(nil, after(1600*ms, answerPath), closeConnection)
	})
	Convey("The second upstream goes on slowly after its first event", t, func() {
		stuck, closed := hang()
		assertHedged(closed, stuck, func(c net.Conn, r *http.Request) { silentStream(4, 300*ms)(c, r) })
	})
	// cutStream answers with a stream that is cut off after its third event, and continueStream
	// with one that goes on after the last event of the caller.
	cutStream, continueStream := streamResponse(1, 3, false), silentStream(0, 0)
	Convey("The second upstream is lost after its first event, and a third one continues the stream", t, func() {
		three := func(d string) string { return strings.ReplaceAll(d, `"max_attempts":2`, `"max_attempts":3`) }
		stuck, closed := hang()
		p := newPair(1, three, stuck, cutStream, continueStream)
		assertResponse(p.entry, "/stream/test", 200, eventText(1, lastEvent))
		p.assertSends(3)
		assertClosed(closed)
	})
	Convey("The second upstream is lost after its first event, and the route allows no third attempt", t, func() {
		stuck, closed := hang()
		p := newPair(1, sameDocument, stuck, cutStream, continueStream)
		_, body, err := p.entry.call("POST", "/stream/test")
		So(err, ShouldNotBeNil)
		So(body, ShouldEqual, eventText(1, 3))
		p.assertSends(2)
		assertClosed(closed)
	})
	Convey("The first upstream wins and is silent later: the stream moves only if the route allows a third attempt", t, func() {
		for attempts, sends := range map[string]int{"2": 2, "3": 3} {
			stuck, closed := hang()
			change := func(d string) string { return strings.ReplaceAll(d, `"max_attempts":2`, `"max_attempts":`+attempts) }
			p := newPair(1, change, after(1300*ms, silentStream(4, 1300*ms)), stuck, continueStream)
			assertResponse(p.entry, "/stream/test", 200, eventText(1, lastEvent))
			p.assertSends(sends)
			assertClosed(closed)
		}
	})
	Convey("Both upstreams have the first event at the same time", t, func() {
		var mu sync.Mutex
		waiting := map[string]chan struct{}{}
		// together waits until both upstreams have the request.
		together := func(c net.Conn, r *http.Request) {
			mu.Lock()
			both, ok := waiting[r.URL.Path]
			if !ok {
				both = make(chan struct{})
				waiting[r.URL.Path] = both
			}
			mu.Unlock()
			if ok {
				close(both)
			}
			<-both
			answerPath(c, r)
		}
		p := newPair(1, sameDocument, together)
		for round := range 4 {
			results := make(chan string, 2)
			for i := range 2 {
				go func() {
					path := fmt.Sprint("/stream/test", round, i)
					req, _ := http.NewRequest("POST", "http://"+p.entry.addr+path, nil)
					status, body, err := p.entry.do(req, path)
					results <- fmt.Sprint(status, err, body)
				}()
			}
			for range 2 {
				So(<-results, ShouldEqual, fmt.Sprint(200, error(nil), eventText(1, lastEvent)))
			}
		}
		p.assertSends(16)
	})
	Convey("Neither has an event: the stream is over at its deadline, after both attempts", t, func() {
		stuck, closed := hang()
		other, otherClosed := hang()
		p := newPair(1, sameDocument, stuck, other)
		assertResponse(p.entry, "/stream/test", 504, "")
		p.assertSends(2)
		assertClosed(closed)
		assertClosed(otherClosed)
	})
}
