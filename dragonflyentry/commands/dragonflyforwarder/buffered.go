package dragonflyforwarder

import (
	"io"
	"net/http"
	"strconv"

	"dragonflyrelay.example/dragonflyentry/common/dragonflybodybuffer"
	"dragonflyrelay.example/platform/dragonflycallhttp"
	"github.com/pkg/errors"
)

// maxBufferedBytes is the largest response that is buffered before any of it is passed on.
// Until then, the request can still be sent to another endpoint.
const maxBufferedBytes = 1 << 20

// passBuffered passes a response on once it is complete. One of more than
// maxBufferedBytes, or one for which there is no memory, is passed on as it arrives.
func (x *exchange) passBuffered(resp *http.Response) result {
	q := x.q
	var body dragonflybodybuffer.Buffer
	err := body.Read(resp.Body, min(resp.ContentLength, maxBufferedBytes), maxBufferedBytes, q.reserveResponse)
	large := errors.Is(err, dragonflybodybuffer.ErrTooLarge) || errors.Is(err, dragonflybodybuffer.ErrNoRoom) || err == nil && resp.ContentLength > maxBufferedBytes
	if err != nil && !large {
		return result{kind: lost, reason: reasonOf("answer broken off", err), status: resp.StatusCode}
	}
	q.answerTime = q.owner.Clock.Now().Sub(q.sentAt)
	if resp.StatusCode >= http.StatusInternalServerError && (q.retryError() || q.race.hasOther(q.attemptIndex)) {
		if !large {
			x.keepConnection(resp)
		}
		q.reportAnswered(resp.StatusCode)
		return result{kind: failed, reason: "the upstream failed with " + strconv.Itoa(resp.StatusCode), status: resp.StatusCode}
	}
	if q.started {
		return result{kind: lost, reason: "the upstream cannot continue the stream", status: resp.StatusCode}
	}
	if !q.claim() {
		return supersededResult()
	}
	dragonflycallhttp.CopyResponse(q.w.Header(), resp.Header)
	if large {
		return x.passLarge(resp, &body)
	}
	q.w.Header().Set("Content-Length", strconv.Itoa(body.Len()))
	q.w.WriteHeader(resp.StatusCode)
	q.started = true
	// From here on the response waits for its caller, which may have to give way.
	q.owner.memory.SetRunning(q.holder, false)
	if _, err := body.WriteTo(q.w); err != nil {
		return result{kind: abandoned, reason: reasonOf("the caller does not read", err)}
	}
	x.keepConnection(resp)
	q.reportAnswered(resp.StatusCode)
	q.runs++
	q.record(resp.StatusCode, "answered", x.endpoint.ID)
	return result{kind: served, status: resp.StatusCode}
}

// passLarge passes on the part of a response that has been read, and then the rest.
func (x *exchange) passLarge(resp *http.Response, read *dragonflybodybuffer.Buffer) result {
	q := x.q
	unbufferedResponses.Add(1)
	if resp.ContentLength >= 0 {
		q.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	q.w.WriteHeader(resp.StatusCode)
	q.started = true
	if _, err := read.WriteTo(q.w); err != nil {
		return result{kind: abandoned, reason: reasonOf("the caller does not read", err)}
	}
	*read = dragonflybodybuffer.Buffer{}
	q.owner.memory.Reserve(q.holder, q.body.Reserved(), 0)
	if _, err := io.Copy(q.w, resp.Body); err != nil {
		return result{kind: lost, reason: reasonOf("answer broken off", err), status: resp.StatusCode}
	}
	q.reportAnswered(resp.StatusCode)
	q.runs++
	q.record(resp.StatusCode, "answered", x.endpoint.ID)
	return result{kind: served, status: resp.StatusCode}
}
