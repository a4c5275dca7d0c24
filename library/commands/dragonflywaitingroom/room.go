// Package dragonflywaitingroom decides which requests wait at an entry while no document,
// leader or endpoint can serve them, and in which order they leave. It addresses a full
// outage, or the loss of all groups of a model: some seconds' worth of requests, of which
// each caller retries only once, meet nothing that serves them, and then a few endpoints
// that have just returned.
package dragonflywaitingroom

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflywaitingevent"
	"dragonflyrelay.example/library/values/dragonflywaitingrequest"
	"dragonflyrelay.example/library/values/dragonflywaitingverdict"
)

// Room is the bounded queue of the waiting requests of one entry. The zero Room admits none.
type Room struct {
	maxBytes int64
	fraction float64 // of the first allowance of a model, differs from entry to entry
	waiting  dragonflymap.Map[uint64, dragonflywaitingrequest.Request]
	bytes    int64
	models   dragonflymap.Map[string, model] // by service and model
	unrouted outage                          // of document and control

	sequence, tableSequence uint64 // of the latest state and routing table
	ready                   bool   // requests can be routed by the latest state
	entries                 int
	endpoints               []dragonflyendpoint.Endpoint // of the latest table
	outZones                []string

	next    dragonflyinstant.Instant // when something ends or begins, if hasNext
	hasNext bool
}

// New returns an empty queue for requests of up to maxBytes together, with a seed that differs from
// that of other entries.
func New(maxBytes int64, seed uint64) Room {
	return Room{maxBytes: maxBytes, fraction: float64(seed>>11) / (1 << 53)}
}

// Len returns the number of waiting requests, and Bytes their memory.
func (r Room) Len() int { return r.waiting.Len() }

// Bytes returns the memory of the waiting requests.
func (r Room) Bytes() int64 { return r.bytes }

// Next returns the time at which the room needs the event Ticked, if there is one.
func (r Room) Next() (at dragonflyinstant.Instant, ok bool) {
	return r.next, r.hasNext && r.waiting.Len() > 0
}

// Step returns the room after the event ev, which occurred at now, and the verdicts on the
// requests that leave it.
func (r Room) Step(now dragonflyinstant.Instant, ev dragonflywaitingevent.Event) (next Room, verdicts []dragonflywaitingverdict.Verdict) {
	switch ev.Kind {
	case dragonflywaitingevent.Arrived:
		return r.arrive(now, ev.Request)
	case dragonflywaitingevent.Announced:
		return r.announce(now, ev.Request)
	case dragonflywaitingevent.Left:
		return r.without(ev.ID), nil
	case dragonflywaitingevent.Followed:
		return r.follow(now, ev).sweep(now)
	case dragonflywaitingevent.Ticked:
		return r.sweep(now)
	}
	return r, nil
}

// arrive queues the request q, unless recovery is not expected in time, and evicts requests
// while the queue is full.
func (r Room) arrive(now dragonflyinstant.Instant, q dragonflywaitingrequest.Request) (next Room, verdicts []dragonflywaitingverdict.Verdict) {
	q.Size += overhead
	r = r.withOutage(now, q)
	if q.Unrouted && r.ready && r.sequence > q.Sequence {
		return r, append(verdicts, dragonflywaitingverdict.Verdict{ID: q.ID, Released: true})
	}
	if now >= r.waitEnd(now, q) {
		return r, append(verdicts, r.refusal(now, q, ""))
	}
	r = r.with(q)
	for r.full() {
		v, _ := r.waiting.Get(r.evicted())
		r = r.without(v.ID)
		verdicts = append(verdicts, r.refusal(now, v, reasonFull))
	}
	if q.Busy {
		r = r.withPause(now, q)
	}
	if m, _ := r.models.Get(key(q)); !q.Unrouted && m.capacity > 0 {
		next, more := r.sweep(now)
		return next, append(verdicts, more...)
	}
	return r.wakeAt(r.waitEnd(now, q)), verdicts
}

// announce reserves memory for the request q, whose body has not been read. Nobody is evicted for
// it: the body of an evicted request that is being read still takes memory.
func (r Room) announce(now dragonflyinstant.Instant, q dragonflywaitingrequest.Request) (next Room, verdicts []dragonflywaitingverdict.Verdict) {
	kept := q
	if kept.Size += overhead; r.with(kept).full() {
		return r, append(verdicts, r.refusal(now, q, reasonFull))
	}
	next, verdicts = r.arrive(now, q)
	if _, ok := next.waiting.Get(q.ID); ok {
		verdicts = append(verdicts, dragonflywaitingverdict.Verdict{ID: q.ID, Released: true})
	}
	return next, verdicts
}

// sweep refuses the requests that recovery does not reach in time and releases those that can be served.
func (r Room) sweep(now dragonflyinstant.Instant) (next Room, verdicts []dragonflywaitingverdict.Verdict) {
	r.hasNext = false
	for id, q := range r.waiting.All() {
		switch {
		case q.Unrouted && r.ready && r.sequence > q.Sequence:
			r = r.without(id)
			verdicts = append(verdicts, dragonflywaitingverdict.Verdict{ID: id, Released: true})
		case now >= r.waitEnd(now, q):
			r = r.without(id)
			verdicts = append(verdicts, r.refusal(now, q, ""))
		default:
			r = r.wakeAt(r.waitEnd(now, q))
			if q.Stale && q.RetryAt > now {
				r = r.wakeAt(q.RetryAt)
			}
		}
	}
	for k := range r.models.All() {
		var released []dragonflywaitingverdict.Verdict
		r, released = r.release(now, k)
		verdicts = append(verdicts, released...)
	}
	return r, verdicts
}

// wakeAt returns the room with an event that is due at the given time, or earlier.
func (r Room) wakeAt(at dragonflyinstant.Instant) Room {
	if !r.hasNext || at < r.next {
		r.next, r.hasNext = at, true
	}
	return r
}

func (r Room) with(q dragonflywaitingrequest.Request) Room {
	r = r.without(q.ID)
	r.waiting = r.waiting.With(q.ID, q)
	r.bytes += q.Size
	return r
}

func (r Room) without(id uint64) Room {
	if q, ok := r.waiting.Get(id); ok {
		r.waiting = r.waiting.Without(id)
		r.bytes -= q.Size
	}
	return r
}

// key returns the map key of the service and model of q.
func key(q dragonflywaitingrequest.Request) string { return q.Service + " " + q.Model }
