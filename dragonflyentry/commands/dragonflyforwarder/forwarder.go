// Package dragonflyforwarder runs an entry that forwards whole requests to upstreams
// according to a routing document. Its duties are joined by rings around the balance core,
// and each request in progress has a handler of its own.
package dragonflyforwarder

import (
	"context"
	"log"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"dragonflyrelay.example/dragonflyentry/common/dragonflystreamwatch"
	"dragonflyrelay.example/dragonflyentry/common/dragonflyupstreampool"
	"dragonflyrelay.example/dragonflyentry/values/dragonflyforwardsettings"
	"dragonflyrelay.example/library/common/dragonflyboundedlistener"
	"dragonflyrelay.example/library/common/dragonflybroadcast"
	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflydebugserver"
	"dragonflyrelay.example/library/common/dragonflydescriptorlimit"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflylatest"
	"dragonflyrelay.example/library/common/dragonflypool"
	"dragonflyrelay.example/library/common/dragonflyreservations"
	"dragonflyrelay.example/library/values/dragonflydocument"
	"github.com/pkg/errors"
)

const (
	// headerTimeout and idleTimeout bound a caller's connection. They are longer
	// than the timeouts that routing documents set for callers.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// bodyPoolSize bounds the large bodies that are sent at a time while their
	// responses are awaited.
	bodyPoolSize = 256
	// writeTimeout bounds the writing of a response from the header of its request on. The
	// deadline of a request that is forwarded replaces it.
	writeTimeout = time.Minute
	// defaultBodyStall is the time after which a body that has stopped arriving is refused.
	defaultBodyStall = 10 * dragonflyduration.Second
)

// Server is one forwarding entry. Settings and Decode must be set before Run.
type Server struct {
	Settings dragonflyforwardsettings.Settings
	// Decode parses a routing document.
	Decode func(content []byte) (d dragonflydocument.Document, err error)
	// Reseed returns the addresses of control instances that the settings file lists
	// at present. If Reseed is nil, those of Settings are kept.
	Reseed func() []string
	Clock  dragonflyclock.Clock
	// Listening, if not nil, is called with the bound addresses for callers and for
	// the ready page.
	Listening func(callers, ready net.Addr)

	duties       dragonflypool.Pool
	bodies       dragonflypool.Pool
	hedges       dragonflypool.Pool                 // second attempts in progress
	memory       dragonflyreservations.Reservations // of bodies and buffered responses
	conns        dragonflyupstreampool.Pool
	streams      dragonflystreamwatch.Watch[*exchange]
	view         dragonflylatest.Latest[view]
	tableChanged dragonflybroadcast.Broadcast // fires when the routing table changes
	balance      *balanceDuty
	parts        *partsDuty
	waiting      *waitingDuty
	demand       *demandDuty
	shutdown     dragonflylatest.Latest[shutdown]
	requests     context.Context // ends when the requests in progress must end
}

// Run serves until ctx ends, and then shuts down: the entry stops being ready, accepts
// connections for as long as the load balancer may open some, and finishes the requests
// in progress within the grace period.
func (s *Server) Run(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessagef(err, "entry %s", s.Settings.Name) }()
	if s.Settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(s.Settings.MemoryLimit / 2)
	}
	callers, err := net.Listen("tcp", s.Settings.Listen)
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp", s.Settings.ReadyListen)
	if err != nil {
		_ = callers.Close()
		return err
	}
	inner, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	var endRequests context.CancelFunc
	s.requests, endRequests = context.WithCancel(inner)
	defer endRequests()
	s.duties.Name, s.bodies.Name, s.bodies.Size = "forwarder-duties", "forwarder-bodies", bodyPoolSize
	s.hedges.Name, s.hedges.Size = "forwarder-hedges", hedgePoolSize
	s.balance, s.parts, s.waiting, s.demand = newBalanceDuty(s), newPartsDuty(s), newWaitingDuty(s), newDemandDuty(s)
	s.memory.Name, s.memory.Limit, s.memory.Clock = "bodies", s.Settings.BodyBudget(), s.Clock
	server := s.httpServer()
	bounded := &dragonflyboundedlistener.Listener{Listener: callers, Name: "callers", MaxConnections: s.Settings.MaxConnections(dragonflydescriptorlimit.Get()), Clock: s.Clock}
	if err := s.start(inner, cancel, server, bounded, ready); err != nil {
		return err
	}
	if s.Listening != nil {
		s.Listening(callers.Addr(), ready.Addr())
	}
	slog.Info("entry started", "entry", s.Settings.Name, "zone", s.Settings.Zone, "callers", callers.Addr().String(),
		"body-bytes", s.memory.Limit, "connections", bounded.MaxConnections)
	select {
	case <-ctx.Done():
		s.drain(server, endRequests)
	case <-inner.Done():
		err = context.Cause(inner)
	}
	s.conns.Close()
	slog.Info("entry stopped", "entry", s.Settings.Name)
	return err
}

// httpServer returns the server for callers.
func (s *Server) httpServer() *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		WriteTimeout: writeTimeout, ConnContext: dragonflyboundedlistener.WithConn,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: log.New(discard{}, "", 0),
	}
}

// discard drops the log lines of net/http. Their details of single callers are in the
// log line of each request.
type discard struct{}

// Write implements io.Writer.
func (discard) Write(p []byte) (n int, err error) { return len(p), nil }

func (s *Server) start(ctx context.Context, cancel context.CancelCauseFunc, server *http.Server, callers, ready net.Listener) (err error) {
	pages := &dragonflydebugserver.Server{Ready: s.ready}
	duties := map[string]func(ctx context.Context) error{
		"balance": s.balance.Run,
		"parts":   s.parts.Run,
		"waiting": s.waiting.Run,
		"demand":  s.demand.Run,
		"watch":   s.followControl,
		"losses":  s.reportLosses,
		"moves":   newMovesDuty(s).Run,
		"ready":   func(ctx context.Context) error { return pages.Serve(ctx, ready) },
		"callers": func(context.Context) error {
			err := server.Serve(callers)
			if errors.Is(err, http.ErrServerClosed) {
				return nil
			}
			cancel(err)
			return err
		},
	}
	if s.Settings.MetricsListen != "" {
		metrics, err := net.Listen("tcp", s.Settings.MetricsListen)
		if err != nil {
			return err
		}
		counters := &dragonflydebugserver.Server{Ready: s.ready}
		duties["metrics"] = func(ctx context.Context) error { return counters.Serve(ctx, metrics) }
	}
	for name, duty := range duties {
		if err := s.duties.Start(ctx, name, duty); err != nil {
			return err
		}
	}
	return nil
}

// ready reports whether the entry can serve callers.
func (s *Server) ready() bool {
	v := s.view.Load()
	return !s.shutdown.Load().isDraining() && v.document.Version() > 0 && v.hasTable && !s.keyLeaseExpired(v)
}
