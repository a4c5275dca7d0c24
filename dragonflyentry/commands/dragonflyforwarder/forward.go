package dragonflyforwarder

import (
	"context"
	"net/http"
	"slices"
	"time"

	"dragonflyrelay.example/library/common/dragonflyboundedlistener"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflychoice"
	"dragonflyrelay.example/library/values/dragonflypathroute"
)

const (
	// maxTries bounds the endpoints that are tried before the response begins.
	maxTries = 4
	// maxWaitingTries bounds the same over the whole request if it waits for endpoints in
	// between. With a wait of 0.3 s after each try that is the patience of most callers.
	maxWaitingTries = 12
	// minAttemptTime is the least time before the deadline for another attempt.
	minAttemptTime = 20 * dragonflyduration.Millisecond
	// capacityWaitDivisor divides the objective of a request to get the longest time
	// for which it waits for capacity. It can then still meet the objective.
	capacityWaitDivisor = 3
	// capacityPollInterval is the time between two checks for capacity. An engine
	// ends a pass about every 50 ms.
	capacityPollInterval = 20 * dragonflyduration.Millisecond
	// lossDetectionDelay is the assumed time from the stop of an endpoint to the
	// detection of the loss.
	lossDetectionDelay = 300 * dragonflyduration.Millisecond
	// maxResumeWait is how long a request whose endpoint was lost may wait for another
	// one, from its last event or the loss, whichever is later. Callers abandon a
	// stream after a gap of two seconds.
	maxResumeWait = 1800 * dragonflyduration.Millisecond
	// resumePollInterval is the time between two choices while a stream waits for
	// another endpoint. Endpoints that are avoided or cold become available again
	// without a change of the routing table.
	resumePollInterval = 100 * dragonflyduration.Millisecond
	// returnDelay is how long a stream that has left a silent endpoint waits for others
	// before it returns. A silent endpoint that is sound goes on after about a second.
	returnDelay = 400 * dragonflyduration.Millisecond
)

// result is the outcome of an attempt.
type result struct {
	kind   resultKind
	reason string
	status int  // of the upstream's response, 0 if there was none
	pauses bool // the upstream has asked for a pause and not run the request
}

type resultKind uint8

const (
	served      resultKind = iota + 1 // the caller has a complete response
	refused                           // the upstream has not run the request
	unreachable                       // nothing was sent
	lost                              // sent, without a complete response
	failed                            // the upstream responded with an error that may be retried
	abandoned                         // the caller has disconnected
	expired                           // the deadline has passed
	withdrawn                         // nothing was sent: the endpoint takes no requests any more
)

// noEndpoint is the response to a request that no endpoint was chosen for.
var noEndpoint = errorResponse{status: http.StatusServiceUnavailable, reason: "no endpoint", retryAfter: unavailableRetryDelay}

// forward sends the request to endpoints until one serves it.
func (q *request) forward(ctx context.Context) {
	last := noEndpoint
	var c dragonflychoice.Choice
	q.reportArrival()
	defer func() {
		if q.next != nil {
			q.owner.returnChoice(ctx, *q.next, float64(q.PromptTokens))
		}
	}()
	for try := 0; try < maxTries || q.started; try++ {
		if refusal := q.admitParts(ctx, last); refusal != (errorResponse{}) {
			last = refusal
			break
		}
		q.sequence = q.owner.view.Load().sequence
		var err error
		if c, err = q.choose(ctx); err != nil {
			q.reportRefusal(c, true)
			q.fail(ctx, result{kind: expired, reason: "the time was over before an endpoint was chosen"}, last)
			return
		}
		if !c.OK {
			q.noChoice = c.Reason
		}
		if !c.OK && q.returnToSilent() {
			continue
		}
		if !c.OK && q.mayWait(c) {
			if last = q.awaitEndpoint(ctx, c, last); last != (errorResponse{}) {
				break
			}
			last, try = noEndpoint, -1
			continue
		}
		if !c.OK && (q.lostAt != 0 && q.isStreaming() && q.awaitTableChange(ctx) || q.lostAt == 0 && c.Full && q.awaitCapacity(ctx) ||
			(q.lostAt == 0 || !q.isStreaming()) && q.awaitPause(ctx, c.Pause)) {
			try--
			q.hasWaited = true
			continue
		}
		if !c.OK {
			if q.sends == 0 {
				last.reason = c.Reason
			}
			switch {
			case c.Overload:
				last.retryAfter = max(overloadRetryDelay, c.RetryAfter)
			case c.Pause > 0 && last.status == http.StatusServiceUnavailable:
				last.retryAfter = c.Pause
			}
			break
		}
		q.tries++
		var res result
		c, res = q.attemptHedged(ctx, c)
		switch res.kind {
		case served:
			return
		case abandoned, expired:
			q.fail(ctx, res, last)
			return
		case refused, unreachable, withdrawn:
			last.reason = res.reason
			q.wasRefused = q.wasRefused || res.kind == refused && !res.pauses
		case lost, failed:
			q.lostAt = max(q.lostAt, q.lastEventAt, q.owner.Clock.Now().Add(-lossDetectionDelay))
			q.runs++ // Even if the group has ended: its head may be alive and still run the request.
			last = errorResponse{status: http.StatusBadGateway, reason: res.reason}
			if !q.mayRetry() {
				q.fail(ctx, res, last)
				return
			}
		}
		if !res.pauses {
			// One that pauses is left out until its time is over.
			q.tried = append(q.tried, c.Endpoint.ID)
		}
		if q.isProbe || q.deadline.Sub(q.owner.Clock.Now()) < minAttemptTime {
			break
		}
	}
	q.reportRefusal(c, false)
	q.fail(ctx, result{kind: refused}, last)
}

// awaitTableChange waits for a change of the routing table, at most resumePollInterval,
// while no other endpoint can take over a request whose endpoint was lost. It reports
// whether to choose again, which is false once maxResumeWait has passed or ctx has ended.
func (q *request) awaitTableChange(ctx context.Context) bool {
	changed := q.owner.tableChanged.Changed()
	remaining := maxResumeWait - q.owner.Clock.Now().Sub(max(q.lostAt, q.lastEventAt))
	if remaining <= 0 {
		return false
	}
	timer := time.NewTimer(time.Duration(min(remaining, resumePollInterval)))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// awaitCapacity waits capacityPollInterval for capacity at the engines. It reports
// whether to choose again.
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

// mayRetryLoss reports whether another attempt may follow if n more are lost.
func (q *request) mayRetryLoss(n int) bool {
	return q.route.Retryable() && !q.isProbe && q.runs+n < max(q.route.MaxAttempts, 1)
}

// mayRetry reports whether the request may be sent to another endpoint after an
// attempt that may have run it.
func (q *request) mayRetry() bool {
	return q.route.Retryable() && !q.isProbe && q.runs < max(q.route.MaxAttempts, 1) && q.canContinue()
}

// canContinue reports whether another endpoint can continue the response after what the
// caller has been sent of it.
func (q *request) canContinue() bool { return !q.started || q.lastEventID != "" }

// returnToSilent allows a stream that has left a silent endpoint to be sent there again,
// once no other one has taken it for returnDelay. It reports whether to choose again.
func (q *request) returnToSilent() bool {
	if q.leftID == "" || q.owner.Clock.Now().Sub(q.leftAt) < returnDelay {
		return false
	}
	q.tried = slices.DeleteFunc(q.tried, func(id string) bool { return id == q.leftID })
	q.leftID = ""
	return true
}

// choose returns the endpoint of the next attempt.
func (q *request) choose(ctx context.Context) (c dragonflychoice.Choice, err error) {
	if q.next != nil {
		c, q.next = *q.next, nil
		return c, nil
	}
	return q.owner.balance.choose(ctx, q.chooseEvent())
}

func (q *request) chooseEvent() dragonflybalanceevent.Event {
	return dragonflybalanceevent.Event{
		Kind: dragonflybalanceevent.Choose, Service: q.service.Name, Model: q.servedModel(),
		Exclude: q.tried, Tokens: float64(q.PromptTokens), Limit: q.passLimit(), Retry: q.sends > 0,
		RepeatedPrefill: q.lostAt != 0 && q.isStreaming(), Waiting: q.hasWaited, Rank: q.rank, Workspace: q.workspace,
	}
}

// moveEvent returns the event that chooses another endpoint for the stream while it is in
// progress at that of c.
func (q *request) moveEvent(c dragonflychoice.Choice) dragonflybalanceevent.Event {
	ev := q.chooseEvent()
	ev.Exclude = append(slices.Clone(q.tried), c.Endpoint.ID)
	ev.Retry, ev.RepeatedPrefill, ev.Move = true, true, true
	return ev
}

// reportOutcome passes the outcome of the attempt to the balance duty and logs a
// failed one.
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
	if waited := q.waitedFor(ctx, res); waited > 0 {
		ev.Service, ev.Model, ev.Waited = q.service.Name, q.servedModel(), waited
	}
	_ = q.owner.balance.put(context.WithoutCancel(ctx), ev)
	q.reportParts(c, res)
	isLoser := res.kind == abandoned && isSuperseded(ctx)
	if res.kind != served && !isLoser && q.isNewFailure(c.Endpoint.ID, res) {
		q.recordAttempt(c.Endpoint.ID, c.Endpoint.Group, res.kind.String(), res.reason, c.InFlight)
	}
}

// fail sends the error response of a request that no endpoint served. A response that has
// begun is cut off, so that it does not look complete.
func (q *request) fail(ctx context.Context, res result, last errorResponse) {
	switch {
	case q.r.Context().Err() != nil:
		q.record(0, "the caller has left", "")
		panic(http.ErrAbortHandler)
	case q.started:
		q.record(0, "broken off: "+last.reason, "")
		if !q.r.ProtoAtLeast(1, 1) {
			// The response has no chunks, and may have no length.
			dragonflyboundedlistener.ResetOnClose(q.r.Context())
		}
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
	return [...]string{"", "served", "refused", "unreachable", "lost", "failed", "abandoned", "expired", "withdrawn"}[k]
}

// isStreaming reports whether the response is a stream of events.
func (q *request) isStreaming() bool { return q.route.Kind == dragonflypathroute.Streaming }

// servedModel returns the model of the request, "" if its service has no such model. What the
// entry keeps by model must not grow with the names that callers choose.
func (q *request) servedModel() string { return q.service.ServedModel(q.Model) }
