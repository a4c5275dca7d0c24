package dragonflyentryserver

import (
	"cmp"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"expvar"
	"net"
	"strings"
	"time"

	"dragonflyrelay.example/dragonflyentry/queries/dragonflyreply"
	"dragonflyrelay.example/library/common/dragonflyboundedlistener"
	"dragonflyrelay.example/library/common/dragonflydebugserver"
	"dragonflyrelay.example/library/common/dragonflydescriptorlimit"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyreservations"
	"dragonflyrelay.example/library/values/dragonflyclass"
	"dragonflyrelay.example/library/values/dragonflyentryevent"
	"dragonflyrelay.example/library/values/dragonflyworkspace"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/pkg/errors"
)

// Headers of the project's own.
const (
	headerRequest = "dragonfly-request-id"
	headerClass   = "dragonfly-class"
	headerOutcome = "dragonfly-outcome"
	headerReplay  = "dragonfly-replayed"
)

const (
	// bodyMarginBytes is how much of a body is read beyond max-body, so that most
	// callers that exceed it get the error in JSON; above the margin, hertz itself
	// answers 413.
	bodyMarginBytes = 1 << 20
	// bodyPatience is how long a body may take while others wait for its memory.
	bodyPatience = dragonflyduration.Second
	// bodyCopies is the memory for requests as a multiple of the largest body, which counts
	// twice, if the settings name none.
	bodyCopies = 6
	// keptBodyBytes is the largest body buffer that is kept for later requests.
	keptBodyBytes = 64 << 10
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// closeTimeout bounds how long idle connections may delay a shutdown.
	closeTimeout = time.Second
)

var (
	requests    = expvar.NewInt("dragonfly-entry-requests")
	callers     = expvar.NewInt("dragonfly-entry-callers")
	disconnects = expvar.NewInt("dragonfly-entry-callers-vanished")
)

// serveCallers serves callers on l until ctx ends and the requests in progress
// have ended. It returns an error if they outlast the drain timeout.
func (e *entry) serveCallers(ctx context.Context, l net.Listener) (err error) {
	defer func() { err = errors.WithMessage(err, "serve callers") }()
	h := e.newHTTPServer(l)
	served := make(chan error, 1)
	if err := e.duties.Go(func() { served <- h.Run() }); err != nil {
		return err
	}
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	drained := e.tracker.close()
	t := time.NewTimer(time.Duration(e.settings.DrainTimeout))
	defer t.Stop()
	select {
	case <-drained:
	case <-t.C:
		err = errors.New("requests were still in progress after the drain timeout")
		e.stop() // The handlers that are left answer with an error.
	}
	closeCtx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = h.Shutdown(closeCtx) // Idle connections that are still open end with the process.
	return err
}

func (e *entry) newHTTPServer(l net.Listener) *server.Hertz {
	readTimeout := time.Duration(e.settings.ReadTimeout)
	maxBody := e.settings.MaxBody + bodyMarginBytes
	bounded := &dragonflyboundedlistener.Listener{
		Listener: l, Name: "callers", MaxConnections: max(dragonflydescriptorlimit.Get()/2, 1),
		Memory: &dragonflyreservations.Reservations{Name: "bodies", Limit: cmp.Or(int64(e.settings.BodyMB)<<20, bodyCopies*int64(maxBody)), Patience: bodyPatience}, MaxBody: int64(maxBody), MaxCharge: 2 * int64(maxBody),
	}
	h := server.New(
		server.WithListener(bounded), server.WithMaxHeaderBytes(maxHeaderBytes), server.WithMaxKeepBodySize(keptBodyBytes),
		server.WithOnAccept(func(c net.Conn) context.Context { return dragonflyboundedlistener.WithConn(context.Background(), c) }),
		server.WithTransport(standard.NewTransporter),
		server.WithSenseClientDisconnection(true), server.WithDisablePrintRoute(true),
		server.WithMaxRequestBodySize(maxBody),
		server.WithReadTimeout(readTimeout),
		// The standard transport applies its read timeout only from the second
		// request of a connection on.
		server.WithOnConnect(func(ctx context.Context, conn network.Conn) context.Context {
			_ = conn.SetReadTimeout(readTimeout)
			return ctx
		}),
		server.WithIdleTimeout(time.Minute),
		server.WithExitWaitTime(closeTimeout),
	)
	health := dragonflydebugserver.Server{Ready: func() bool { return !e.tracker.isClosed() && e.routing.Load().HasTable() }}
	health.Register(h)
	h.POST("/v1/chat/completions", e.admit(e.chat))
	h.POST("/v1/completions", e.admit(e.completion))
	h.GET("/v1/models", e.admit(e.models))
	h.Any("/services/:service/*path", e.admit(e.service))
	h.NoRoute(func(_ context.Context, c *app.RequestContext) {
		c.Header(headerRequest, newID())
		writeError(c, apiError{status: 404, kind: kindInvalid, code: "unknown-path", message: "unknown path or method"})
	})
	return h
}

// request is the part of a request that does not depend on its body. Its strings
// are copies, because hertz reuses its buffers after the handler returns.
type request struct {
	id        string
	workspace dragonflyworkspace.Workspace
	class     dragonflyclass.Class
}

// admit wraps a handler with the steps that all requests share: it assigns the
// request id and checks shutdown, the cap on requests, the key, the class and the
// size of the body.
func (e *entry) admit(next func(ctx context.Context, c *app.RequestContext, r request)) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		requests.Add(1)
		dragonflyboundedlistener.SetBusy(ctx, true)
		defer dragonflyboundedlistener.SetBusy(ctx, false)
		r := request{id: newID()}
		c.Header(headerRequest, r.id)
		if !e.tracker.tryAdd() {
			c.Response.Header.SetConnectionClose(true)
			writeError(c, notRunError(503, "shutting-down", "this entry is shutting down"))
			return
		}
		defer e.tracker.done()
		// The response is flushed after the handler returns; the deadline closes
		// the connection of a caller that does not read it.
		defer func() { _ = c.GetConn().SetWriteDeadline(time.Now().Add(time.Duration(e.settings.WriteTimeout))) }()
		callers.Add(1)
		defer callers.Add(-1)
		defer e.callers.Add(-1)
		if e.callers.Add(1) > int64(e.settings.StreamCap) {
			writeError(c, notRunError(503, "entry-busy", "this entry has too many requests in progress"))
			return
		}
		r, apiErr := e.authenticate(r, string(c.GetHeader("Authorization")), string(c.GetHeader(headerClass)))
		switch {
		case apiErr.status != 0:
			writeError(c, apiErr)
		case len(c.Request.Body()) > e.settings.MaxBody:
			writeError(c, apiError{status: 413, kind: kindInvalid, code: "body-too-large", message: "the body exceeds the entry's bound"})
		default:
			next(ctx, c, r)
		}
	}
}

// authenticate returns r with the workspace of the bearer key and the class, which
// is the workspace's default if the header names none, or the error for the caller.
func (e *entry) authenticate(r request, authorization, class string) (request, apiError) {
	routing := e.routing.Load()
	// A control instance that has no configuration yet sends a table without one.
	if !routing.HasTable() || routing.Config().Version() == 0 {
		return r, notRunError(503, "no-configuration", "this entry has no configuration yet")
	}
	scheme, key, _ := strings.Cut(authorization, " ")
	sum := sha256.Sum256([]byte(strings.TrimSpace(key)))
	w, ok := routing.Config().WorkspaceByKeyHash(hex.EncodeToString(sum[:]))
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return r, apiError{status: 401, kind: "authentication_error", code: "unknown-key", message: "the bearer key is missing or unknown"}
	}
	if class == "" {
		class = w.Class()
	}
	cl, ok := routing.Config().Classes().Get(class)
	if !ok {
		return r, apiError{status: 400, kind: kindInvalid, code: "unknown-class", message: "unknown class " + quote(class)}
	}
	r.workspace, r.class = w, cl
	return r, apiError{}
}

func (e *entry) models(_ context.Context, c *app.RequestContext, _ request) {
	c.Data(200, jsonContentType, dragonflyreply.Models(e.routing.Load().Models()))
}

// submit passes a request to the route duty and returns the mailbox of its answer.
// It fails if the ring of waiting requests is full.
func (e *entry) submit(ev dragonflyentryevent.Event) (box *mailbox, err error) {
	box = newMailbox()
	e.tracker.add()
	if err := e.arrivals.TryPut(input{ev: ev, box: box}); err != nil {
		e.tracker.done()
		return nil, err
	}
	return box, nil
}

// disconnect notifies the core that the caller has closed its connection or does not
// read from it. It uses the same ring as submit, so that the notification cannot
// overtake the request.
func (e *entry) disconnect(id string) {
	disconnects.Add(1)
	_ = e.arrivals.Put(e.base, input{ev: dragonflyentryevent.Event{Kind: dragonflyentryevent.Disconnect, Request: id}})
}

// newID returns a request id: 32 hex digits.
func newID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // Read never fails.
	return hex.EncodeToString(b[:])
}
