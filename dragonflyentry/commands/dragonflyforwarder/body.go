package dragonflyforwarder

import (
	"cmp"
	"expvar"
	"io"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"dragonflyrelay.example/dragonflyentry/common/dragonflybodybuffer"
	"dragonflyrelay.example/library/common/dragonflyboundedlistener"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyfingerprint"
	"github.com/pkg/errors"
)

const (
	// defaultBodyBytes bounds a body if the routing document does not.
	defaultBodyBytes = 4 << 20
	// deadlineStep is the time after which the deadline of a body that arrives is renewed.
	deadlineStep = 500 * time.Millisecond
	// writeMargin is the time after the deadline of a request for which a caller may still
	// read the response.
	writeMargin = 5 * dragonflyduration.Second
	// roomWait bounds the wait for the memory of callers that are closed for a body or a
	// response. They release it once their goroutines have noticed.
	roomWait = time.Second
)

var (
	bodiesStalled       = expvar.NewInt("dragonfly-forward-bodies-stalled")
	bodiesTooLarge      = expvar.NewInt("dragonfly-forward-bodies-too-large")
	bodiesWithoutMemory = expvar.NewInt("dragonfly-forward-bodies-without-memory")
	unbufferedResponses = expvar.NewInt("dragonfly-forward-responses-unbuffered")
)

// openMemory makes the request a holder of memory until the returned function is called.
func (q *request) openMemory() (release func()) {
	rc := http.NewResponseController(q.w)
	q.evicted = &atomic.Bool{}
	q.holder = q.owner.memory.Open(func() {
		q.evicted.Store(true)
		_ = rc.SetReadDeadline(time.Unix(1, 0))
		_ = rc.SetWriteDeadline(time.Unix(1, 0))
	})
	return func() {
		q.owner.memory.Release(q.holder)
		dragonflyboundedlistener.SetBusy(q.r.Context(), false)
	}
}

// readBody buffers the entire body of up to limit bytes, because another attempt may need it
// again. It returns the refusal if the body is too large, incomplete or too slow, or if there
// is no memory for it.
func (q *request) readBody(limit int64) errorResponse {
	if q.r.ContentLength != 0 {
		if refusal := q.fillBody(limit); refusal != (errorResponse{}) {
			return refusal
		}
	} else {
		q.owner.memory.SetRunning(q.holder, true)
	}
	dragonflyboundedlistener.SetBusy(q.r.Context(), true)
	q.identify()
	return errorResponse{}
}

// identify sets the fingerprint of the request.
func (q *request) identify() {
	q.fingerprint = dragonflyfingerprint.Of(q.r.Method, q.Host, q.r.RequestURI, cmp.Or(q.workspace, q.Key), q.body.Segments()...)
	q.keys = append(slices.Clone(q.SharedParts), q.fingerprint)
}

// bodyLimit returns the largest number of bytes of a body.
func (s *Server) bodyLimit() int64 {
	if limit := s.view.Load().document.Limits().BodyBytes; limit > 0 {
		return int64(limit)
	}
	return defaultBodyBytes
}

// bodyTime returns the time within which a body must have arrived. A request that has no
// route yet has no deadline either.
func (q *request) bodyTime() dragonflyduration.Duration {
	until := q.deadline
	if until == 0 {
		until = q.unrouted().Until
	}
	return until.Sub(q.owner.Clock.Now())
}

// fillBody reads a body of at most limit bytes.
func (q *request) fillBody(limit int64) errorResponse {
	rc := http.NewResponseController(q.w)
	until := time.Now().Add(time.Duration(q.bodyTime()))
	r := &bodyReader{Reader: q.r.Body, stall: q.owner.bodyStall(), until: until, setDeadline: rc.SetReadDeadline, evicted: q.evicted.Load}
	err := q.body.Read(r, q.r.ContentLength, limit, func(bytes int64) bool {
		return q.owner.memory.Reserve(q.holder, bytes, roomWait)
	})
	if err == nil && q.owner.memory.SetRunning(q.holder, true) {
		_ = rc.SetReadDeadline(time.Time{})
		return errorResponse{}
	}
	return q.refuseBody(rc, err)
}

// refuseBody returns the refusal of a body that was not read whole. The rest of it is not
// awaited, and the connection is closed.
func (q *request) refuseBody(rc *http.ResponseController, err error) errorResponse {
	q.w.Header().Set("Connection", "close")
	q.body = dragonflybodybuffer.Buffer{}
	q.owner.memory.Release(q.holder)
	// The refusal is written, but what is left of the body is not read.
	_ = rc.SetReadDeadline(time.Unix(1, 0))
	_ = rc.SetWriteDeadline(time.Now().Add(time.Duration(writeMargin)))
	switch {
	case q.evicted.Load() || err == nil || errors.Is(err, dragonflybodybuffer.ErrNoRoom):
		bodiesWithoutMemory.Add(1)
		return errorResponse{status: http.StatusServiceUnavailable, reason: "there is no memory for the body", retryAfter: unavailableRetryDelay}
	case errors.Is(err, dragonflybodybuffer.ErrTooLarge):
		bodiesTooLarge.Add(1)
		return errorResponse{status: http.StatusRequestEntityTooLarge, reason: "the body is too large"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		bodiesStalled.Add(1)
		return errorResponse{status: http.StatusServiceUnavailable, reason: "the body does not arrive"}
	}
	return errorResponse{status: http.StatusBadRequest, reason: "the body ended early"}
}

// limitUnreadBody bounds the time for which the server reads the rest of the body of a
// request that is refused before its body is read.
func (q *request) limitUnreadBody() {
	if q.r.ContentLength != 0 {
		_ = http.NewResponseController(q.w).SetReadDeadline(time.Now().Add(q.owner.bodyStall()))
	}
}

// limitWrites ends the response to a caller that does not read it some time after the
// deadline of its request. The server sets the deadline of the next one.
func (q *request) limitWrites() {
	left := q.deadline.Sub(q.owner.Clock.Now()) + writeMargin
	_ = http.NewResponseController(q.w).SetWriteDeadline(time.Now().Add(time.Duration(left)))
}

// reserveResponse reserves memory for bytes of a buffered response beside the body.
func (q *request) reserveResponse(bytes int64) bool {
	return q.owner.memory.Reserve(q.holder, q.body.Reserved()+bytes, roomWait)
}

// bodyReader reads a body and ends the read when no byte has arrived for stall, at until, or
// when the body has to give way.
type bodyReader struct {
	io.Reader
	stall       time.Duration
	until       time.Time
	setDeadline func(deadline time.Time) error
	evicted     func() bool
	setAt       time.Time
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (n int, err error) {
	if now := time.Now(); now.Sub(b.setAt) >= deadlineStep {
		end := now.Add(b.stall)
		if end.After(b.until) {
			end = b.until
		}
		_ = b.setDeadline(end)
		b.setAt = now
	}
	// The deadline that ends the reads of an evicted body may have been replaced just now.
	if b.evicted() {
		return 0, os.ErrDeadlineExceeded
	}
	return b.Reader.Read(p)
}

// bodyStall returns the time after which a body that has stopped arriving is refused.
func (s *Server) bodyStall() time.Duration {
	return time.Duration(cmp.Or(s.Settings.BodyStall, defaultBodyStall))
}
