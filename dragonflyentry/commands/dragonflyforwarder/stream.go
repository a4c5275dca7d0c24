package dragonflyforwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/platform/dragonflycallhttp"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// stream passes events on as they arrive. Only complete events are passed on, so that
// another endpoint can continue after the last one.
func (x *exchange) stream(ctx context.Context, resp *http.Response) result {
	q := x.q
	var pending []byte
	chunk := make([]byte, readBufferBytes)
	for {
		n, err := resp.Body.Read(chunk)
		pending = append(pending, chunk[:n]...)
		if end := completeLength(pending); end > 0 {
			x.recordEvents(ctx)
			if e := x.passEvents(resp, pending[:end]); e != nil {
				return result{kind: abandoned, reason: "the caller does not read: " + e.Error()}
			}
			pending = append(pending[:0], pending[end:]...)
		}
		switch {
		case err == io.EOF && q.reads == 0 && unframed(resp):
			return result{kind: lost, reason: "the stream ended before its first event"}
		case err == io.EOF && len(pending) == 0:
			return x.complete(resp)
		case err == io.EOF:
			return result{kind: lost, reason: "the stream ended in an event"}
		case err != nil && ctx.Err() != nil:
			return q.closeCause(result{kind: lost})
		case err != nil:
			return result{kind: lost, reason: "stream broken off: " + err.Error()}
		case len(pending) > maxEventBytes:
			return result{kind: lost, reason: "an event is too large"}
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

// passEvents sends those of the complete events that are new to the caller.
func (x *exchange) passEvents(resp *http.Response, events []byte) (err error) {
	q := x.q
	events, lastEventID := newEvents(events, q.lastEventID)
	if len(events) == 0 {
		return nil
	}
	if !q.started {
		x.sendHead(resp)
	}
	if _, err := q.w.Write(events); err != nil {
		return err
	}
	q.recordPassed(lastEventID)
	return http.NewResponseController(q.w).Flush()
}

// recordPassed records that the caller has been sent the events up to lastEventID.
func (q *request) recordPassed(lastEventID string) {
	now := q.owner.Clock.Now()
	if q.lastEventAt == 0 {
		q.timeToFirstEvent = now.Sub(q.began)
	} else {
		q.longestGap = max(q.longestGap, now.Sub(q.lastEventAt))
	}
	q.lastEventID, q.lastEventAt = lastEventID, now
}

// completeLength returns the length of the complete events at the start of b.
func completeLength(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// newEvents returns the events of b after the one with the id last, and the id of the
// last event returned. An endpoint that continues a stream may repeat earlier events.
func newEvents(b []byte, last string) (events []byte, newLast string) {
	newLast = last
	after, numbered := eventNumber(last)
	start := 0
	for at := 0; at < len(b); {
		end := at + eventLength(b[at:])
		if id := eventID(b[at:end]); id != "" {
			if n, ok := eventNumber(id); ok && numbered && n <= after {
				start = end
			} else {
				newLast = id
			}
		}
		at = end
	}
	return b[start:], newLast
}

// eventLength returns the length of the first event of b, with the blank line that ends
// it.
func eventLength(b []byte) int {
	for at := 0; at < len(b); {
		i := bytes.IndexByte(b[at:], '\n')
		if i < 0 {
			return len(b)
		}
		line := bytes.TrimSuffix(b[at:at+i], []byte("\r"))
		at += i + 1
		if len(line) == 0 && at > 2 {
			return at
		}
	}
	return len(b)
}

// eventID returns the id field of an event, "" if it has none.
func eventID(event []byte) string {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if v, ok := bytes.CutPrefix(bytes.TrimSuffix(line, []byte("\r")), []byte("id:")); ok {
			return string(bytes.TrimSpace(v))
		}
	}
	return ""
}

func eventNumber(id string) (n uint64, ok bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	return n, err == nil
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
	}
	_ = q.owner.balance.put(context.WithoutCancel(ctx), ev)
}
