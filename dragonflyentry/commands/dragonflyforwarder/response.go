package dragonflyforwarder

import (
	"expvar"
	"log/slog"
	"net/http"
	"strconv"

	"dragonflyrelay.example/library/common/dragonflycountermap"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyfailurecause"
	"dragonflyrelay.example/platform/dragonflycallhttp"
	"github.com/pkg/errors"
)

// unavailableRetryDelay is the Retry-After of a refusal for want of an endpoint or
// of control. New groups and leaders are known within a few hundred milliseconds.
const unavailableRetryDelay = 300 * dragonflyduration.Millisecond

// overloadRetryDelay is the Retry-After of a request that was refused so that others
// meet their objective. Most are admitted on the second attempt and still meet
// theirs.
const overloadRetryDelay = 10 * dragonflyduration.Millisecond

// movedRetryDelay is the Retry-After of a request that any other entry can take at once.
const movedRetryDelay = 10 * dragonflyduration.Millisecond

var (
	statuses = expvar.NewMap("dragonfly-forward-status")
	refusals = dragonflycountermap.New("dragonfly-forward-refusals")
	panics   = expvar.NewInt("dragonfly-forward-panics")
	latency  = expvar.NewMap("dragonfly-forward-latency-ms")
)

// latencyBounds are the upper bounds of the latency histogram, in milliseconds.
var latencyBounds = []int64{10, 30, 100, 200, 300, 500, 1000, 2000, 5000, 10000}

// errorResponse is a response that the entry makes itself. The zero value stands
// for no response.
type errorResponse struct {
	status     int
	reason     string
	retryAfter dragonflyduration.Duration // 0 sends no Retry-After
	waits      bool                       // the request may wait for the state of control that it lacks
}

// reasonOf returns the reason of a failure that err caused. Reasons reach callers, counters and
// logs, so that they never quote what an upstream has sent.
func reasonOf(what string, err error) string {
	if errors.Is(err, dragonflycallhttp.ErrHeadTooLarge) {
		return what + ": " + dragonflycallhttp.ErrHeadTooLarge.Error()
	}
	return what + ": " + string(dragonflyfailurecause.Of(err))
}

// refuse sends the response e and records the end of the request.
func (q *request) refuse(e errorResponse) {
	h := q.w.Header()
	dragonflycallhttp.SetRefusalHeaders(h, q.ID, e.retryAfter)
	h.Set("Content-Type", "application/json")
	body := `{"error":{"message":` + strconv.Quote(e.reason) + `}}`
	h.Set("Content-Length", strconv.Itoa(len(body)))
	q.w.WriteHeader(e.status)
	_, _ = q.w.Write([]byte(body))
	refusals.Add(e.reason, 1)
	q.record(e.status, e.reason, "")
}

// record counts and logs a request that has ended. Status is 0 if the caller got no
// complete response.
func (q *request) record(status int, outcome, endpoint string) {
	now, silence := q.owner.Clock.Now(), dragonflyduration.Duration(0)
	if q.lastEventAt != 0 {
		silence = now.Sub(q.lastEventAt)
	}
	took := now.Sub(q.began)
	statuses.Add(strconv.Itoa(status), 1)
	latency.Add(latencyBucket(took.Milliseconds()), 1)
	level := slog.LevelInfo
	if status >= http.StatusInternalServerError {
		level = slog.LevelWarn
	}
	slog.Log(q.r.Context(), level, "request", "request", q.ID, "status", status, "outcome", outcome, "route", q.route.Name,
		"service", q.service.Name, "model", q.servedModel(), "prompt-tokens", q.PromptTokens, "max-tokens", q.MaxTokens,
		"workspace", q.workspace, "endpoint", endpoint, "version", q.version,
		"sends", q.sends, "runs", q.runs, "last-event", q.lastEventID, "first-ms", q.timeToFirstEvent.Milliseconds(),
		"pause-ms", q.longestGap.Milliseconds(), "silence-ms", silence.Milliseconds(),
		"no-choice", q.noChoice, "limit", q.limit, "waited-ms", q.waited.Milliseconds(), "ms", took.Milliseconds())
}

// recordAttempt logs an attempt that did not serve the request.
func (q *request) recordAttempt(endpoint, group, outcome, reason string, inFlight int) {
	slog.Warn("attempt failed", "request", q.ID, "endpoint", endpoint, "group", group, "outcome", outcome,
		"reason", reason, "in-flight", inFlight, "had-event", q.hasEvent, "last-event", q.lastEventID, "shared-parts", q.SharedParts,
		"fingerprint", q.fingerprint, "ms", q.owner.Clock.Now().Sub(q.began).Milliseconds())
}

func latencyBucket(ms int64) string {
	for _, b := range latencyBounds {
		if ms <= b {
			return "le-" + strconv.FormatInt(b, 10)
		}
	}
	return "above"
}
