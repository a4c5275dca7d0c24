package dragonflyforwarder

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflychoice"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflyforwarding"
	"dragonflyrelay.example/platform/dragonflycallhttp"
)

const (
	// maxBufferedBytes is the largest answer that is read whole before it is passed
	// on, in bytes. Until then, another endpoint can still be tried.
	maxBufferedBytes = 1 << 20
	// inlineBodyBytes is sent in one write with the head. It fits the socket's buffer,
	// so that the write does not wait for the upstream to read.
	inlineBodyBytes = 16 << 10
	readBufferBytes = 4 << 10
)

// exchange is one request and answer on a connection to an upstream.
type exchange struct {
	q           *request
	endpoint    dragonflyendpoint.Endpoint
	conn        *net.TCPConn
	reader      *bufio.Reader
	bodySent    chan error // tells the end of a large body
	reusable    bool
	onEvent     func(now dragonflyinstant.Instant) // at each event of a stream
	abortReason atomic.Pointer[string]             // why the watch has ended the stream
}

// Reasons for which the watch ends a stream.
const (
	reasonGone    = "the endpoint is gone"
	reasonStopped = "the endpoint has stopped"
)

// abort ends a stream, so that another endpoint can continue it.
func (x *exchange) abort(gone bool) {
	reason := reasonStopped
	if gone {
		reason = reasonGone
	}
	x.abortReason.Store(&reason)
	_ = x.conn.Close()
}

// attempt sends the request to the chosen endpoint and passes its answer on.
func (q *request) attempt(ctx context.Context, c dragonflychoice.Choice) (res result) {
	conn, _, err := q.owner.conns.Get(ctx, c.Endpoint)
	if err != nil {
		if q.r.Context().Err() != nil {
			return result{kind: abandoned, reason: "the caller has left"}
		}
		return result{kind: unreachable, reason: err.Error()}
	}
	// Closing the connection stops the upstream's work when the caller leaves or
	// the time is over.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	x := &exchange{q: q, endpoint: c.Endpoint, conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}
	if q.isStreaming() {
		var done func()
		x.onEvent, done = q.owner.streams.Open(c.Endpoint.ID, q.owner.Clock.Now(), q.mayRetryNextLoss(), x.abort)
		defer done()
	}
	res = x.run(ctx)
	if reason := x.abortReason.Load(); reason != nil && res.kind == lost {
		res.reason = *reason
	}
	if !stop() {
		// The function has started, and the connection is closed.
		return q.closeCause(res)
	}
	if !x.reusable {
		_ = conn.Close()
	}
	return res
}

// closeCause turns the failure of a connection that was closed at the end of the
// request into its cause.
func (q *request) closeCause(res result) result {
	switch {
	case res.kind == served:
		return res
	case q.r.Context().Err() != nil:
		return result{kind: abandoned, reason: "the caller has left"}
	default:
		return result{kind: expired, reason: "the time is over"}
	}
}

func (x *exchange) run(ctx context.Context) result {
	if n, err := x.send(); err != nil {
		if n == 0 {
			return result{kind: unreachable, reason: err.Error()}
		}
		x.q.sends++
		return result{kind: lost, reason: "send: " + err.Error()}
	}
	x.q.sends++
	resp, err := x.receive()
	if err != nil {
		return result{kind: lost, reason: "no answer: " + err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	head := dragonflycallhttp.Head(resp)
	switch {
	case !head.Genuine(x.q.ID):
		return result{kind: lost, reason: "the answer belongs to another request or is damaged", status: head.Status}
	case head.NotRun:
		return x.discardRefusal(resp)
	case x.q.isStreaming() && head.Status < http.StatusMultipleChoices:
		return x.stream(ctx, resp)
	default:
		return x.passBuffered(resp)
	}
}

// send writes the head and the body. A large body is sent while the answer is
// awaited, since the upstream may answer without reading it.
func (x *exchange) send() (n int, err error) {
	q := x.q
	var b bytes.Buffer
	b.Grow(1<<10 + min(len(q.body), inlineBodyBytes))
	b.WriteString(q.r.Method + " " + q.r.RequestURI + " HTTP/1.1\r\nHost: " + q.r.Host + "\r\n")
	h := dragonflycallhttp.Forward(q.r.Header, dragonflyforwarding.Forwarding{
		Instance: x.endpoint.ID, Workspace: q.workspace, TimeLeft: q.deadline.Sub(q.owner.Clock.Now()),
		Urgency: min(max(q.rank, 0), maxUrgency), LastEvent: q.lastEventID,
	})
	if len(q.body) > 0 || q.r.ContentLength > 0 || len(q.r.TransferEncoding) > 0 || q.r.Method == http.MethodPost || q.r.Method == http.MethodPut {
		h.Set("Content-Length", strconv.Itoa(len(q.body)))
	}
	if err := h.Write(&b); err != nil {
		return 0, err
	}
	b.WriteString("\r\n")
	if len(q.body) <= inlineBodyBytes {
		b.Write(q.body)
		return x.conn.Write(b.Bytes())
	}
	if n, err = x.conn.Write(b.Bytes()); err != nil {
		return n, err
	}
	x.bodySent = make(chan error, 1)
	err = q.owner.bodies.Go(func() {
		_, err := x.conn.Write(q.body)
		x.bodySent <- err
	})
	return n, err
}

func (x *exchange) receive() (resp *http.Response, err error) {
	for {
		resp, err = http.ReadResponse(x.reader, x.q.r)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}

// discardRefusal reads a not-run answer to its end, so that the connection can be kept.
func (x *exchange) discardRefusal(resp *http.Response) result {
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedBytes))
	if err == nil {
		x.keepConnection(resp)
	}
	return result{kind: refused, reason: "the upstream refused with " + strconv.Itoa(resp.StatusCode), status: resp.StatusCode}
}

// passBuffered passes an answer on once it is complete, unless it is large.
func (x *exchange) passBuffered(resp *http.Response) result {
	q := x.q
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes+1))
	if err != nil {
		return result{kind: lost, reason: "answer broken off: " + err.Error(), status: resp.StatusCode}
	}
	large := len(body) > maxBufferedBytes
	if resp.StatusCode >= http.StatusInternalServerError && !large && q.retryError() {
		x.keepConnection(resp)
		return result{kind: failed, reason: "the upstream failed with " + strconv.Itoa(resp.StatusCode), status: resp.StatusCode}
	}
	if q.started {
		return result{kind: lost, reason: "the upstream cannot continue the stream", status: resp.StatusCode}
	}
	dragonflycallhttp.CopyResponse(q.w.Header(), resp.Header)
	if large {
		return x.passLarge(resp, body)
	}
	q.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	q.w.WriteHeader(resp.StatusCode)
	q.started = true
	if _, err := q.w.Write(body); err != nil {
		return result{kind: abandoned, reason: err.Error()}
	}
	x.keepConnection(resp)
	q.runs++
	q.record(resp.StatusCode, "answered", x.endpoint.ID)
	return result{kind: served, status: resp.StatusCode}
}

// passLarge passes on the beginning of a large answer and then the rest.
func (x *exchange) passLarge(resp *http.Response, begin []byte) result {
	q := x.q
	if resp.ContentLength >= 0 {
		q.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	q.w.WriteHeader(resp.StatusCode)
	q.started = true
	if _, err := q.w.Write(begin); err != nil {
		return result{kind: abandoned, reason: err.Error()}
	}
	if _, err := io.Copy(q.w, resp.Body); err != nil {
		return result{kind: lost, reason: "answer broken off: " + err.Error(), status: resp.StatusCode}
	}
	q.runs++
	q.record(resp.StatusCode, "answered", x.endpoint.ID)
	return result{kind: served, status: resp.StatusCode}
}

// retryError reports whether an error of an upstream is worth another attempt.
func (q *request) retryError() bool {
	return q.route.Retryable() && q.runs+1 < q.route.MaxAttempts
}

// keepConnection returns the connection to the pool if the upstream keeps it and nothing
// follows the answer.
func (x *exchange) keepConnection(resp *http.Response) {
	if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 || x.reader.Buffered() > 0 {
		return
	}
	if x.bodySent != nil {
		return // The upstream may still wait for the rest of the body.
	}
	x.reusable = true
	x.q.owner.conns.Put(x.endpoint, x.conn, keepAliveTimeout(resp.Header.Get("Keep-Alive")))
}

// keepAliveTimeout reads how long an upstream keeps an idle connection.
func keepAliveTimeout(value string) time.Duration {
	for _, part := range strings.Split(value, ",") {
		name, v, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(v); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
