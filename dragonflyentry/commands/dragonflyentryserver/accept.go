package dragonflyentryserver

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"expvar"
	"net"
	"strings"
	"time"

	"dragonflyrelay.example/dragonflyentry/queries/dragonflyreply"
	"dragonflyrelay.example/library/common/dragonflydebugserver"
	"dragonflyrelay.example/library/values/dragonflyclass"
	"dragonflyrelay.example/library/values/dragonflyentryevent"
	"dragonflyrelay.example/library/values/dragonflyworkspace"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/pkg/errors"
)

// Headers of our own.
const (
	headerRequest = "dragonfly-request-id"
	headerClass   = "dragonfly-class"
	headerOutcome = "dragonfly-outcome"
	headerReplay  = "dragonfly-replayed"
)

const (
	// bodyMarginBytes is read beyond the bound on bodies, so that most callers
	// above it get the error in JSON; beyond that, hertz answers 413 itself.
	bodyMarginBytes = 1 << 20
	// closeTimeout bounds how long idle connections keep a shutdown from ending.
	closeTimeout = time.Second
)

var (
	requests    = expvar.NewInt("dragonfly-entry-requests")
	callers     = expvar.NewInt("dragonfly-entry-callers")
	disconnects = expvar.NewInt("dragonfly-entry-callers-vanished")
)

// serveCallers serves callers on l until ctx ends and the requests in progress have
// ended.
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
	idle := e.tracker.close()
	t := time.NewTimer(time.Duration(e.settings.DrainTimeout))
	defer t.Stop()
	select {
	case <-idle:
	case <-t.C:
		err = errors.New("requests were still in progress after the drain timeout")
		e.stop() // Their callers get an error now.
	}
	closeCtx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = h.Shutdown(closeCtx) // Open idle connections are closed with the process.
	return err
}

func (e *entry) newHTTPServer(l net.Listener) *server.Hertz {
	readTimeout := time.Duration(e.settings.ReadTimeout)
	h := server.New(
		server.WithListener(l), server.WithTransport(standard.NewTransporter),
		server.WithSenseClientDisconnection(true), server.WithDisablePrintRoute(true),
		server.WithMaxRequestBodySize(e.settings.MaxBody+bodyMarginBytes),
		server.WithReadTimeout(readTimeout),
		// The standard transport applies its read timeout from the second
		// request of a connection on only.
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

// request is what the entry knows of a request before it looks at its body. Its
// strings are copies: hertz reuses its own after the handler returns.
type request struct {
	id        string
	workspace dragonflyworkspace.Workspace
	class     dragonflyclass.Class
}

// admit wraps a handler with what holds for all requests: the request id, the
// shutdown, the cap on requests, the key, the class and the size of the body.
func (e *entry) admit(next func(ctx context.Context, c *app.RequestContext, r request)) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		requests.Add(1)
		r := request{id: newID()}
		c.Header(headerRequest, r.id)
		if !e.tracker.tryAdd() {
			c.Response.Header.SetConnectionClose(true)
			writeError(c, notRunError(503, "shutting-down", "this entry is shutting down"))
			return
		}
		defer e.tracker.done()
		// The response is flushed after the handler; a caller that does not
		// read it must not hold the connection.
		defer func() { _ = c.GetConn().SetWriteDeadline(time.Now().Add(time.Duration(e.settings.WriteTimeout))) }()
		callers.Add(1)
		defer callers.Add(-1)
		defer e.callers.Add(-1)
		if e.callers.Add(1) > int64(e.settings.StreamCap) {
			writeError(c, notRunError(503, "entry-busy", "this entry has too many requests in progress"))
			return
		}
		r, f := e.authenticate(r, string(c.GetHeader("Authorization")), string(c.GetHeader(headerClass)))
		switch {
		case f.status != 0:
			writeError(c, f)
		case len(c.Request.Body()) > e.settings.MaxBody:
			writeError(c, apiError{status: 413, kind: kindInvalid, code: "body-too-large", message: "the body exceeds the entry's bound"})
		default:
			next(ctx, c, r)
		}
	}
}

// authenticate finds workspace and class.
func (e *entry) authenticate(r request, authorization, class string) (request, apiError) {
	view := e.routing.Load()
	if !view.HasTable() {
		return r, notRunError(503, "no-configuration", "this entry has no configuration yet")
	}
	scheme, key, _ := strings.Cut(authorization, " ")
	sum := sha256.Sum256([]byte(strings.TrimSpace(key)))
	w, ok := view.Config().WorkspaceByKeyHash(hex.EncodeToString(sum[:]))
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return r, apiError{status: 401, kind: "authentication_error", code: "unknown-key", message: "the bearer key is missing or unknown"}
	}
	if class == "" {
		class = w.Class()
	}
	cl, ok := view.Config().Classes().Get(class)
	if !ok {
		return r, apiError{status: 400, kind: kindInvalid, code: "unknown-class", message: "unknown class " + quote(class)}
	}
	r.workspace, r.class = w, cl
	return r, apiError{}
}

func (e *entry) models(_ context.Context, c *app.RequestContext, _ request) {
	c.Data(200, jsonContentType, dragonflyreply.Models(e.routing.Load().Models()))
}

// submit hands a request to the route duty, or fails if too many wait for it, and returns the mailbox of its answer.
func (e *entry) submit(ev dragonflyentryevent.Event) (box *mailbox, err error) {
	box = newMailbox()
	e.tracker.add()
	if err := e.arrivals.TryPut(input{ev: ev, box: box}); err != nil {
		e.tracker.done()
		return nil, err
	}
	return box, nil
}

// disconnect tells the core that the caller has gone away. It uses the ring of begin,
// so that it cannot overtake the request.
func (e *entry) disconnect(id string) {
	disconnects.Add(1)
	_ = e.arrivals.Put(e.base, input{ev: dragonflyentryevent.Event{Kind: dragonflyentryevent.Disconnect, Request: id}})
}

// newID returns a request id: 32 hex digits.
func newID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // It never fails.
	return hex.EncodeToString(b[:])
}
