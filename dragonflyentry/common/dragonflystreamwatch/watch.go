// Package dragonflystreamwatch watches the streams in progress of each endpoint
// for a common silence.
package dragonflystreamwatch

import (
	"sync"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/queries/dragonflysilence"
	"dragonflyrelay.example/library/values/dragonflyendpointspeed"
)

// stream is one stream in progress. Its fields are guarded by the watch's mutex.
type stream struct {
	begun      bool
	since      dragonflyinstant.Instant // the latest event, or the start
	repeatable bool
	abort      func(gone bool)
}

// endpoint is the streams of one endpoint.
type endpoint struct {
	streams map[*stream]bool
	heard   dragonflyinstant.Instant
	pass    dragonflyduration.Duration // smoothed time between two events of a stream
}

// passWeight is the weight of a new measurement of the pass. Some ten streams
// measure each pass, so that this follows a change within two of them.
const passWeight = 0.1

// Watch knows all streams in progress. The zero Watch knows none. Its methods may
// be called from any goroutine.
type Watch struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint
}

// Open adds a stream of the endpoint id. Abort is called, without waiting, when
// the endpoint is gone, or has stopped and the stream is repeatable. Heard must be
// called at each event, and done at the end.
func (w *Watch) Open(id string, now dragonflyinstant.Instant, repeatable bool, abort func(gone bool)) (heard func(now dragonflyinstant.Instant), done func()) {
	s := &stream{repeatable: repeatable, abort: abort, since: now}
	w.mu.Lock()
	defer w.mu.Unlock()
	e, ok := w.endpoints[id]
	if !ok {
		if w.endpoints == nil {
			w.endpoints = map[string]*endpoint{}
		}
		e = &endpoint{streams: map[*stream]bool{}, heard: now}
		w.endpoints[id] = e
	}
	e.streams[s] = true
	heard = func(now dragonflyinstant.Instant) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if gap := now.Sub(s.since); s.begun && e.pass == 0 {
			e.pass = gap
		} else if s.begun {
			e.pass += dragonflyduration.Duration(passWeight * float64(gap-e.pass))
		}
		s.begun, s.since = true, now
		e.heard = max(e.heard, now)
	}
	done = func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(e.streams, s)
		if len(e.streams) == 0 && w.endpoints[id] == e {
			delete(w.endpoints, id)
		}
	}
	return heard, done
}

// Check aborts the repeatable streams of endpoints that have stopped, and returns
// the ids of those endpoints.
func (w *Watch) Check(now dragonflyinstant.Instant) (stopped []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, e := range w.endpoints {
		begun := 0
		for s := range e.streams {
			if s.begun {
				begun++
			}
		}
		if !dragonflysilence.Stopped(begun, len(e.streams)-begun, now.Sub(e.heard)) {
			continue
		}
		aborted := false
		for s := range e.streams {
			if s.repeatable {
				s.repeatable, aborted = false, true
				s.abort(false)
			}
		}
		if aborted {
			stopped = append(stopped, id)
		}
	}
	return stopped
}

// Measures returns the speeds of all endpoints with streams in progress. While an
// endpoint is silent for longer than its usual pass, the silence counts.
func (w *Watch) Measures(now dragonflyinstant.Instant) (all []dragonflyendpointspeed.Speed) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, e := range w.endpoints {
		m := dragonflyendpointspeed.Speed{ID: id, Pass: e.pass}
		if e.pass > 0 {
			m.Pass = max(e.pass, now.Sub(e.heard))
		}
		for s := range e.streams {
			if !s.begun {
				m.Waited = max(m.Waited, now.Sub(s.since))
			}
		}
		all = append(all, m)
	}
	return all
}

// Gone aborts all streams of the endpoints that keep does not report.
func (w *Watch) Gone(keep func(id string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, e := range w.endpoints {
		if keep(id) {
			continue
		}
		for s := range e.streams {
			s.abort(true)
		}
	}
}
