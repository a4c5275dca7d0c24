package dragonflyforwarder_test

import (
	"bufio"
	"context"
	"expvar"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	"dragonflyrelay.example/library/values/dragonflymodeladmission"
	. "github.com/smartystreets/goconvey/convey"
)

// failureLog counts the log lines of failed attempts.
type failureLog struct {
	slog.Handler
	lines *atomic.Int64
}

// Handle implements slog.Handler.
func (l failureLog) Handle(_ context.Context, r slog.Record) error {
	if r.Message == "attempt failed" {
		l.lines.Add(1)
	}
	return nil
}

// TestTriesWhileWaiting guards against a request that tries unreachable endpoints, and logs
// each try, without a bound while it waits and returns.
func TestTriesWhileWaiting(t *testing.T) {
	Convey("A request that finds three endpoints unreachable tries at most 15 times and logs three", t, func() {
		var dead []dragonflyendpoint.Endpoint
		for _, id := range []string{"a", "b", "c"} {
			u := newUpstream(plainResponse("ok"))
			_ = u.l.Close()
			dead = append(dead, u.endpoint(id, "llm"))
		}
		e := newEntryWithMemory(waitingMemory, 0, nil, nil, dead...)
		before, lines := slog.Default(), &atomic.Int64{}
		slog.SetDefault(slog.New(failureLog{before.Handler(), lines}))
		Reset(func() { slog.SetDefault(before) })
		dials := expvar.Get("dragonfly-upstream-dials").(*expvar.Int)
		from := dials.Value()
		status, _, _ := e.timedCall("/stream/1", "k1")
		So(status, ShouldEqual, 503)
		So(dials.Value()-from, ShouldBeBetween, 6, 16)
		So(lines.Load(), ShouldEqual, 3)
	})
}

// TestAdmissionAfterWaiting guards against released requests that pass the admission and the
// shedding of an overload because they have waited.
func TestAdmissionAfterWaiting(t *testing.T) {
	Convey("Requests that have waited for an endpoint are admitted like new ones", t, func() {
		var decided atomic.Bool
		back, next, v := &returning{}, make(chan []dragonflyendpoint.Endpoint, 1), newUpstream(streamResponse(1, 3, true))
		amend := func(q dragonflyfollowrequest.Request, n *dragonflyfollowresponse.Response) {
			back.amend(q, n)
			if decided.Load() {
				n.Admissions = []dragonflymodeladmission.Admission{{Service: "llm", Rank: 0, Fraction: 0.1}}
			}
		}
		back.expect(1700 * time.Millisecond)
		e := newEntryWithMemory(waitingMemory, 0, next, amend, newUpstream(plainResponse("ok")).endpoint("a", "app"))
		const n = 16
		refused := make(chan bool, n)
		for i := range n {
			go func() {
				status, retryAfter := e.tryCall(fmt.Sprint("/stream/", i))
				refused <- status == 503 && retryAfter == "0.500"
			}()
		}
		time.AfterFunc(300*time.Millisecond, func() { decided.Store(true) })
		time.AfterFunc(1000*time.Millisecond, func() { next <- []dragonflyendpoint.Endpoint{v.endpoint("b", "llm")} })
		number := 0
		for range n {
			if <-refused {
				number++
			}
		}
		So(number, ShouldBeBetween, 2, n)
	})
}

// tryCall sends a request and returns the status and the Retry-After, 0 after an error.
func (e *entry) tryCall(path string) (status int, retryAfter string) {
	c, err := net.Dial("tcp", e.addr)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\nX-Attempt-Id: %s\r\nContent-Length: 2\r\n\r\nhi", path, path)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, ""
	}
	_ = r.Body.Close()
	return r.StatusCode, r.Header.Get("Retry-After")
}
