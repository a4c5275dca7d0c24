package dragonflyforwarder

import (
	"cmp"
	"net/http"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/queries/dragonflypatience"
	"dragonflyrelay.example/library/values/dragonflywaitingevent"
	"dragonflyrelay.example/library/values/dragonflywaitingrequest"
)

const (
	// unstatedTimeLeft is the assumed time of a caller that states none while its route is
	// not known.
	unstatedTimeLeft = 3 * dragonflyduration.Second
	// unstatedBodyBytes is the longest body without a stated length that is read before a
	// document is known. Prompts of some thousand tokens are much shorter.
	unstatedBodyBytes = 256 << 10
)

// announce asks the queue whether recovery is expected in time and memory is left for a request that was refused by e,
// before its body is read, and returns the refusal if there is none.
func (q *request) announce(e errorResponse) (refusal errorResponse) {
	w := q.unrouted()
	if w.Size = q.memory() + q.r.ContentLength; q.r.ContentLength < 0 {
		w.Size = q.memory() + unstatedBodyBytes
	}
	v, ok := q.submit(q.r.Context(), dragonflywaitingevent.Event{Kind: dragonflywaitingevent.Announced, Request: w})
	switch {
	case !ok:
		return e
	case !v.Released:
		waitingCounts.Add("refused-unread", 1)
		return refusalOf(v, e)
	}
	return errorResponse{}
}

// readUnrouted reads the body of a request that was refused by e and may wait, if the queue
// has reserved memory for it, and until its wait ends.
func (q *request) readUnrouted(e errorResponse) (refusal errorResponse) {
	if q.ID == "" || !q.owner.waiting.enabled() {
		return e
	}
	if refusal = q.announce(e); refusal != (errorResponse{}) {
		return refusal
	}
	limit := q.owner.bodyLimit()
	if q.r.ContentLength < 0 {
		limit = min(limit, unstatedBodyBytes)
	}
	if refusal = q.readBody(limit); refusal == (errorResponse{}) {
		return errorResponse{}
	}
	isLate := q.owner.Clock.Now() >= q.unrouted().Until
	isLarge := refusal.status == http.StatusRequestEntityTooLarge && (q.version == 0 || limit < q.owner.bodyLimit())
	if isLate || isLarge {
		return e // The document may allow more.
	}
	return refusal
}

// unrouted returns the request as it waits for a document.
func (q *request) unrouted() dragonflywaitingrequest.Request {
	left := cmp.Or(max(q.TimeLeft, 0), unstatedTimeLeft)
	return dragonflywaitingrequest.Request{
		Unrouted: true, Workspace: q.Key, Until: q.began.Add(dragonflypatience.WaitUnrouted(left)), Deadline: q.began.Add(left),
	}
}

// admitOrWait admits the request by the document. While none is known or confirmed, it waits
// for one.
func (q *request) admitOrWait() (refusal errorResponse) {
	refusal = q.admit()
	for refusal.waits && q.owner.waiting.enabled() && q.ID != "" {
		if refused := q.await(q.r.Context(), q.unrouted(), refusal); refused != (errorResponse{}) {
			return refused
		}
		refusal = q.admit()
		if limit := q.owner.bodyLimit(); refusal == (errorResponse{}) && int64(q.body.Len()) > limit {
			return errorResponse{status: http.StatusRequestEntityTooLarge, reason: "the body is too large"}
		}
		q.identify()
	}
	return refusal
}
