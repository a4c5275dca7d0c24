// Package dragonflylogwriter writes log lines without blocking the code that logs.
// Lines pass through a bounded ring to a duty. They are dropped and counted if the
// output is slow or the rate is too high.
package dragonflylogwriter

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"time"

	"dragonflyrelay.example/library/common/dragonflyring"
)

// Limits of the log volume.
const (
	// DefaultLinesPerSecond is the default limit of the rate. An entry at its CPU
	// limit handles 150 requests per second and logs about two lines for each.
	DefaultLinesPerSecond = 400
	ringLines             = 2048
	batchBytes            = 64 << 10
	// flushInterval is the time for which lines are collected into one write, as
	// each write costs a system call.
	flushInterval = 50 * time.Millisecond
)

var (
	written = expvar.NewInt("dragonfly-log-lines-written")
	dropped = expvar.NewInt("dragonfly-log-lines-dropped")
)

// Writer is an io.Writer for a slog handler, which calls Write for one line at a
// time. It is created by New.
type Writer struct {
	ring *dragonflyring.Ring[[]byte]
	rate int
	now  func() time.Time

	currentSecond     int64 // Unix time in seconds to which linesInSecond belongs
	linesInSecond     int   // lines accepted in currentSecond
	droppedSinceWrite int   // lines dropped since the last queued one
}

// New returns a writer of at most rate lines per second. A rate of 0 means
// DefaultLinesPerSecond.
func New(rate int) *Writer {
	if rate <= 0 {
		rate = DefaultLinesPerSecond
	}
	return &Writer{ring: dragonflyring.New[[]byte]("log", ringLines), rate: rate, now: time.Now}
}

// Write queues one line or drops it. It never fails and never blocks.
func (w *Writer) Write(p []byte) (n int, err error) {
	if currentSecond := w.now().Unix(); currentSecond != w.currentSecond {
		w.currentSecond, w.linesInSecond = currentSecond, 0
	}
	if w.linesInSecond >= w.rate {
		w.countDropped()
		return len(p), nil
	}
	w.linesInSecond++
	line := append([]byte(nil), p...)
	if w.droppedSinceWrite > 0 {
		line = append(fmt.Appendf(nil, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", w.droppedSinceWrite), line...)
	}
	if w.ring.TryPut(line) != nil {
		w.countDropped()
		return len(p), nil
	}
	w.droppedSinceWrite = 0
	return len(p), nil
}

func (w *Writer) countDropped() {
	w.droppedSinceWrite++
	dropped.Add(1)
}

// Run writes the queued lines to out until the writer is closed and its ring is
// empty.
func (w *Writer) Run(out io.Writer) {
	ctx := context.Background()
	flush := time.NewTimer(0)
	defer flush.Stop()
	for {
		batch, err := w.ring.Take(ctx)
		if err != nil {
			return
		}
		lines := int64(1)
		flush.Reset(flushInterval)
		select {
		case <-flush.C:
		case <-w.ring.Done():
		}
		for len(batch) < batchBytes && w.ring.Len() > 0 {
			line, err := w.ring.Take(ctx)
			if err != nil {
				break
			}
			batch = append(batch, line...)
			lines++
		}
		if _, err := out.Write(batch); err != nil {
			dropped.Add(lines)
			continue
		}
		written.Add(lines)
	}
}

// Close makes Run write the queued lines and return.
func (w *Writer) Close() { w.ring.Close() }
