// Package dragonflydebugserver serves the health and metrics endpoints of all
// long-running programs.
package dragonflydebugserver

import (
	"cmp"
	"context"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"dragonflyrelay.example/library/common/dragonflyboundedlistener"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/pkg/errors"
)

const (
	// shutdownTimeout bounds how long Serve waits for open connections on shutdown.
	shutdownTimeout = time.Second
	// defaultMaxBody bounds the body of a request in bytes. The pages need none.
	defaultMaxBody = 1 << 10
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 16 << 10
	// maxConnections bounds the open connections. Few programs read the pages of one process.
	maxConnections = 128
)

// Server serves /healthz, /readyz and /debug/vars. The zero value is always
// ready.
type Server struct {
	// Ready reports whether the program accepts requests; nil means always.
	Ready func() bool
	// Routes, if not nil, registers the program's own endpoints.
	Routes func(h *server.Hertz)
	// MaxBody bounds the body of a request in bytes, 0 for 1 KiB.
	MaxBody int
}

// Serve handles requests on l until ctx ends, which is no error.
func (s *Server) Serve(ctx context.Context, l net.Listener) (err error) {
	defer func() { err = errors.WithMessagef(err, "serve health pages on %s", l.Addr()) }()
	bounded := &dragonflyboundedlistener.Listener{Listener: l, Name: "pages", MaxConnections: maxConnections}
	h := server.New(server.WithListener(bounded), server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(cmp.Or(s.MaxBody, defaultMaxBody)), server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithDisablePrintRoute(true), server.WithExitWaitTime(shutdownTimeout))
	s.Register(h)
	if s.Routes != nil {
		s.Routes(h)
	}
	stop := context.AfterFunc(ctx, func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = h.Shutdown(ctx)
	})
	defer stop()
	err = h.Run()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Register adds the health and metrics endpoints to h, for a program whose server
// has other endpoints too.
func (s *Server) Register(h *server.Hertz) {
	h.GET("/healthz", func(_ context.Context, c *app.RequestContext) {
		c.String(http.StatusOK, "ok\n")
	})
	h.GET("/readyz", func(_ context.Context, c *app.RequestContext) {
		if s.Ready != nil && !s.Ready() {
			c.String(http.StatusServiceUnavailable, "not ready\n")
			return
		}
		c.String(http.StatusOK, "ok\n")
	})
	h.GET("/debug/vars", func(_ context.Context, c *app.RequestContext) {
		c.Data(http.StatusOK, "application/json; charset=utf-8", []byte(vars()))
	})
}

// vars returns all expvar variables as one JSON object.
func vars() string {
	var b strings.Builder
	sep := "{\n"
	expvar.Do(func(kv expvar.KeyValue) {
		fmt.Fprintf(&b, "%s%q: %s", sep, kv.Key, kv.Value)
		sep = ",\n"
	})
	b.WriteString("\n}\n")
	return b.String()
}
