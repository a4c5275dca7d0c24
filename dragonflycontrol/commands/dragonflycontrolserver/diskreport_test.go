package dragonflycontrolserver_test

import (
	"bytes"
	"expvar"
	"log/slog"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// logged collects the log lines of a test.
type logged struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logged) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logged) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.buf.String(), text)
}

// diskCounter returns the value of a counter of instance control-1.
func diskCounter(name string) int64 {
	v, ok := expvar.Get("dragonfly-control-disk-" + name).(*expvar.Map).Get("control-1").(*expvar.Int)
	if !ok {
		return 0
	}
	return v.Value()
}

// TestDiskReport guards against a full disk that shows nowhere, and against a log line or
// a count for each attempt to write to it.
func TestDiskReport(t *testing.T) {
	Convey("A full disk and its end are logged and counted once each", t, func() {
		l, before := &logged{}, slog.Default()
		slog.SetDefault(slog.New(slog.NewTextHandler(l, nil)))
		Reset(func() { slog.SetDefault(before) })
		controls := newControls(t, 1)
		var full atomic.Bool
		var refused atomic.Int32
		controls[0].server.Write = func(f *os.File, p []byte) (int, error) {
			if full.Load() {
				refused.Add(1)
				return 0, syscall.ENOSPC
			}
			return f.Write(p)
		}
		startAll(t, controls)
		failures := diskCounter("failures")
		for spell := 1; spell <= 2; spell++ {
			full.Store(true)
			refused.Store(0)
			_, _ = controls[0].propose(setZone("c1", 0, "zona-a", true))
			assertWithin(5*time.Second, func() bool { return refused.Load() > 2 })
			So(l.count("disk-refuses-writes"), ShouldEqual, spell)
			So(diskCounter("failing"), ShouldEqual, 1)
			full.Store(false)
			assertWithin(5*time.Second, func() bool { return diskCounter("failing") == 0 })
			assertWithin(5*time.Second, func() bool { return l.count("disk-recovered") == spell })
			assertLeader(controls)
		}
		So(diskCounter("failures")-failures, ShouldEqual, 2)
		stopAll(controls)
	})
}
