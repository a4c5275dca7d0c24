package dragonflywaitingroom

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflywaitingrequest"
	"dragonflyrelay.example/library/values/dragonflywaitingverdict"
)

const (
	// leastReturn is the time that an overdue recovery still takes at least, and the
	// time for the turn of a request after the return.
	leastReturn = 100 * dragonflyduration.Millisecond
	// overdueTime is how long an estimate of control holds after it was due. Control renews
	// it twice a second.
	overdueTime = 2 * dragonflyduration.Second
	// routedReturn and routedLongest are the assumed and the longest time for which
	// requests wait for a document, from the first one that lacked it. A document was there
	// 1.3 s after the start of all programs.
	routedReturn  = 1300 * dragonflyduration.Millisecond
	routedLongest = 4 * dragonflyduration.Second
	// servedReturn and servedLongest are the same for the endpoints of a model without an
	// estimate of control. Groups whose weights are on their hosts return in that time.
	servedReturn  = 2500 * dragonflyduration.Millisecond
	servedLongest = 5 * dragonflyduration.Second
	// answerTime is the time within which a released request that finds no endpoint again
	// is back. It may try four upstreams, which have 400 ms each to accept a connection.
	answerTime = 1700 * dragonflyduration.Millisecond
	// leastRetryAfter is the shortest time after which a refused caller may retry, unless a
	// third of its time is less.
	leastRetryAfter = 300 * dragonflyduration.Millisecond
	// retryDivisor divides the time that a caller has left to get the longest Retry-After
	// that it honours.
	retryDivisor = 3
)

// outage is the time since which something is missing.
type outage struct {
	since dragonflyinstant.Instant
	known bool
}

// begun returns o, which began at now if it had not begun before.
func (o outage) begun(now dragonflyinstant.Instant) outage {
	if o.known {
		return o
	}
	return outage{since: now, known: true}
}

// withOutage records that q could not be served at now. An outage of endpoints that the
// table lists ends with a released request that has not come back.
func (r Room) withOutage(now dragonflyinstant.Instant, q dragonflywaitingrequest.Request) Room {
	if q.Unrouted {
		r.unrouted = r.unrouted.begun(now)
		return r
	}
	m, _ := r.models.Get(key(q))
	if m.capacity > 0 {
		if !q.Stale || m.over(now, q) {
			m.outage = outage{}
		}
		m.released, m.missedAt = outage{}, now
	}
	if m.capacity == 0 || q.Stale {
		m.outage = m.outage.begun(now)
	}
	r.models = r.models.With(key(q), m)
	return r
}

// over reports whether the outage of listed endpoints had ended before q arrived: a request
// that was released did not come back, or none has lacked endpoints for servedLongest.
func (m model) over(now dragonflyinstant.Instant, q dragonflywaitingrequest.Request) bool {
	if m.released.known && now.Sub(m.released.since) > answerTime && q.Began > m.released.since {
		return true
	}
	return now.Sub(m.missedAt) > servedLongest
}

// expected returns when what q lacks is expected, and until when that is believed.
func (r Room) expected(q dragonflywaitingrequest.Request) (at, believed dragonflyinstant.Instant) {
	if q.Unrouted {
		return r.unrouted.since.Add(routedReturn), r.unrouted.since.Add(routedLongest)
	}
	m, _ := r.models.Get(key(q))
	if m.hasExpected {
		return m.expected, m.expected.Add(overdueTime)
	}
	at, believed = m.outage.since.Add(servedReturn), m.outage.since.Add(servedLongest)
	if m.capacity > 0 && q.RetryAt > 0 {
		at = q.RetryAt
	}
	return at, believed
}

// waitEnd returns the time from which q does not wait any more unless something changes,
// which is now or earlier if recovery is not expected in time. Requests whose endpoints are
// there wait for their turn in the queue.
func (r Room) waitEnd(now dragonflyinstant.Instant, q dragonflywaitingrequest.Request) dragonflyinstant.Instant {
	if r.servable(now, q) {
		return q.Until
	}
	at, believed := r.expected(q)
	last := q.Until.Add(-leastReturn)
	if at > last {
		return now
	}
	return min(last, believed)
}

// refusal returns the refusal of q. Its retry arrives with half of the caller timeout left
// before the expected recovery.
func (r Room) refusal(now dragonflyinstant.Instant, q dragonflywaitingrequest.Request, reason string) dragonflywaitingverdict.Verdict {
	after := leastRetryAfter
	if at, _ := r.expected(q); !r.servable(now, q) {
		after = max(after, at.Sub(now)-q.Until.Sub(q.Began)/2)
	}
	after = min(after, q.Deadline.Sub(now)/retryDivisor)
	return dragonflywaitingverdict.Verdict{ID: q.ID, Reason: reason, RetryAfter: max(after, dragonflyduration.Millisecond)}
}
