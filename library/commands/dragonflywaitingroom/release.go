package dragonflywaitingroom

import (
	"cmp"
	"slices"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflywaitingevent"
	"dragonflyrelay.example/library/values/dragonflywaitingrequest"
	"dragonflyrelay.example/library/values/dragonflywaitingverdict"
)

const (
	// releaseShare is the share of the capacity of endpoints that is given to requests that
	// have waited. New ones, which can meet their objectives, take the rest.
	releaseShare = 0.5
	// burstDivisor divides the objective of the most urgent waiting request. Endpoints that
	// return get at most the work of that time at once.
	burstDivisor = 2
	// busyPause is the shortest time for which requests stay after one of them has found
	// the endpoints full or cold. An engine ends a pass about every 50 ms.
	busyPause = 20 * dragonflyduration.Millisecond
	// settleTime is the time without a change of the capacity after which it is taken as
	// that of the return. Groups that load their weights together open some milliseconds
	// apart.
	settleTime = 250 * dragonflyduration.Millisecond
	// openingGrowth is the factor by which the capacity is assumed to grow until then, unless
	// a larger one was known before: six groups of a model may return together. Requests
	// whose turn comes too late even so are refused at once.
	openingGrowth = 6
)

// model is the state of the endpoints for one model of a service, or for a plain service.
type model struct {
	capacity    float64                  // groups, or slots of plain upstreams
	most        float64                  // the largest capacity so far
	changedAt   dragonflyinstant.Instant // of the capacity
	outage      outage                   // while capacity is 0, or the endpoints take no requests
	released    outage                   // since the first release after the latest arrival that lacked endpoints
	missedAt    dragonflyinstant.Instant // of that arrival
	expected    dragonflyinstant.Instant
	hasExpected bool // control has sent an estimate

	// While requests wait for their turn: the time of endpoints that they may take now, and
	// what each workspace has got.
	releasing   bool
	allowance   dragonflyduration.Duration
	updatedAt   dragonflyinstant.Instant
	pausedUntil dragonflyinstant.Instant
	got         dragonflymap.Map[string, dragonflyduration.Duration]
}

// follow applies the state of control.
func (r Room) follow(now dragonflyinstant.Instant, ev dragonflywaitingevent.Event) Room {
	r.sequence, r.ready = ev.Sequence, ev.Ready
	if ev.Ready {
		r.unrouted = outage{}
	}
	if r.entries = max(r.entries, ev.Entries); ev.Complete {
		r.entries = ev.Entries
	}
	for k, m := range r.models.All() {
		m.hasExpected = false
		r.models = r.models.With(k, m)
	}
	for _, e := range ev.Returns {
		k := e.Service + " " + e.Model
		m, _ := r.models.Get(k)
		m.expected, m.hasExpected = now.Add(e.In), true
		r.models = r.models.With(k, m)
	}
	if !ev.HasTable && slices.Equal(r.outZones, ev.OutZones) {
		return r
	}
	if r.outZones = ev.OutZones; ev.HasTable {
		r.endpoints = ev.Endpoints
	}
	r.tableSequence = ev.Sequence
	capacity := r.capacity()
	for k := range capacity {
		if _, ok := r.models.Get(k); !ok {
			r.models = r.models.With(k, model{})
		}
	}
	for k, m := range r.models.All() {
		before := m.capacity
		if m.capacity = capacity[k]; ev.HasTable && !ev.Complete {
			m.capacity = max(m.capacity, before)
		}
		if m.most = max(m.most, m.capacity); m.capacity != before {
			m.changedAt = now
		}
		switch {
		case m.capacity > 0 && before == 0:
			m.outage, m.released = outage{}, outage{}
		case m.capacity == 0 && before > 0:
			m.outage = outage{}.begun(now)
		}
		r.models = r.models.With(k, m)
	}
	return r
}

// capacity returns the groups of each model and the slots of each plain service that take
// requests, by service and model.
func (r Room) capacity() map[string]float64 {
	capacity := map[string]float64{}
	for _, e := range r.endpoints {
		switch {
		case e.Leaving, slices.Contains(r.outZones, e.Zone):
		case e.Model != "":
			capacity[e.Service+" "+e.Model]++
		default:
			capacity[e.Service+" "] += float64(max(e.Slots, 1))
		}
	}
	return capacity
}

// servable reports whether there are endpoints that q can be sent to.
func (r Room) servable(now dragonflyinstant.Instant, q dragonflywaitingrequest.Request) bool {
	m, _ := r.models.Get(key(q))
	if q.Unrouted || m.capacity == 0 {
		return false
	}
	return !q.Stale || r.tableSequence > q.Sequence || q.RetryAt > 0 && q.RetryAt <= now
}

// release lets as many requests for the model with key k leave as its endpoints can serve
// now, and refuses those whose turn would come too late.
func (r Room) release(now dragonflyinstant.Instant, k string) (next Room, verdicts []dragonflywaitingverdict.Verdict) {
	m, _ := r.models.Get(k)
	queue := r.queue(now, k)
	if len(queue) == 0 {
		if m.releasing {
			m.releasing, m.got = false, dragonflymap.Map[string, dragonflyduration.Duration]{}
			r.models = r.models.With(k, m)
		}
		return r, nil
	}
	rate := releaseShare * m.capacity / float64(max(r.entries, 1))
	most := dragonflyduration.Duration(rate * float64(queue[0].Objective/burstDivisor))
	if !m.releasing {
		m.releasing, m.updatedAt = true, now
		m.allowance = dragonflyduration.Duration(r.fraction * float64(max(most, queue[0].Work)))
	}
	m.allowance += dragonflyduration.Duration(rate * float64(now.Sub(m.updatedAt)))
	m.updatedAt = now
	for len(queue) > 0 {
		if m.pausedUntil > now {
			r = r.wakeAt(m.pausedUntil)
			break
		}
		i := m.first(now, queue)
		q := queue[i]
		m.allowance = min(m.allowance, max(most, q.Work))
		if m.allowance < q.Work {
			r = r.wakeAt(now.Add(dragonflyduration.Duration(float64(q.Work-m.allowance)/rate) + dragonflyduration.Microsecond))
			break
		}
		m.allowance -= q.Work
		got, _ := m.got.Get(q.Workspace)
		m.got = m.got.With(q.Workspace, got+q.Work)
		r, queue = r.without(q.ID), slices.Delete(queue, i, i+1)
		m.released = m.released.begun(now)
		verdicts = append(verdicts, dragonflywaitingverdict.Verdict{ID: q.ID, Released: true})
	}
	r.models = r.models.With(k, m)
	if settled := m.changedAt.Add(settleTime); now < settled {
		rate *= max(openingGrowth, m.most/m.capacity)
		r = r.wakeAt(settled)
	}
	for _, q := range m.late(now, queue, rate) {
		r = r.without(q.ID)
		verdicts = append(verdicts, r.refusal(now, q, "too many requests have waited"))
	}
	return r, verdicts
}

// queue returns the requests for the model with key k that its endpoints can serve, by rank,
// those that can still meet their objective before others, and then by the caller timeout.
func (r Room) queue(now dragonflyinstant.Instant, k string) (queue []dragonflywaitingrequest.Request) {
	for _, q := range r.waiting.All() {
		if key(q) == k && r.servable(now, q) {
			queue = append(queue, q)
		}
	}
	slices.SortFunc(queue, func(a, b dragonflywaitingrequest.Request) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), compareLate(now, a, b), cmp.Compare(a.Until, b.Until), cmp.Compare(a.ID, b.ID))
	})
	return queue
}

// first returns the index of the request of the queue that leaves next: of those that are
// equal to the first one but for the caller timeout, one of the workspace that has got least.
func (m model) first(now dragonflyinstant.Instant, queue []dragonflywaitingrequest.Request) (first int) {
	for i, q := range queue {
		best := queue[first]
		if !isEqual(now, q, best) {
			break
		}
		a, _ := m.got.Get(q.Workspace)
		b, _ := m.got.Get(best.Workspace)
		if a < b {
			first = i
		}
	}
	return first
}

// isEqual reports whether only workspace and caller timeout order a and b.
func isEqual(now dragonflyinstant.Instant, a, b dragonflywaitingrequest.Request) bool {
	return a.Rank == b.Rank && isLate(now, a) == isLate(now, b)
}

// compareLate orders requests that can still meet their objective before others.
func compareLate(now dragonflyinstant.Instant, a, b dragonflywaitingrequest.Request) int {
	switch {
	case isLate(now, a) == isLate(now, b):
		return 0
	case isLate(now, b):
		return -1
	}
	return 1
}

// isLate reports whether q misses its objective even if it is sent at now.
func isLate(now dragonflyinstant.Instant, q dragonflywaitingrequest.Request) bool {
	return now.Sub(q.Began)+q.Work > q.Objective
}

// withPause ends the present allowance of the model of q, which has found its endpoints
// full or cold.
func (r Room) withPause(now dragonflyinstant.Instant, q dragonflywaitingrequest.Request) Room {
	m, _ := r.models.Get(key(q))
	m.releasing, m.allowance, m.updatedAt = true, min(m.allowance, 0), now
	m.pausedUntil = now.Add(busyPause)
	r.models = r.models.With(key(q), m)
	return r
}
