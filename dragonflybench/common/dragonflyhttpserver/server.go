// Package dragonflyhttpserver serves the HTTP API of a stand-in until its context ends.
package dragonflyhttpserver

import (
	"context"
	"time"

	"dragonflyrelay.example/dragonflybench/common/dragonflylistener"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/pkg/errors"
)

// shutdownTimeout bounds the shutdown of the server. The connections are closed
// first, so that only handlers that have not returned yet take time.
const shutdownTimeout = 200 * time.Millisecond

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 4 << 20

func init() { hlog.SetLevel(hlog.LevelError) }

// Serve serves the routes on l until ctx ends and then closes all connections. The
// context of a handler ends when its caller disconnects.
func Serve(ctx context.Context, l *dragonflylistener.Listener, routes func(h *server.Hertz)) (err error) {
	defer func() { err = errors.WithMessagef(err, "serve HTTP on %s", l.Addr()) }()
	h := server.New(server.WithListener(l), server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true), server.WithExitWaitTime(shutdownTimeout),
		server.WithSenseClientDisconnection(true), server.WithMaxRequestBodySize(maxBodyBytes))
	routes(h)
	stop := context.AfterFunc(ctx, func() {
		l.CloseAll()
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

// Fail responds with status and an error body in the format of the system. Its type
// is outcome; "not-run" means that the request had no effect.
func Fail(c *app.RequestContext, status int, outcome, message string) {
	c.Header("dragonfly-outcome", outcome)
	c.JSON(status, map[string]any{"error": map[string]string{"message": message, "type": outcome, "code": message}})
}
