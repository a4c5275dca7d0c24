package dragonflycontrolserver_test

import (
	"bytes"
	"expvar"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dragonflyrelay.example/library/commands/dragonflyconsensus"
	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
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

// milliseconds returns the duration in the first line with the message, -1 if there is none.
func (l *logged) milliseconds(message string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, rest, _ := strings.Cut(l.buf.String(), "msg="+message+" ")
	line, _, _ := strings.Cut(rest, "\n")
	_, ms, _ := strings.Cut(line, " ms=")
	n, err := strconv.ParseInt(ms, 10, 64)
	if err != nil {
		return -1
	}
	return n
}

// newLogged collects the log lines until the end of the test.
func newLogged() *logged {
	l, before := &logged{}, slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(l, nil)))
	Reset(func() { slog.SetDefault(before) })
	return l
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
		l := newLogged()
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

// TestStallReport guards against a disk that shows nowhere, because it neither carries out
// nor refuses a write, until it answers, and against more than one report of it.
func TestStallReport(t *testing.T) {
	// reportTime leaves a second to a busy machine.
	const reportTime = time.Duration(dragonflyconsensus.MaxWriteTime) + time.Second
	Convey("Given an instance whose disk does not answer", t, func() {
		l, controls := newLogged(), newControls(t, 1)
		disk := newStallable(controls[0])
		var stoodStill atomic.Int64
		controls[0].server.Clock.Read = func() dragonflyinstant.Instant {
			return dragonflyclock.Clock{}.Now().Add(dragonflyduration.Duration(stoodStill.Load()))
		}
		startAll(t, controls)
		assertLeader(controls)
		stalls, began := diskCounter("stalls"), time.Now()
		disk.stall()
		go func() { _, _ = controls[0].propose(setZone("c1", 0, "zona-a", true)) }()
		assertWithin(2*time.Second, func() bool { return disk.waits.Load() == 1 })

		Convey("the stall is logged and counted once in time, and so is its end, with the duration", func() {
			assertWithin(reportTime, func() bool { return l.count("disk-stalled") == 1 })
			So(diskCounter("stalled"), ShouldEqual, 1)
			time.Sleep(reportTime)
			So(l.count("disk-stalled"), ShouldEqual, 1)
			So(l.count("disk-answers"), ShouldEqual, 0)
			disk.recover()
			assertWithin(5*time.Second, func() bool { return l.count("disk-answers") == 1 })
			So(diskCounter("stalled"), ShouldEqual, 0)
			So(diskCounter("stalls")-stalls, ShouldEqual, 1)
			So(l.milliseconds("disk-answers"), ShouldBeBetweenOrEqual,
				(dragonflyconsensus.MaxWriteTime + dragonflyduration.Duration(reportTime)).Milliseconds(), time.Since(began).Milliseconds())
			assertLeader(controls)
		})
		Convey("the time for which the process stood still during the write does not count", func() {
			stoodStill.Store(int64(time.Minute))
			time.Sleep(reportTime)
			So(l.count("disk-stalled"), ShouldEqual, 0)
			assertWithin(reportTime, func() bool { return l.count("disk-stalled") == 1 })
		})
		Convey("a write of 1 s is not reported as a stall", func() {
			time.Sleep(time.Second)
			disk.recover()
			assertLeader(controls)
			So(l.count("disk-stalled"), ShouldEqual, 0)
			So(l.count("disk-answers"), ShouldEqual, 0)
			So(diskCounter("stalls"), ShouldEqual, stalls)
		})
		disk.recover()
		stopAll(controls)
	})
}
