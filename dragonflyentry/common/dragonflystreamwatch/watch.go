// Package dragonflystreamwatch detects endpoints that have stopped: all their streams in
// progress are silent at once.
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
	started      bool
	lastActivity dragonflyinstant.Instant // time of the latest event, or of the start
	retryable    bool
	abort        func(gone bool)
}

// endpoint holds the streams in progress of one endpoint.
type endpoint struct {
	streams     map[*stream]bool
	lastEventAt dragonflyinstant.Instant   // on any stream
	pass        dragonflyduration.Duration // smoothed time between two events of a stream
}

// passSmoothing is the weight of a new measurement in the smoothed pass. About ten
// streams measure each pass, so that the average follows a change within two passes.
const passSmoothing = 0.1

// Watch holds all streams in progress. The zero Watch is empty. Its methods may be called
// from any goroutine.
type Watch struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint
}

// Open adds a stream of the endpoint id. When the endpoint is gone, or when it has
// stopped and the stream is retryable, the Watch calls abort with its mutex held: abort
// must not block. The caller must call onEvent at each event, and done at the end of the
// stream.
func (w *Watch) Open(id string, now dragonflyinstant.Instant, retryable bool, abort func(gone bool)) (onEvent func(now dragonflyinstant.Instant), done func()) {
	s := &stream{retryable: retryable, abort: abort, lastActivity: now}
	w.mu.Lock()
	defer w.mu.Unlock()
	e, ok := w.endpoints[id]
	if !ok {
		if w.endpoints == nil {
			w.endpoints = map[string]*endpoint{}
		}
		e = &endpoint{streams: map[*stream]bool{}, lastEventAt: now}
		w.endpoints[id] = e
	}
	e.streams[s] = true
	onEvent = func(now dragonflyinstant.Instant) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if gap := now.Sub(s.lastActivity); s.started && e.pass == 0 {
			e.pass = gap
		} else if s.started {
			e.pass += dragonflyduration.Duration(passSmoothing * float64(gap-e.pass))
		}
		s.started, s.lastActivity = true, now
		e.lastEventAt = max(e.lastEventAt, now)
	}
	done = func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(e.streams, s)
		if len(e.streams) == 0 && w.endpoints[id] == e {
			delete(w.endpoints, id)
		}
	}
	return onEvent, done
}

// AbortStopped aborts the retryable streams of endpoints that have stopped, and returns
// for how long each endpoint with streams that it aborted has been silent, by id.
func (w *Watch) AbortStopped(now dragonflyinstant.Instant) (stopped map[string]dragonflyduration.Duration) {
	stopped = map[string]dragonflyduration.Duration{}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, e := range w.endpoints {
		started := 0
		for s := range e.streams {
			if s.started {
				started++
			}
		}
		if !dragonflysilence.Stopped(started, len(e.streams)-started, now.Sub(e.lastEventAt)) {
			continue
		}
		aborted := false
		for s := range e.streams {
			if s.retryable {
				s.retryable, aborted = false, true
				s.abort(false)
			}
		}
		if aborted {
			stopped[id] = now.Sub(e.lastEventAt)
		}
	}
	return stopped
}

// Speeds returns the speeds of all endpoints with streams in progress. While an endpoint
// is silent for longer than its smoothed pass, the silence so far counts as its pass.
func (w *Watch) Speeds(now dragonflyinstant.Instant) (all []dragonflyendpointspeed.Speed) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, e := range w.endpoints {
		m := dragonflyendpointspeed.Speed{ID: id, Pass: e.pass}
		if e.pass > 0 {
			m.Pass = max(e.pass, now.Sub(e.lastEventAt))
		}
		for s := range e.streams {
			if !s.started {
				m.Waited = max(m.Waited, now.Sub(s.lastActivity))
			}
		}
		all = append(all, m)
	}
	return all
}

// AbortExcept aborts all streams of the endpoints for which keep returns false, and
// returns how many it aborted at each endpoint, by id.
func (w *Watch) AbortExcept(keep func(id string) bool) (aborted map[string]int) {
	aborted = map[string]int{}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, e := range w.endpoints {
		if keep(id) {
			continue
		}
		for s := range e.streams {
			s.abort(true)
			aborted[id]++
		}
	}
	return aborted
}
