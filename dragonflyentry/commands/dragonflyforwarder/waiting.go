package dragonflyforwarder

import (
	"cmp"
	"context"
	"expvar"
	"log/slog"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"dragonflyrelay.example/library/commands/dragonflybalance"
	"dragonflyrelay.example/library/commands/dragonflywaitingroom"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflyring"
	"dragonflyrelay.example/library/queries/dragonflypatience"
	"dragonflyrelay.example/library/queries/dragonflyrequestwork"
	"dragonflyrelay.example/library/values/dragonflychoice"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	"dragonflyrelay.example/library/values/dragonflywaitingevent"
	"dragonflyrelay.example/library/values/dragonflywaitingrequest"
	"dragonflyrelay.example/library/values/dragonflywaitingverdict"
	"github.com/pkg/errors"
)

const (
	// waitingRingSize is enough for the arrivals of a burst of requests.
	waitingRingSize = 1024
)

// waitingCounts counts the requests that have waited, by how they left, and shows those that
// wait.
var waitingCounts = expvar.NewMap("dragonfly-forward-waiting")

// waitingRequest is an event for the waiting room. Reply, which must have room for one
// verdict, is set for Arrived and Announced.
type waitingRequest struct {
	event dragonflywaitingevent.Event
	reply chan<- dragonflywaitingverdict.Verdict
}

// waitingDuty owns the queue of waiting requests and is its only user. Without a bound of memory in the
// settings no request waits, and the duty gets no events.
type waitingDuty struct {
	requests *dragonflyring.Ring[waitingRequest]
	owner    *Server
	state    dragonflywaitingroom.Room
	step     func(r dragonflywaitingroom.Room, now dragonflyinstant.Instant, ev dragonflywaitingevent.Event) (dragonflywaitingroom.Room, []dragonflywaitingverdict.Verdict)
	table    dragonflywaitingevent.Event                       // the latest one that carries a routing table
	replies  map[uint64]chan<- dragonflywaitingverdict.Verdict // by id of the request
	lastID   atomic.Uint64
	number   expvar.Int
	bytes    expvar.Int
}

func newWaitingDuty(s *Server) *waitingDuty {
	d := &waitingDuty{
		requests: dragonflyring.New[waitingRequest]("waiting", waitingRingSize), owner: s,
		step:    dragonflywaitingroom.Room.Step,
		replies: map[uint64]chan<- dragonflywaitingverdict.Verdict{},
	}
	d.state = d.empty()
	waitingCounts.Set("present", &d.number)
	waitingCounts.Set("present-bytes", &d.bytes)
	return d
}

// enabled reports whether requests may wait.
func (d *waitingDuty) enabled() bool { return d.owner.Settings.WaitingMemory > 0 }

// Run processes events until ctx ends.
func (d *waitingDuty) Run(ctx context.Context) error {
	for {
		r, err := d.take(ctx)
		if err != nil {
			return err
		}
		if r.reply != nil {
			d.replies[r.event.Request.ID] = r.reply
		}
		before := d.state.Len()
		verdicts := d.handle(r.event)
		if r.event.Kind == dragonflywaitingevent.Left {
			delete(d.replies, r.event.ID)
		}
		for _, v := range verdicts {
			if reply, ok := d.replies[v.ID]; ok {
				reply <- v
				delete(d.replies, v.ID)
			}
		}
		d.number.Set(int64(d.state.Len()))
		d.bytes.Set(d.state.Bytes())
		if (before == 0) != (d.state.Len() == 0) {
			slog.Info("waiting requests", "queued", d.state.Len(), "bytes", d.state.Bytes())
		}
	}
}

// take returns the next event, which is Ticked if the room needs it first.
func (d *waitingDuty) take(ctx context.Context) (r waitingRequest, err error) {
	next, ok := d.state.Next()
	if !ok {
		return d.requests.Take(ctx)
	}
	due, cancel := context.WithTimeout(ctx, time.Duration(max(next.Sub(d.owner.Clock.Now()), 0)))
	defer cancel()
	r, err = d.requests.Take(due)
	if err != nil && ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded) {
		return waitingRequest{event: dragonflywaitingevent.Event{Kind: dragonflywaitingevent.Ticked}}, nil
	}
	return r, err
}

// empty returns a room without requests.
func (d *waitingDuty) empty() dragonflywaitingroom.Room {
	return dragonflywaitingroom.New(d.owner.Settings.WaitingMemory, seedOf(d.owner.Settings.Name))
}

// handle passes ev to the room. After a panic all waiting requests are refused, and the room
// starts empty with the latest routing table: an event that is due would panic again.
func (d *waitingDuty) handle(ev dragonflywaitingevent.Event) (verdicts []dragonflywaitingverdict.Verdict) {
	if ev.HasTable {
		d.table = ev
	}
	next, verdicts, ok := d.tryStep(d.state, ev)
	if ok {
		d.state = next
		return verdicts
	}
	if d.state = d.empty(); d.table.HasTable {
		if next, _, ok = d.tryStep(d.state, d.table); ok {
			d.state = next
		}
	}
	for id := range d.replies {
		verdicts = append(verdicts, dragonflywaitingverdict.Verdict{ID: id, RetryAfter: unavailableRetryDelay})
	}
	return verdicts
}

// tryStep returns the outcome of ev in the room r, or false if it panics.
func (d *waitingDuty) tryStep(r dragonflywaitingroom.Room, ev dragonflywaitingevent.Event) (next dragonflywaitingroom.Room, verdicts []dragonflywaitingverdict.Verdict, ok bool) {
	defer func() {
		if v := recover(); v != nil {
			panics.Add(1)
			slog.Error("event of waiting requests panicked, all of them are refused", "kind", ev.Kind, "number", r.Len(), "panic", v)
			verdicts, ok = nil, false
		}
	}()
	next, verdicts = d.step(r, d.owner.Clock.Now(), ev)
	return next, verdicts, true
}

// receive passes on the state after control's response n.
func (d *waitingDuty) receive(ctx context.Context, n dragonflyfollowresponse.Response) error {
	if !d.enabled() {
		return nil
	}
	v := d.owner.view.Load()
	return d.requests.Put(ctx, waitingRequest{event: dragonflywaitingevent.Event{
		Kind: dragonflywaitingevent.Followed, Sequence: v.sequence, Ready: v.document.Version() > 0 && !d.owner.keyLeaseExpired(v),
		Returns: n.Returns, HasTable: n.HasTable, Complete: n.Complete, Endpoints: n.Endpoints, OutZones: n.OutZones, Entries: n.Entries,
	}})
}

// submit passes w to the room with an event of the given kind and returns its verdict, or
// false if there is none. The id of w is kept until the request has left the room.
func (q *request) submit(ctx context.Context, ev dragonflywaitingevent.Event) (v dragonflywaitingverdict.Verdict, ok bool) {
	d, reply := q.owner.waiting, make(chan dragonflywaitingverdict.Verdict, 1)
	id := q.waitingID
	if id == 0 {
		id = d.lastID.Add(1)
	}
	ev.Request.ID, ev.Request.Began, ev.Request.Sequence = id, q.began, q.sequence
	if err := d.requests.TryPut(waitingRequest{event: ev, reply: reply}); err != nil {
		waitingCounts.Add("no-room", 1)
		return v, false
	}
	q.waitingID, q.waitingUntil = id, ev.Request.Until
	from := q.owner.Clock.Now()
	defer func() { q.waited += q.owner.Clock.Now().Sub(from) }()
	select {
	case v = <-reply:
		return v, true
	case <-ctx.Done():
	case <-q.owner.requests.Done():
	}
	waitingCounts.Add("ended", 1)
	return v, false
}

// leaveRoom removes a request that waits no more from the queue. While the ring is full it
// blocks, but not beyond the time at which the queue removes the request by itself.
func (q *request) leaveRoom() {
	if q.waitingID == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(q.owner.requests, time.Duration(q.waitingUntil.Sub(q.owner.Clock.Now())))
	defer cancel()
	_ = q.owner.waiting.requests.Put(ctx, waitingRequest{event: dragonflywaitingevent.Event{Kind: dragonflywaitingevent.Left, ID: q.waitingID}})
	q.waitingID = 0
}

// await lets w wait and returns the zero value once it may be tried again, or the refusal
// with the reason of e unless the room names another one.
func (q *request) await(ctx context.Context, w dragonflywaitingrequest.Request, e errorResponse) (refusal errorResponse) {
	w.Size = q.memory()
	v, ok := q.submit(ctx, dragonflywaitingevent.Event{Kind: dragonflywaitingevent.Arrived, Request: w})
	if !ok {
		q.leaveRoom()
		return e
	}
	q.waitingID = 0
	if v.Released {
		waitingCounts.Add("released", 1)
		return errorResponse{}
	}
	waitingCounts.Add("refused", 1)
	return refusalOf(v, e)
}

// refusalOf returns the response to a request that the room refuses by v, with the reason of
// e unless v names another one.
func refusalOf(v dragonflywaitingverdict.Verdict, e errorResponse) errorResponse {
	return errorResponse{status: http.StatusServiceUnavailable, reason: cmp.Or(v.Reason, e.reason), retryAfter: v.RetryAfter}
}

// memory returns the bytes of the request that the entry holds.
func (q *request) memory() int64 {
	n := int64(q.body.Len())
	for name, values := range q.r.Header {
		for _, v := range values {
			n += int64(len(name) + len(v))
		}
	}
	return n
}

// mayWait reports whether the request may wait after the choice c of no endpoint.
func (q *request) mayWait(c dragonflychoice.Choice) bool {
	if !q.owner.waiting.enabled() || q.tries >= maxWaitingTries || q.sends > 0 || q.lostAt != 0 || q.isProbe {
		return false
	}
	if _, ok := q.service.Engine.Model(q.Model); q.service.Grouped() && !ok {
		return false
	}
	return c.Absent || q.waited > 0 && (c.Full || c.Cold)
}

// isNewFailure reports whether the outcome of an attempt at an endpoint is to be logged. A
// request that waits in between may find the same endpoints unreachable several times, of
// which only the first one is logged.
func (q *request) isNewFailure(endpoint string, res result) bool {
	if res.kind != unreachable && res.kind != withdrawn {
		return true
	}
	failure := endpoint + " " + res.kind.String()
	if slices.Contains(q.failures, failure) {
		return false
	}
	q.failures = append(q.failures, failure)
	return true
}

// awaitEndpoint lets the request wait after the choice c and returns the refusal if it has
// waited for nothing.
func (q *request) awaitEndpoint(ctx context.Context, c dragonflychoice.Choice, last errorResponse) (refusal errorResponse) {
	last.reason = c.Reason
	w := dragonflywaitingrequest.Request{
		Service: q.service.Name, Workspace: q.workspace, Rank: q.rank, Objective: q.route.Objective,
		Work:  dragonflyrequestwork.Of(q.service, q.servedModel(), float64(q.PromptTokens), q.route.Objective),
		Until: q.began.Add(dragonflypatience.Wait(q.route, q.deadline.Sub(q.began))), Deadline: q.deadline,
		Stale: c.Absent, Busy: !c.Absent,
	}
	if q.service.Grouped() {
		w.Model = q.servedModel()
	}
	if len(q.tried) > 0 {
		w.RetryAt = q.owner.Clock.Now().Add(dragonflybalance.MinAvoid)
	}
	refusal = q.await(ctx, w, last)
	// One that has found no endpoint at all has not been admitted to any.
	q.hasWaited = q.hasWaited || !c.Absent
	if refusal != (errorResponse{}) {
		return refusal
	}
	q.tried = nil // Nothing was sent to them.
	return q.readmit()
}

// readmit admits a request that has waited again: its key or its route may have been taken
// away meanwhile. Its deadline is not extended.
func (q *request) readmit() (refusal errorResponse) {
	deadline := q.deadline
	if refusal = q.admit(); refusal != (errorResponse{}) {
		return refusal
	}
	q.deadline = min(q.deadline, deadline)
	if int64(q.body.Len()) > q.owner.bodyLimit() {
		return errorResponse{status: http.StatusRequestEntityTooLarge, reason: "the body is too large"}
	}
	q.identify()
	return errorResponse{}
}
