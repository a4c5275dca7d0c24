package dragonflyforwarder_test

import (
	"context"
	"expvar"
	"log/slog"
	"sync/atomic"
	"testing"

	"dragonflyrelay.example/library/values/dragonflyendpoint"
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
