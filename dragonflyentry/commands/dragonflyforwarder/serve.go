package dragonflyforwarder

import (
	"context"
	"hash/fnv"
	"io"
	"net/http"
	"time"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflycall"
	"dragonflyrelay.example/library/values/dragonflydocument"
	"dragonflyrelay.example/library/values/dragonflydocumentservice"
	"dragonflyrelay.example/library/values/dragonflypathroute"
	"dragonflyrelay.example/platform/dragonflycallhttp"
	"github.com/pkg/errors"
)

// defaultTimeLeft is how long a caller is taken to wait that does not say.
const defaultTimeLeft = 30 * dragonflyduration.Second

// maxUrgency is the least urgent value that engines know.
const maxUrgency = 9

// request is one attempt of a caller while the entry works on it.
type request struct {
	dragonflycall.Call
	owner     *Server
	w         http.ResponseWriter
	r         *http.Request
	began     dragonflyinstant.Instant
	deadline  dragonflyinstant.Instant // of the caller and of the route
	route     dragonflypathroute.Route
	service   dragonflydocumentservice.Service
	version   uint64 // of the document that the request is handled by
	workspace string
	rank      int
	body      []byte

	tried       []string                 // endpoints that failed
	sends       int                      // attempts that reached an upstream
	runs        int                      // those that may have run
	hasWaited   bool                     // it has waited for room
	hasEvent    bool                     // the present attempt has had an event
	sentAt      dragonflyinstant.Instant // when the present attempt began
	lastEventID string                   // id of the last event passed on
	started     bool                     // the answer's header has been sent
	lostAt      dragonflyinstant.Instant // when an attempt was lost, 0 if none was
	lastEventAt dragonflyinstant.Instant // when the last event was passed on

	timeToFirstEvent dragonflyduration.Duration // time to the first event, 0 without one
	longestGap       dragonflyduration.Duration // between two events passed on
}

// serve handles one request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	q := &request{Call: dragonflycallhttp.Read(r), owner: s, w: w, r: r, began: s.Clock.Now()}
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if refusal := q.admit(); refusal != (errorResponse{}) {
		q.refuse(refusal)
		return
	}
	if refusal := q.readBody(); refusal != (errorResponse{}) {
		q.refuse(refusal)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(q.deadline.Sub(s.Clock.Now())))
	defer cancel()
	q.forward(ctx)
}

// admit finds the route and the workspace.
func (q *request) admit() errorResponse {
	v := q.owner.view.Load()
	d := v.document
	if d.Version() == 0 {
		return errorResponse{status: http.StatusServiceUnavailable, reason: "no document is known", retryAfter: unavailableRetryDelay}
	}
	q.version = d.Version()
	route, ok := d.Route(q.Host, q.Path)
	if !ok {
		return errorResponse{status: http.StatusNotFound, reason: "no route matches"}
	}
	q.route, q.rank = route, route.Rank
	if refusal := q.identifyWorkspace(d, v); refusal != (errorResponse{}) {
		return refusal
	}
	wait := q.TimeLeft
	if wait <= 0 {
		wait = defaultTimeLeft
	}
	q.deadline = q.began.Add(min(wait, route.Timeout))
	q.service, _ = d.Services().Get(q.targetService())
	return errorResponse{}
}

// identifyWorkspace finds the workspace that holds the caller's key.
func (q *request) identifyWorkspace(d dragonflydocument.Document, v view) errorResponse {
	if !d.RequiresKey() {
		return errorResponse{}
	}
	h, ok := d.WorkspaceByKey(q.Key)
	if !ok && !q.route.Public {
		return errorResponse{status: http.StatusUnauthorized, reason: "the key is not known"}
	}
	if !ok {
		return errorResponse{}
	}
	if q.owner.keyLeaseExpired(v) && !q.route.Public {
		return errorResponse{status: http.StatusServiceUnavailable, reason: "control has not confirmed keys lately", retryAfter: unavailableRetryDelay}
	}
	q.workspace = h.Name
	if h.HasRank {
		q.rank = h.Rank
	}
	return errorResponse{}
}

// targetService returns the service that the request goes to. All attempts with one id
// go to the same one.
func (q *request) targetService() string {
	sum := 0.0
	for _, t := range q.route.Targets {
		sum += t.Weight
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, q.ID)
	at := float64(h.Sum64()>>11) / (1 << 53) * sum
	for _, t := range q.route.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return q.route.Targets[len(q.route.Targets)-1].Service
}

// passLimit returns the longest pass of an engine that lets the request be on
// time: it waits for half a pass on average before its prompt is read in the next
// one, and later events come once a pass.
func (q *request) passLimit() dragonflyduration.Duration {
	if !q.service.Grouped() {
		return 0
	}
	limit := q.route.Objective * 2 / 3
	if q.route.GapTarget > 0 {
		limit = min(limit, q.route.GapTarget)
	}
	return limit
}

// readBody reads the body whole, because another attempt may need it again.
func (q *request) readBody() errorResponse {
	limit := int64(q.owner.view.Load().document.Limits().BodyBytes)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(q.w, q.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return errorResponse{status: http.StatusRequestEntityTooLarge, reason: "the body is too large"}
	case err != nil:
		return errorResponse{status: http.StatusBadRequest, reason: "the body ended early"}
	}
	q.body = body
	return errorResponse{}
}

// defaultBodyBytes bounds a body if the document does not, in bytes.
const defaultBodyBytes = 4 << 20
