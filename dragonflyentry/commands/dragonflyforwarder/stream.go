package dragonflyforwarder

import (
	"context"
	"io"
	"net/http"

	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/platform/dragonflycallhttp"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// freeEventBytes is the buffer of events that needs no reservation.
	freeEventBytes = 32 << 10
	// eventGrowth is how much larger the buffer may be after the next read.
	eventGrowth = 2
)

// stream passes events on as they arrive. Only complete events are passed on, so that
// another endpoint can continue after the last one.
func (x *exchange) stream(ctx context.Context, resp *http.Response) result {
	q := x.q
	isContinued := q.started
	if isContinued && !dragonflycallhttp.ContinuesStream(resp) {
		return result{kind: failed, reason: "the upstream cannot continue the stream", status: resp.StatusCode}
	}
	var pending []byte
	hasNew := false // whether the attempt has had an event that is new to the caller
	chunk := make([]byte, readBufferBytes)
	for {
		n, err := resp.Body.Read(chunk)
		pending = append(pending, chunk[:n]...)
		if end := completeLength(pending); end > 0 {
			x.recordEvents(ctx)
			if !q.claim() {
				return supersededResult()
			}
			if !x.hold() {
				return result{kind: lost, reason: reasonSilent}
			}
			events := q.newEvents(pending[:end], isContinued)
			if e := x.passEvents(resp, events); e != nil {
				return result{kind: abandoned, reason: reasonOf("the caller does not read", e)}
			}
			if events.fault != "" {
				return result{kind: failed, reason: events.fault, status: resp.StatusCode}
			}
			hasNew = hasNew || len(events.text) > 0
			pending = append(pending[:0], pending[end:]...)
			x.release()
		}
		switch {
		case err == io.EOF && !hasNew && dragonflycallhttp.Unframed(resp):
			return result{kind: lost, reason: "the stream ended before its first event"}
		case err == io.EOF && len(pending) == 0 && !q.claim():
			return supersededResult()
		case err == io.EOF && len(pending) == 0:
			return x.complete(resp)
		case err == io.EOF:
			return result{kind: lost, reason: "the stream ended in an event"}
		case err != nil && ctx.Err() != nil:
			return q.closeCause(ctx, result{kind: lost})
		case err != nil:
			return result{kind: lost, reason: reasonOf("stream broken off", err)}
		case len(pending) > maxEventBytes:
			return result{kind: lost, reason: "an event is too large"}
		case cap(pending) > freeEventBytes && !q.reserveResponse(eventGrowth*int64(cap(pending))):
			return result{kind: lost, reason: "there is no memory for an event"}
		}
	}
}

// complete ends a response whose last event has been passed on.
func (x *exchange) complete(resp *http.Response) result {
	q := x.q
	if !q.started {
		x.sendHead(resp)
	}
	x.keepConnection(resp)
	if q.reads < answeredEvents {
		q.reportAnswered(http.StatusOK)
	}
	q.runs++
	q.record(resp.StatusCode, "streamed", x.endpoint.ID)
	return result{kind: served, status: resp.StatusCode}
}

// sendHead sends the head of the response to the caller. A stream that another endpoint
// continues keeps the head of the first endpoint.
func (x *exchange) sendHead(resp *http.Response) {
	dragonflycallhttp.CopyResponse(x.q.w.Header(), resp.Header)
	x.q.w.WriteHeader(resp.StatusCode)
	x.q.started = true
}

// passEvents sends events to the caller.
func (x *exchange) passEvents(resp *http.Response, events newEvents) (err error) {
	q := x.q
	if len(events.text) == 0 {
		return nil
	}
	if !q.started {
		x.sendHead(resp)
	}
	if _, err := q.w.Write(events.text); err != nil {
		return err
	}
	q.successors = events.successors
	q.recordPassed(events.lastID)
	return http.NewResponseController(q.w).Flush()
}

// recordPassed records that the caller has been sent the events up to lastEventID.
func (q *request) recordPassed(lastEventID string) {
	now := q.owner.Clock.Now()
	if q.lastEventAt == 0 {
		q.timeToFirstEvent = now.Sub(q.began)
		q.reportFirstEvent()
	} else {
		q.longestGap = max(q.longestGap, now.Sub(q.lastEventAt))
	}
	q.lastEventID, q.lastEventAt = lastEventID, now
}

// recordEvents reports to the stream watch that events have arrived from the endpoint,
// and the first event of an attempt to the balance duty.
func (x *exchange) recordEvents(ctx context.Context) {
	q := x.q
	x.onEvent(q.owner.Clock.Now())
	if q.reads++; q.reads == answeredEvents {
		q.reportAnswered(http.StatusOK)
	}
	if q.hasEvent {
		return
	}
	q.hasEvent = true
	ev := dragonflybalanceevent.Event{Kind: dragonflybalanceevent.Began, ID: x.endpoint.ID, Tokens: float64(q.PromptTokens)}
	if q.lostAt == 0 {
		ev.Limit, ev.Waited = q.route.Objective, q.owner.Clock.Now().Sub(q.sentAt)
		ev.Service, ev.Model = q.service.Name, q.servedModel()
	}
	_ = q.owner.balance.put(context.WithoutCancel(ctx), ev)
}
