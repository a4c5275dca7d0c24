// Package dragonflytimeline writes the events of a process as JSON lines, so that a
// request, group or change can be traced across all processes.
package dragonflytimeline

import (
	"context"
	"encoding/json"
	"expvar"
	"io"
	"time"

	"dragonflyrelay.example/library/common/dragonflyring"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
	"github.com/pkg/errors"
)

// RingCapacity is the maximum number of events that are queued for writing.
const RingCapacity = 4096

var dropped = expvar.NewInt("dragonfly-timeline-dropped")

// Timeline writes events to a file. Events are dropped and counted if the ring is
// full, because a slow disk must not slow down requests. A nil Timeline drops all
// events.
type Timeline struct {
	process string
	ring    *dragonflyring.Ring[dragonflyoccurrence.Occurrence]
}

// New returns a timeline for the named process. Run must be called for events to
// be written.
func New(process string) *Timeline {
	return &Timeline{
		process: process,
		ring:    dragonflyring.New[dragonflyoccurrence.Occurrence]("timeline", RingCapacity),
	}
}

// Add queues o for writing and never blocks. A zero At is set to the wall clock.
func (t *Timeline) Add(o dragonflyoccurrence.Occurrence) {
	if t == nil {
		return
	}
	o.Process = t.process
	if o.At == 0 {
		o.At = time.Now().UnixNano()
	}
	if t.ring.TryPut(o) != nil {
		dropped.Add(1)
	}
}

// Run writes events to w until ctx ends or the timeline is closed, and then writes
// the queued ones. Events that cannot be written are dropped and counted. Run returns an
// error only if the last write fails.
func (t *Timeline) Run(ctx context.Context, w io.Writer) (err error) {
	defer func() { err = errors.WithMessage(err, "write timeline") }()
	out := output{w: w}
	for {
		o, err := t.ring.Take(ctx)
		if err != nil {
			return t.drain(&out)
		}
		if err := out.add(o); err != nil {
			return err
		}
		if t.ring.Len() == 0 || len(out.lines) >= maxBuffered {
			_ = out.flush()
		}
	}
}

// Close makes Run return once all queued events are written.
func (t *Timeline) Close() { t.ring.Close() }

func (t *Timeline) drain(out *output) error {
	t.ring.Close()
	for {
		o, err := t.ring.Take(context.Background())
		if err != nil {
			return out.flush()
		}
		if err := out.add(o); err != nil {
			return err
		}
		if len(out.lines) >= maxBuffered {
			_ = out.flush()
		}
	}
}

// line is the JSON representation of an event in the file.
type line struct {
	At       int64  `json:"at"`
	Process  string `json:"process"`
	Event    string `json:"event"`
	Request  string `json:"request,omitempty"`
	Group    uint64 `json:"group,omitempty"`
	Instance string `json:"instance,omitempty"`
	Zone     string `json:"zone,omitempty"`
	Change   string `json:"change,omitempty"`
	Detail   string `json:"detail,omitempty"`
}

func appendLine(to []byte, o dragonflyoccurrence.Occurrence) ([]byte, error) {
	raw, err := json.Marshal(line(o))
	if err != nil {
		return to, err
	}
	return append(append(to, raw...), '\n'), nil
}

// ParseLine parses a line that Run has written.
func ParseLine(raw []byte) (o dragonflyoccurrence.Occurrence, err error) {
	defer func() { err = errors.WithMessage(err, "parse timeline") }()
	var l line
	err = json.Unmarshal(raw, &l)
	return dragonflyoccurrence.Occurrence(l), err
}
