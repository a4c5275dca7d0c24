package dragonflyforwarder

import (
	"context"
	"net/http"
	"time"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflychoice"
	"dragonflyrelay.example/library/values/dragonflypathroute"
)

const (
	// maxTries bounds the endpoints tried that did not run the request.
	maxTries = 4
	// minAttemptTime is the least time left that is worth another attempt.
	minAttemptTime = 20 * dragonflyduration.Millisecond
	// capacityWaitDivisor is the part of its objective that a request may wait for room and
	// still be on time.
	capacityWaitDivisor = 3
	// capacityPollInterval is the time between two looks for room. An engine ends a pass
	// about every 50 ms.
	capacityPollInterval = 20 * dragonflyduration.Millisecond
	// lossDetectionDelay is how long before a loss is noticed the endpoint is taken to have
	// stopped.
	lossDetectionDelay = 300 * dragonflyduration.Millisecond
	// maxResumeWait is how long after its last event, or its loss, a request may wait
	// for another endpoint. Callers leave a stream after a gap of two seconds.
	maxResumeWait = 1800 * dragonflyduration.Millisecond
	// resumePollInterval is the time between two looks; endpoints that are avoided or
	// cold come back without a change of the table.
	resumePollInterval = 100 * dragonflyduration.Millisecond
)

// result is how an attempt ended.
type result struct {
	kind   resultKind
	reason string
	status int // of the upstream's answer, 0 if there was none
}

type resultKind uint8

const (
	served      resultKind = iota + 1 // the caller has its answer
	refused                           // the upstream has not run the request
	unreachable                       // nothing was sent
	lost                              // sent, and not or not wholly answered
	failed                            // the upstream answered with an error that may be tried again
	abandoned                         // the caller has left
	expired                           // the time was over
)

// forward sends the request to endpoints until one serves it.
func (q *request) forward(ctx context.Context) {
	last := errorResponse{status: http.StatusServiceUnavailable, reason: "no endpoint", retryAfter: unavailableRetryDelay}
	for try := 0; try < maxTries || q.started; try++ {
		c, err := q.choose(ctx)
		if err != nil {
			q.fail(ctx, result{kind: expired, reason: "the time was over before an endpoint was chosen"}, last)
			return
		}
		if !c.OK && (q.lostAt != 0 && q.isStreaming() && q.awaitTableChange(ctx) || q.lostAt == 0 && c.Full && q.awaitCapacity(ctx)) {
			try--
			q.hasWaited = true
			continue
		}
		if !c.OK {
			if q.sends == 0 {
				last.reason = c.Reason
			}
			if c.Overload {
				last.retryAfter = overloadRetryDelay
			}
			break
		}
		q.hasEvent, q.sentAt = false, q.owner.Clock.Now()
		res := q.attempt(ctx, c)
		q.reportOutcome(ctx, c, res)
		switch res.kind {
		case served:
			return
		case abandoned, expired:
			q.fail(ctx, res, last)
			return
		case refused, unreachable:
			last.reason = res.reason
		case lost, failed:
			q.lostAt = max(q.lostAt, q.lastEventAt, q.owner.Clock.Now().Add(-lossDetectionDelay))
			q.runs++ // Also if the group has ended: its head may be alive, and counts.
			last = errorResponse{status: http.StatusBadGateway, reason: res.reason}
			if !q.mayRetry() {
				q.fail(ctx, res, last)
				return
			}
		}
		q.tried = append(q.tried, c.Endpoint.ID)
		if q.deadline.Sub(q.owner.Clock.Now()) < minAttemptTime {
			break
		}
	}
	q.fail(ctx, result{kind: refused}, last)
}

// awaitTableChange waits for a change of the routing table while a request whose
// endpoint was lost has no other one. It reports whether to look again.
func (q *request) awaitTableChange(ctx context.Context) bool {
	changed := q.owner.tableChanged.Changed()
	left := maxResumeWait - q.owner.Clock.Now().Sub(max(q.lostAt, q.lastEventAt))
	if left <= 0 {
		return false
	}
	timer := time.NewTimer(time.Duration(min(left, resumePollInterval)))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// awaitCapacity waits a little for room at the engines. It reports whether to look
// again.
func (q *request) awaitCapacity(ctx context.Context) bool {
	if q.owner.Clock.Now().Sub(q.began) > q.route.Objective/capacityWaitDivisor {
		return false
	}
	timer := time.NewTimer(time.Duration(capacityPollInterval))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// mayRetryNextLoss reports whether, if the next attempt is lost, another may follow.
func (q *request) mayRetryNextLoss() bool {
	return q.route.Retryable() && q.runs+1 < max(q.route.MaxAttempts, 1)
}

// mayRetry reports whether the request may run at another endpoint after it may
// have run.
func (q *request) mayRetry() bool {
	return q.route.Retryable() && q.runs < max(q.route.MaxAttempts, 1) && (!q.started || q.lastEventID != "")
}

func (q *request) choose(ctx context.Context) (c dragonflychoice.Choice, err error) {
	return q.owner.balance.choose(ctx, dragonflybalanceevent.Event{
		Kind: dragonflybalanceevent.Choose, Service: q.service.Name, Model: q.Model,
		Exclude: q.tried, Tokens: float64(q.PromptTokens), Limit: q.passLimit(), Retry: q.sends > 0,
		Reread: q.lostAt != 0 && q.isStreaming(), Waiting: q.hasWaited,
	})
}

// reportOutcome tells the balance how the attempt ended.
func (q *request) reportOutcome(ctx context.Context, c dragonflychoice.Choice, res result) {
	ev := dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Ended, ID: c.Endpoint.ID, Tokens: float64(q.PromptTokens), HadBegun: q.hasEvent}
	switch res.kind {
	case served, failed:
		ev.Outcome = dragonflybalanceevent.Served
	case refused:
		ev.Outcome = dragonflybalanceevent.Refused
	case unreachable:
		ev.Outcome = dragonflybalanceevent.Unreachable
	case lost:
		ev.Outcome = dragonflybalanceevent.Lost
	default:
		ev.Outcome = dragonflybalanceevent.Abandoned
	}
	_ = q.owner.balance.put(context.WithoutCancel(ctx), ev)
	if res.kind != served {
		q.recordAttempt(c.Endpoint.ID, c.Endpoint.Group, res.kind.String(), res.reason, c.InFlight)
	}
}

// fail gives the caller the final answer of a request that no endpoint served. An
// answer that has begun is broken off, so that it does not look complete.
func (q *request) fail(ctx context.Context, res result, last errorResponse) {
	switch {
	case q.r.Context().Err() != nil:
		q.record(0, "the caller has left", "")
		panic(http.ErrAbortHandler)
	case q.started:
		q.record(0, "broken off: "+last.reason, "")
		panic(http.ErrAbortHandler)
	case res.kind == expired || ctx.Err() != nil:
		status := http.StatusGatewayTimeout
		if q.sends == 0 {
			q.refuse(errorResponse{status: http.StatusServiceUnavailable, reason: last.reason, retryAfter: unavailableRetryDelay})
			return
		}
		q.refuse(errorResponse{status: status, reason: "the time is over"})
	default:
		q.refuse(last)
	}
}

// String names the kind in logs.
func (k resultKind) String() string {
	return [...]string{"", "served", "refused", "unreachable", "lost", "failed", "abandoned", "expired"}[k]
}

// isStreaming reports whether the answer consists of events.
func (q *request) isStreaming() bool { return q.route.Kind == dragonflypathroute.Streaming }
