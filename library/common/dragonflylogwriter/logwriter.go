// Package dragonflylogwriter writes log lines without ever blocking those who
// log: lines pass through a bounded ring to a duty, and are dropped and counted
// when the reader is slow or the rate is too high.
package dragonflylogwriter

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"time"

	"dragonflyrelay.example/library/common/dragonflyring"
)

// Bounds of the volume.
const (
	// DefaultLinesPerSecond is the number of lines a second that are written. An entry at
	// its processor's limit makes about two lines for each of 150 requests.
	DefaultLinesPerSecond = 400
	ringLines             = 2048
	batchBytes            = 64 << 10
	// flushInterval joins lines into one write; each write costs a system call.
	flushInterval = 50 * time.Millisecond
)

var (
	written = expvar.NewInt("dragonfly-log-lines-written")
	dropped = expvar.NewInt("dragonfly-log-lines-dropped")
)

// Writer is an io.Writer for a slog handler, which calls Write for one line at a
// time. New returns one.
type Writer struct {
	ring *dragonflyring.Ring[[]byte]
	rate int
	now  func() time.Time

	currentSecond     int64 // of the wall clock
	linesInSecond     int   // in that second
	droppedSinceWrite int   // since the last written line
}

// New returns a writer of at most rate lines a second, DefaultLinesPerSecond if it is 0.
func New(rate int) *Writer {
	if rate <= 0 {
		rate = DefaultLinesPerSecond
	}
	return &Writer{ring: dragonflyring.New[[]byte]("log", ringLines), rate: rate, now: time.Now}
}

// Write queues one line. It never fails and never waits.
func (w *Writer) Write(p []byte) (n int, err error) {
	if second := w.now().Unix(); second != w.currentSecond {
		w.currentSecond, w.linesInSecond = second, 0
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

// Run writes to out until the ring is closed and empty.
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

// Close lets Run write what is queued and return.
func (w *Writer) Close() { w.ring.Close() }
