package dragonflyforwarder

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflyresponsebody"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflychoice"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflyforwarding"
	"dragonflyrelay.example/platform/dragonflycallhttp"
)

const (
	// inlineBodyBytes is the largest body that is sent in one write with the head.
	// It fits the socket's buffer, so that the write does not wait for the upstream
	// to read.
	inlineBodyBytes = 16 << 10
	readBufferBytes = 4 << 10
	// maxRefusalBytes is how much of the body of a refusal is read to keep its
	// connection. A longer one costs more than a new connection.
	maxRefusalBytes = 64 << 10
	// refusalBodyTimeout bounds the wait for the body of a refusal, which sound upstreams
	// send with its head.
	refusalBodyTimeout = 100 * time.Millisecond
)

// exchange is one request and its response on a connection to an upstream.
type exchange struct {
	q         *request
	endpoint  dragonflyendpoint.Endpoint
	conn      *net.TCPConn
	reader    *dragonflycallhttp.Reader
	written   func() error // waits for the outcome of sending a large body; nil for a small one
	reusable  bool
	keepAlive time.Duration                      // of a reusable connection, 0 if the upstream states none
	onEvent   func(now dragonflyinstant.Instant) // called at each event of a stream

	// The fields below belong to streams. Next and leftSilent are set when the phase
	// becomes moved, and read once the watch no longer holds the stream.
	move        dragonflybalanceevent.Event // chooses another endpoint for the stream
	mayMove     bool                        // the request allows another attempt
	phase       atomic.Uint32
	next        *dragonflychoice.Choice // the endpoint that continues the stream
	leftSilent  bool                    // the stream has left its endpoint because it was silent
	closeReason atomic.Pointer[string]  // why the moves duty has closed the connection
}

// attempt sends the request to the chosen endpoint and passes its response on.
func (q *request) attempt(ctx context.Context, c dragonflychoice.Choice) (res result) {
	conn, err := q.connect(ctx, c.Endpoint)
	if err != nil {
		if isSuperseded(ctx) {
			return supersededResult()
		}
		q.owner.parts.reportConnect(c.Endpoint, err)
		if q.r.Context().Err() != nil {
			return result{kind: abandoned, reason: "the caller has left"}
		}
		return result{kind: unreachable, reason: reasonOf("not connected", err)}
	}
	// Closing the connection stops the upstream's work when the caller disconnects
	// or the deadline passes.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	x := &exchange{q: q, endpoint: c.Endpoint, conn: conn, reader: &dragonflycallhttp.Reader{Source: conn}}
	res = x.runWatched(ctx, c)
	if reason := x.closeReason.Load(); reason != nil && res.kind == lost {
		res.reason = *reason
	}
	if !stop() {
		// The AfterFunc has run, and the connection is closed.
		return q.closeCause(ctx, res)
	}
	// Only now is the connection no longer closed when ctx ends, so that it can serve
	// another request.
	if x.reusable && x.closeReason.Load() == nil {
		q.owner.conns.Put(c.Endpoint, conn, x.keepAlive)
	} else {
		_ = conn.Close()
	}
	return res
}

// connect returns a connection on which the request has not been sent yet. A second copy of
// the answer to an earlier attempt has the id of the request, so that on the connection of
// that attempt it would pass for the answer to this one.
func (q *request) connect(ctx context.Context, e dragonflyendpoint.Endpoint) (conn *net.TCPConn, err error) {
	if slices.Contains(q.sentTo, e.ID) {
		return q.owner.conns.Dial(ctx, e)
	}
	conn, _, err = q.owner.conns.Get(ctx, e)
	return conn, err
}

// runWatched runs the exchange, a stream under the watch. After it, the moves duty no longer
// closes the connection, which may then serve another request. Any other request at a group
// is held by the watch: control must not reuse the group's members meanwhile.
func (x *exchange) runWatched(ctx context.Context, c dragonflychoice.Choice) result {
	q := x.q
	if !q.isStreaming() {
		if c.Endpoint.Group != "" {
			defer q.owner.streams.Hold(c.Endpoint.ID)()
		}
		return x.run(ctx)
	}
	var done func()
	x.move, x.mayMove = q.moveEvent(c), q.mayRetryLoss(1)
	q.race.attach(q.attemptIndex, x)
	x.release()
	x.onEvent, done = q.owner.streams.Open(c.Endpoint.ID, q.owner.Clock.Now(), x)
	defer func() {
		done()
		q.next = x.next
		if x.leftSilent {
			q.leftID, q.leftAt = c.Endpoint.ID, q.owner.Clock.Now()
		}
	}()
	return x.run(ctx)
}

// closeCause replaces the failure of a connection that the entry closed itself by
// the reason for closing it: the caller has disconnected or the deadline has passed.
func (q *request) closeCause(ctx context.Context, res result) result {
	switch {
	case res.kind == served:
		return res
	case isSuperseded(ctx):
		return supersededResult()
	case q.r.Context().Err() != nil:
		return result{kind: abandoned, reason: "the caller has left"}
	default:
		return result{kind: expired, reason: "the time is over"}
	}
}

func (x *exchange) run(ctx context.Context) result {
	if !x.q.deadline.After(x.q.owner.Clock.Now()) {
		return result{kind: expired, reason: "the time was over before the request was sent"}
	}
	if res := x.withdrawn(); res.kind == withdrawn {
		return res
	}
	if n, err := x.send(); err != nil {
		if n == 0 {
			return result{kind: unreachable, reason: reasonOf("not sent", err)}
		}
		x.q.noteSent(x.endpoint)
		return result{kind: lost, reason: reasonOf("send", err)}
	}
	x.q.noteSent(x.endpoint)
	// The body is not closed: Close would read the rest of it, which may have no end.
	// The connection is closed or kept instead.
	resp, err := x.receive() //nolint:bodyclose // see above
	if err != nil {
		return result{kind: lost, reason: reasonOf("no answer", err)}
	}
	head := dragonflycallhttp.ReadAnswer(resp)
	x.reportSignals(ctx, head)
	if !head.Genuine(x.q.ID) {
		return result{kind: lost, reason: "the answer belongs to another request or is damaged", status: head.Status}
	}
	x.reportLimit(ctx, head)
	switch {
	case head.NotRun:
		res := x.discardRefusal(resp)
		res.pauses = head.Pause > 0
		return res
	case head.Unproven:
		return result{kind: failed, reason: "the upstream failed with " + strconv.Itoa(head.Status), status: head.Status}
	case x.q.isStreaming() && head.Status < http.StatusMultipleChoices:
		return x.stream(ctx, resp)
	default:
		return x.passBuffered(resp)
	}
}

// noteSent records that e got some bytes of an attempt.
func (q *request) noteSent(e dragonflyendpoint.Endpoint) {
	q.sends++
	q.sentTo = append(q.sentTo, e.ID)
}

// send writes the head and the body. A large body is sent while the response is
// awaited, since the upstream may respond without reading it.
func (x *exchange) send() (n int, err error) {
	q := x.q
	var b bytes.Buffer
	b.Grow(1<<10 + min(q.body.Len(), inlineBodyBytes))
	b.WriteString(q.r.Method + " " + q.r.RequestURI + " HTTP/1.1\r\nHost: " + q.r.Host + "\r\n")
	h := dragonflycallhttp.Forward(q.r.Header, dragonflyforwarding.Forwarding{
		Instance: x.endpoint.ID, Workspace: q.workspace, TimeLeft: q.deadline.Sub(q.owner.Clock.Now()),
		Urgency: min(max(q.rank, 0), lowestUrgency), LastEvent: q.lastEventID,
	})
	if q.body.Len() > 0 || q.r.ContentLength > 0 || len(q.r.TransferEncoding) > 0 || q.r.Method == http.MethodPost || q.r.Method == http.MethodPut {
		h.Set("Content-Length", strconv.Itoa(q.body.Len()))
	}
	if err := h.Write(&b); err != nil {
		return 0, err
	}
	b.WriteString("\r\n")
	if q.body.Len() <= inlineBodyBytes {
		_, _ = q.body.WriteTo(&b)
		return x.conn.Write(b.Bytes())
	}
	if n, err = x.conn.Write(b.Bytes()); err != nil {
		return n, err
	}
	outcome := make(chan error, 1)
	x.written = sync.OnceValue(func() error { return <-outcome })
	err = q.owner.bodies.Go(func() {
		_, err := q.body.WriteTo(x.conn)
		outcome <- err
	})
	return n, err
}

// receive reads the head of the response, after any interim ones. The body of a response that
// ends with its connection is complete only if the request was sent as a whole.
func (x *exchange) receive() (resp *http.Response, err error) {
	resp, err = x.reader.ReadResponse(x.q.r)
	if err == nil && dragonflycallhttp.Unframed(resp) {
		resp.Body = dragonflyresponsebody.Body{ReadCloser: resp.Body, Written: x.written}
	}
	return resp, err
}

// discardRefusal reads the rest of a response to a request that the upstream refused to
// run, so that the connection can be kept. The request does not depend on it: a body
// without a length or one that stalls is not awaited.
func (x *exchange) discardRefusal(resp *http.Response) result {
	if !dragonflycallhttp.Unframed(resp) && x.conn.SetReadDeadline(time.Now().Add(refusalBodyTimeout)) == nil {
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxRefusalBytes))
		if err == nil && n < maxRefusalBytes && x.conn.SetReadDeadline(time.Time{}) == nil {
			x.keepConnection(resp)
		}
	}
	return result{kind: refused, reason: "the upstream refused with " + strconv.Itoa(resp.StatusCode), status: resp.StatusCode}
}

// retryError reports whether the request may be retried after an error response of
// an upstream.
func (q *request) retryError() bool {
	return q.route.Retryable() && q.runs+1+q.race.otherRuns(q.attemptIndex) < q.route.MaxAttempts
}

// keepConnection marks the connection as reusable if the upstream keeps it open and nothing
// follows the response.
func (x *exchange) keepConnection(resp *http.Response) {
	if resp.Close || dragonflycallhttp.Unframed(resp) || x.reader.Buffered() > 0 {
		return
	}
	if x.written != nil {
		return // The upstream may still wait for the rest of the body.
	}
	x.reusable, x.keepAlive = true, keepAliveTimeout(resp.Header.Get("Keep-Alive"))
}

// keepAliveTimeout returns the timeout of a Keep-Alive header, for which the upstream
// keeps an idle connection open. It returns 0 if the header has none.
func keepAliveTimeout(value string) time.Duration {
	for _, part := range strings.Split(value, ",") {
		name, v, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(v); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
