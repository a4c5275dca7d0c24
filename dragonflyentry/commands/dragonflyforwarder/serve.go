package dragonflyforwarder

import (
	"context"
	"hash/fnv"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"dragonflyrelay.example/dragonflyentry/common/dragonflybodybuffer"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflycall"
	"dragonflyrelay.example/library/values/dragonflychoice"
	"dragonflyrelay.example/library/values/dragonflydocument"
	"dragonflyrelay.example/library/values/dragonflydocumentservice"
	"dragonflyrelay.example/library/values/dragonflypathroute"
	"dragonflyrelay.example/platform/dragonflycallhttp"
)

// defaultTimeLeft is the assumed time until the deadline of a request whose caller
// does not state it.
const defaultTimeLeft = 30 * dragonflyduration.Second

// lowestUrgency is the urgency of the least urgent requests; engines serve 0 first.
const lowestUrgency = 9

// request is a caller's request while the entry handles it. Its id comes from the
// caller. The entry may make several attempts to serve it.
type request struct {
	dragonflycall.Call
	owner     *Server
	w         http.ResponseWriter
	r         *http.Request
	began     dragonflyinstant.Instant
	deadline  dragonflyinstant.Instant // the earlier of the caller's and the route's
	route     dragonflypathroute.Route
	service   dragonflydocumentservice.Service
	version   uint64 // of the routing document in use
	workspace string
	rank      int // 0 is the most urgent
	body      dragonflybodybuffer.Buffer
	holder    uint64       // of the memory for the body and the response
	evicted   *atomic.Bool // has had to give its memory to others
	// fingerprint identifies the request among those of all callers, whatever its id is.
	fingerprint string
	keys        []string // the shared parts of the prompt, and the fingerprint

	tried        []string                   // ids of endpoints that did not serve the request
	tries        int                        // attempts, also those of which nothing was sent
	failures     []string                   // logged, by endpoint and kind
	sends        int                        // attempts of which an upstream got some bytes
	sentTo       []string                   // ids of the endpoints that got them, in order
	runs         int                        // attempts that may have run
	hasWaited    bool                       // has waited for capacity or for a change of the routing table
	hasEvent     bool                       // the present attempt has had an event
	reads        int                        // reads of the present attempt with events
	isProbe      bool                       // sent once only, to probe a quarantined part of its prompt
	sentAt       dragonflyinstant.Instant   // start of the present attempt
	answerTime   dragonflyduration.Duration // to the whole answer of the present attempt, 0 for a stream
	race         *race                      // joins the present attempt with a second one, nil if there is none
	attemptIndex attemptIndex               // of the present attempt in race
	lastEventID  string                     // id of the last event passed on
	successors   int                        // events whose id is one above that of the event before, -1 after a gap
	started      bool                       // the header of the response has been sent
	wasRefused   bool                       // an upstream has refused to run it, without asking for a pause
	lostAt       dragonflyinstant.Instant   // estimated time of the last lost or failed attempt, 0 if there was none
	lastEventAt  dragonflyinstant.Instant   // when the last event was passed on

	next   *dragonflychoice.Choice  // chosen while the latest attempt was in progress, nil if there is none
	leftID string                   // id of the endpoint that a stream has left because it was silent
	leftAt dragonflyinstant.Instant // when it has left

	sequence     uint64                     // of the state of control by which the request was admitted or an endpoint chosen
	waitingID    uint64                     // in the waiting room, 0 if the request is not in it
	waitingUntil dragonflyinstant.Instant   // the end of its wait there
	waited       dragonflyduration.Duration // for a document, a leader or an endpoint

	noChoice string // why the balance core has chosen no endpoint the last time, "" if it always has

	limit float64 // requests a second that the latest answer names as the limit of its upstream

	timeToFirstEvent dragonflyduration.Duration // 0 before the first event
	longestGap       dragonflyduration.Duration // between two events passed on
}

// serve implements the handler for callers' requests.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	q := &request{Call: dragonflycallhttp.ReadCall(r), owner: s, w: w, r: r, began: s.Clock.Now()}
	q.closeWhileDraining()
	defer q.openMemory()()
	q.limitUnreadBody()
	defer q.leaveRoom()
	refusal := q.admit()
	switch {
	case refusal.waits:
		refusal = q.readUnrouted(refusal)
	case refusal == errorResponse{}:
		refusal = q.readBody(s.bodyLimit())
	}
	if refusal != (errorResponse{}) {
		q.refuse(refusal)
		return
	}
	// Its key or its route may have been taken away while the body arrived.
	if refusal := q.admitOrWait(); refusal != (errorResponse{}) {
		q.refuse(refusal)
		return
	}
	q.leaveRoom()
	if q.ID == "" {
		// Upstreams refuse it too, and a stale answer without an id could not be recognized.
		q.refuse(errorResponse{status: http.StatusBadRequest, reason: "the attempt id is missing"})
		return
	}
	// The shutdown may have begun while the body arrived.
	q.closeWhileDraining()
	if s.shutdown.Load().refuses(s.Clock.Now(), q.deadline) {
		q.refuse(errorResponse{status: http.StatusServiceUnavailable, reason: "the entry shuts down before the answer is due", retryAfter: movedRetryDelay})
		return
	}
	q.limitWrites()
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(q.deadline.Sub(s.Clock.Now())))
	defer cancel()
	defer context.AfterFunc(s.requests, cancel)()
	q.forward(ctx)
}

// closeWhileDraining asks the caller to send its next request to another entry if this one
// shuts down.
func (q *request) closeWhileDraining() {
	if q.owner.shutdown.Load().isDraining() {
		q.w.Header().Set("Connection", "close")
	}
}

// admit sets the route, workspace, deadline and service of the request by the present
// document. It returns the refusal if there is one.
func (q *request) admit() errorResponse {
	q.workspace = ""
	v := q.owner.view.Load()
	q.sequence = v.sequence
	d := v.document
	if d.Version() == 0 {
		return errorResponse{status: http.StatusServiceUnavailable, reason: "no document is known", retryAfter: unavailableRetryDelay, waits: true}
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
	timeLeft := q.TimeLeft
	if timeLeft <= 0 {
		timeLeft = defaultTimeLeft
	}
	q.deadline = q.began.Add(min(timeLeft, route.Timeout))
	q.service, _ = d.Services().Get(q.targetService())
	return errorResponse{}
}

// identifyWorkspace sets the workspace that holds the caller's key, and its rank. It
// returns the refusal if the key does not give access.
func (q *request) identifyWorkspace(d dragonflydocument.Document, v view) errorResponse {
	if !d.RequiresKey() {
		return errorResponse{}
	}
	ws, ok := d.WorkspaceByKey(q.Key)
	if !ok && !q.route.Public {
		return errorResponse{status: http.StatusUnauthorized, reason: "the key is not known"}
	}
	if !ok {
		return errorResponse{}
	}
	if q.owner.keyLeaseExpired(v) && !q.route.Public {
		return errorResponse{status: http.StatusServiceUnavailable, reason: "control has not confirmed keys lately", retryAfter: unavailableRetryDelay, waits: true}
	}
	q.workspace = ws.Name
	if ws.HasRank {
		q.rank = ws.Rank
	}
	return errorResponse{}
}

// targetService returns the service that the request goes to, picked by weight. The
// hash of the request's id decides, so that all requests with one id go to the same
// service.
func (q *request) targetService() string {
	total := 0.0
	for _, t := range q.route.Targets {
		total += t.Weight
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, q.ID)
	at := float64(h.Sum64()>>11) / (1 << 53) * total
	for _, t := range q.route.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return q.route.Targets[len(q.route.Targets)-1].Service
}

// passLimit returns the longest forward pass of an engine with which the request meets
// its objective: it waits for half a pass on average before the next one prefills its
// prompt, and later events come once a pass. It is 0, no limit, for services without
// groups.
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
