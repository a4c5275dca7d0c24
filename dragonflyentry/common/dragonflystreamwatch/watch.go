// Package dragonflystreamwatch finds the streams in progress that should continue at
// another endpoint: those of endpoints whose streams are all silent at once, and those of
// endpoints that have left the routing table.
package dragonflystreamwatch

import (
	"maps"
	"slices"
	"sync"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/queries/dragonflysilence"
	"dragonflyrelay.example/library/values/dragonflyendpointspeed"
)

// stream is the state of one stream in progress, guarded by the watch's mutex.
type stream struct {
	endpoint     string
	started      bool
	lastActivity dragonflyinstant.Instant // time of the latest event, or of the start
}

// endpoint holds the streams in progress of one endpoint.
type endpoint[S comparable] struct {
	streams     map[S]*stream
	started     int                        // streams that have had events
	lastEventAt dragonflyinstant.Instant   // on any stream
	pass        dragonflyduration.Duration // smoothed time between two events of a stream
	droppedAt   dragonflyinstant.Instant   // when it was missing from the routing table first, 0 if it is there
	silent      bool                       // at the latest check
}

// isSilent reports whether all streams of the endpoint e have been silent for too long.
func (w *Watch[S]) isSilent(e *endpoint[S], now dragonflyinstant.Instant) bool {
	return dragonflysilence.Suspected(e.started, len(e.streams)-e.started, w.silence(e, now))
}

// silence returns the time since the latest event of e, without the time for which this
// process has stood still: events that came meanwhile may not have been read yet.
func (w *Watch[S]) silence(e *endpoint[S], now dragonflyinstant.Instant) dragonflyduration.Duration {
	return now.Sub(max(e.lastEventAt, w.resumedAt))
}

// stoodStill reports whether this process has stood still since the latest check.
func (w *Watch[S]) stoodStill(now dragonflyinstant.Instant) bool {
	return w.checkedAt != 0 && now.Sub(w.checkedAt) > maxCheckGap
}

// BeginCheck records that a check of the streams begins, of which there are several in
// maxCheckGap.
func (w *Watch[S]) BeginCheck(now dragonflyinstant.Instant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stoodStill(now) {
		w.resumedAt = now
	}
	w.checkedAt = now
}

// passSmoothing is the weight of a new measurement in the smoothed pass. About ten
// streams measure each pass, so that the average follows a change within two passes.
const passSmoothing = 0.1

// maxCheckGap is the time between two checks after which the process has stood still. It is
// less than the shortest silence that makes an endpoint suspect.
const maxCheckGap = 300 * dragonflyduration.Millisecond

// Watch holds all streams in progress, each under a handle of type S. The zero Watch is
// empty. Its methods may be called from any goroutine.
type Watch[S comparable] struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint[S]
	held      map[string]int  // requests without a stream in progress, by endpoint
	table     map[string]bool // ids in the routing table, nil before the first complete one
	checkedAt dragonflyinstant.Instant
	resumedAt dragonflyinstant.Instant // when the process last stood still until, 0 if it has not
	// answeredAt is the time of the latest event of each endpoint, also of ended streams.
	answeredAt map[string]dragonflyinstant.Instant
}

// Open adds the stream s of the endpoint id. The caller must call onEvent at each event,
// and done at the end of the stream.
func (w *Watch[S]) Open(id string, now dragonflyinstant.Instant, s S) (onEvent func(now dragonflyinstant.Instant), done func()) {
	st := &stream{endpoint: id, lastActivity: now}
	w.mu.Lock()
	defer w.mu.Unlock()
	e, ok := w.endpoints[id]
	if !ok {
		if w.endpoints == nil {
			w.endpoints = map[string]*endpoint[S]{}
		}
		e = &endpoint[S]{streams: map[S]*stream{}, lastEventAt: now}
		if w.lacks(id) {
			// The endpoint was chosen by an older routing table.
			e.droppedAt = now
		}
		w.endpoints[id] = e
	}
	e.streams[s] = st
	onEvent = func(now dragonflyinstant.Instant) {
		w.mu.Lock()
		defer w.mu.Unlock()
		e.recordEvent(st, now, !w.stoodStill(now) && st.lastActivity >= w.resumedAt)
		w.recordAnswer(id, now)
	}
	done = func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(e.streams, s)
		if st.started {
			e.started--
		}
		if len(e.streams) == 0 && w.endpoints[id] == e {
			delete(w.endpoints, id)
		}
	}
	return onEvent, done
}

// Hold adds a request without a stream to the endpoint id until the caller calls release.
// Such a request is never a suspect, but keeps the endpoint among those of Dropped.
func (w *Watch[S]) Hold(id string) (release func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.held == nil {
		w.held = map[string]int{}
	}
	w.held[id]++
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.held[id]--; w.held[id] == 0 {
			delete(w.held, id)
		}
	}
}

// Lacks reports whether the routing table lacks the endpoint id. After Open or Hold, a
// request that is sent only if it does not is named by Dropped as soon as the table does.
func (w *Watch[S]) Lacks(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lacks(id)
}

func (w *Watch[S]) lacks(id string) bool { return w.table != nil && !w.table[id] }

// recordEvent records an event of the stream st. The time since the one before measures the
// pass if isMeasure is set.
func (e *endpoint[S]) recordEvent(st *stream, now dragonflyinstant.Instant, isMeasure bool) {
	isMeasure = isMeasure && st.started
	if gap := now.Sub(st.lastActivity); isMeasure && e.pass == 0 {
		e.pass = gap
	} else if isMeasure {
		e.pass += dragonflyduration.Duration(passSmoothing * float64(gap-e.pass))
	}
	if !st.started {
		st.started = true
		e.started++
	}
	st.lastActivity = now
	e.lastEventAt = max(e.lastEventAt, now)
}

// Suspects returns the streams that should move to another endpoint: those of silent
// endpoints and of endpoints that are not in the routing table.
func (w *Watch[S]) Suspects(now dragonflyinstant.Instant) (all []S) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.endpoints {
		if e.droppedAt == 0 && !w.isSilent(e, now) {
			continue
		}
		for s := range e.streams {
			all = append(all, s)
		}
	}
	return all
}

// Move calls move if s, a stream of the endpoint id, is in progress and still a suspect, and
// returns its result. Dropped reports whether the endpoint is missing from the routing
// table. The Watch holds its mutex meanwhile: move must not block.
func (w *Watch[S]) Move(id string, s S, now dragonflyinstant.Instant, move func(dropped bool) bool) (moved bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e, ok := w.endpoints[id]
	if !ok || e.streams[s] == nil || e.droppedAt == 0 && !w.isSilent(e, now) {
		return false
	}
	return move(e.droppedAt != 0)
}

// Silences calls report for each endpoint that is silent, or was at the last call, with the
// number of its streams and the time since its last event. Changed reports whether it has
// fallen silent or gone on since then.
func (w *Watch[S]) Silences(now dragonflyinstant.Instant, report func(id string, silent, changed bool, streams int, silence dragonflyduration.Duration)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, e := range w.endpoints {
		if silent := w.isSilent(e, now); silent || e.silent {
			report(id, silent, silent != e.silent, len(e.streams), w.silence(e, now))
			e.silent = silent
		}
	}
}

// SetTable records the ids of the endpoints in a routing table. Endpoints that are missing
// from an incomplete one may not have reported to a new leader yet and stay in the table.
// SetTable returns how many streams are in progress at each endpoint that a complete one
// newly lacks.
func (w *Watch[S]) SetTable(now dragonflyinstant.Instant, ids map[string]bool, complete bool) (dropped map[string]int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if dropped = map[string]int{}; complete {
		w.table = map[string]bool{}
		maps.DeleteFunc(w.answeredAt, func(id string, _ dragonflyinstant.Instant) bool { return !ids[id] })
	}
	if w.table != nil {
		maps.Copy(w.table, ids)
	}
	for id, e := range w.endpoints {
		switch {
		case ids[id]:
			e.droppedAt = 0
		case complete && e.droppedAt == 0:
			e.droppedAt = now
			dropped[id] = len(e.streams)
		}
	}
	return dropped
}

// Dropped returns the sorted ids of the endpoints that the routing table lacks and that have
// streams or held requests in progress.
func (w *Watch[S]) Dropped() (ids []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, e := range w.endpoints {
		if e.droppedAt != 0 {
			ids = append(ids, id)
		}
	}
	for id := range w.held {
		if w.lacks(id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// EndDropped calls end for the streams of endpoints that have been missing from the routing
// table for at least age. The Watch holds its mutex meanwhile, so that no stream is done
// before end returns: end must not block.
func (w *Watch[S]) EndDropped(now dragonflyinstant.Instant, age dragonflyduration.Duration, end func(s S)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.endpoints {
		if e.droppedAt == 0 || now.Sub(e.droppedAt) < age {
			continue
		}
		for s := range e.streams {
			end(s)
		}
	}
}

// Speeds returns the speeds of all endpoints with streams in progress. While an endpoint
// is silent for longer than its smoothed pass, the silence so far counts as its pass.
func (w *Watch[S]) Speeds(now dragonflyinstant.Instant) (all []dragonflyendpointspeed.Speed) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, e := range w.endpoints {
		m := dragonflyendpointspeed.Speed{ID: id, Pass: e.pass}
		if e.pass > 0 {
			m.Pass = max(e.pass, w.silence(e, now))
		}
		for _, st := range e.streams {
			if !st.started {
				m.Waited = max(m.Waited, now.Sub(max(st.lastActivity, w.resumedAt)))
			}
		}
		all = append(all, m)
	}
	return all
}
