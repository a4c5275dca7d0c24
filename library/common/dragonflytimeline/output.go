package dragonflytimeline

import (
	"io"
	"log/slog"

	"dragonflyrelay.example/library/values/dragonflyoccurrence"
)

// maxBuffered is the size of the buffered lines, in bytes, from which they are written
// while more events are queued.
const maxBuffered = 64 << 10

// output writes lines together. Lines that cannot be written are dropped and counted,
// and later ones are tried again, because a disk that is full gets room again.
type output struct {
	w       io.Writer
	lines   []byte
	events  int64 // in lines
	failing bool
}

func (w *output) add(o dragonflyoccurrence.Occurrence) (err error) {
	w.lines, err = appendLine(w.lines, o)
	if err == nil {
		w.events++
	}
	return err
}

// flush writes the buffered lines. After a failed write, which may have left a part of a
// line, the next one starts with an empty line.
func (w *output) flush() (err error) {
	if w.events == 0 {
		return nil
	}
	_, err = w.w.Write(w.lines)
	w.report(err)
	if err != nil {
		dropped.Add(w.events)
		w.lines = append(w.lines[:0], '\n')
	} else {
		w.lines = w.lines[:0]
	}
	w.events = 0
	return err
}

// report logs when writes start to fail and when they succeed again.
func (w *output) report(err error) {
	switch {
	case err != nil && !w.failing:
		slog.Warn("writes to the timeline fail", "error", err)
	case err == nil && w.failing:
		slog.Warn("writes to the timeline succeed again", "events-dropped", dropped.Value())
	}
	w.failing = err != nil
}
