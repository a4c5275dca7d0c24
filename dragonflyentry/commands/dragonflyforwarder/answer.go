package dragonflyforwarder

import (
	"expvar"
	"log/slog"
	"net/http"
	"strconv"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/platform/dragonflycallhttp"
)

// unavailableRetryDelay is when a refused caller may come back. New groups and leaders are
// known within a few hundred milliseconds.
const unavailableRetryDelay = 300 * dragonflyduration.Millisecond

// overloadRetryDelay is when a caller may come back that was refused to keep others on
// time. Most callers are taken the second time, and are still on time.
const overloadRetryDelay = 10 * dragonflyduration.Millisecond

var (
	statuses = expvar.NewMap("dragonfly-forward-status")
	refusals = expvar.NewMap("dragonfly-forward-refusals")
	latency  = expvar.NewMap("dragonfly-forward-latency-ms")
)

// latencyBounds are the upper bounds of the latency histogram in milliseconds.
var latencyBounds = []int64{10, 30, 100, 200, 300, 500, 1000, 2000, 5000, 10000}

// errorResponse is an answer of the entry's own. The zero answer is none.
type errorResponse struct {
	status     int
	reason     string
	retryAfter dragonflyduration.Duration // when to come back
}

// refuse sends an answer of the entry's own.
func (q *request) refuse(a errorResponse) {
	h := q.w.Header()
	dragonflycallhttp.Refuse(h, q.ID, a.retryAfter)
	h.Set("Content-Type", "application/json")
	body := `{"error":{"message":` + strconv.Quote(a.reason) + `}}`
	h.Set("Content-Length", strconv.Itoa(len(body)))
	q.w.WriteHeader(a.status)
	_, _ = q.w.Write([]byte(body))
	refusals.Add(a.reason, 1)
	q.record(a.status, a.reason, "")
}

// record writes the line of a request that is over.
func (q *request) record(status int, outcome, endpoint string) {
	took := q.owner.Clock.Now().Sub(q.began)
	statuses.Add(strconv.Itoa(status), 1)
	latency.Add(latencyBucket(took.Milliseconds()), 1)
	level := slog.LevelInfo
	if status >= http.StatusInternalServerError {
		level = slog.LevelWarn
	}
	slog.Log(q.r.Context(), level, "request", "request", q.ID, "status", status, "outcome", outcome, "route", q.route.Name,
		"service", q.service.Name, "workspace", q.workspace, "endpoint", endpoint, "version", q.version,
		"sends", q.sends, "runs", q.runs, "last-event", q.lastEventID, "first-ms", q.timeToFirstEvent.Milliseconds(),
		"pause-ms", q.longestGap.Milliseconds(), "ms", took.Milliseconds())
}

// recordAttempt writes the line of an attempt that did not serve the request.
func (q *request) recordAttempt(endpoint, group, outcome, reason string, inFlight int) {
	slog.Warn("attempt failed", "request", q.ID, "endpoint", endpoint, "group", group, "outcome", outcome,
		"reason", reason, "in-flight", inFlight, "ms", q.owner.Clock.Now().Sub(q.began).Milliseconds())
}

func latencyBucket(ms int64) string {
	for _, b := range latencyBounds {
		if ms <= b {
			return "le-" + strconv.FormatInt(b, 10)
		}
	}
	return "above"
}
