// Package dragonflyagentserver runs one agent: the process next to one upstream
// that admits the upstream's work and takes part in the upstream's group.
package dragonflyagentserver

import (
	"context"
	"expvar"
	"log/slog"
	"net"
	"sync"
	"time"

	"dragonflyrelay.example/dragonflyagent/commands/dragonflyupstream"
	"dragonflyrelay.example/dragonflyagent/values/dragonflyagentsettings"
	"dragonflyrelay.example/library/commands/dragonflygroupcore"
	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflydebugserver"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflykeyfile"
	"dragonflyrelay.example/library/common/dragonflylatest"
	"dragonflyrelay.example/library/common/dragonflypool"
	"dragonflyrelay.example/library/common/dragonflyring"
	"dragonflyrelay.example/library/common/dragonflyrpcserver"
	"dragonflyrelay.example/library/common/dragonflyrpcstream"
	"dragonflyrelay.example/library/common/dragonflytimeline"
	"dragonflyrelay.example/library/common/dragonflytimelinefile"
	"dragonflyrelay.example/library/values/dragonflyconfirmedconfig"
	"dragonflyrelay.example/library/values/dragonflygate"
	"dragonflyrelay.example/library/values/dragonflygroupevent"
	"dragonflyrelay.example/library/values/dragonflyload"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
	"github.com/pkg/errors"
)

// DefaultDrainTimeout bounds a graceful shutdown if the settings do not.
const DefaultDrainTimeout = 2 * dragonflyduration.Minute

// releaseTimeout bounds how long a shutdown waits until the head's release has
// reached the members. Members that it does not reach become free one lease later.
const releaseTimeout = time.Second

// stopTimeout bounds how long Run waits for its duties after their context is
// cancelled.
const stopTimeout = 5 * time.Second

var counters = expvar.NewMap("dragonfly-agent")

// Server is one agent. The fields are set before Run and not changed afterwards.
// Several servers may run in one process.
type Server struct {
	// Settings are the agent's settings.
	Settings dragonflyagentsettings.Settings
	// Clock is the source of time; the zero Clock is that of the process.
	Clock dragonflyclock.Clock
	// Incarnation increases with every start of the agent; 0 means the wall-clock
	// time of the start in nanoseconds.
	Incarnation uint64
	// Adopted, if not nil, is called with each configuration version once
	// admission uses it. The admission duty calls it, so it must not block.
	Adopted func(version uint64)
	// Crash, if not nil, ends Run when it is closed, as a crash of the process
	// would: requests are not drained, and neither control nor members are notified.
	Crash <-chan struct{}

	once          sync.Once
	bound         chan struct{}
	boundSettings dragonflyagentsettings.Settings

	key           func() string
	runContext    context.Context
	pool          *dragonflypool.Pool
	heartbeatPool *dragonflypool.Pool
	upstream      *dragonflyupstream.Client
	timeline      *dragonflytimeline.Timeline
	groupRing     *dragonflyring.Ring[groupInput]
	admitRing     *dragonflyring.Ring[admitInput]
	orderRing     *dragonflyring.Ring[engineOrder]
	reportRing    *dragonflyring.Ring[struct{}]
	// lastReportRing passes the channel that is closed once the last report was sent.
	lastReportRing *dragonflyring.Ring[chan struct{}]

	group   dragonflylatest.Latest[dragonflygroupcore.Core]
	gate    dragonflylatest.Latest[dragonflygate.Gate]
	load    dragonflylatest.Latest[dragonflyload.Load]
	control dragonflylatest.Latest[dragonflyconfirmedconfig.ConfirmedConfig]
}

func (s *Server) initialize() {
	s.bound = make(chan struct{})
	s.key = dragonflykeyfile.Source(s.Settings.Key, s.Settings.KeyFile)
	s.pool = &dragonflypool.Pool{Name: "agent"}
	s.heartbeatPool = &dragonflypool.Pool{Name: "agent-heartbeats"}
	s.upstream = &dragonflyupstream.Client{OrderTimeout: s.Settings.OrderTimeout}
	s.groupRing = dragonflyring.New[groupInput]("agent-group", 1024)
	s.admitRing = dragonflyring.New[admitInput]("agent-admit", 4096)
	s.orderRing = dragonflyring.New[engineOrder]("agent-orders", 4)
	s.reportRing = dragonflyring.New[struct{}]("agent-report", 1)
	s.lastReportRing = dragonflyring.New[chan struct{}]("agent-last-report", 1)
	if s.Incarnation == 0 {
		s.Incarnation = uint64(time.Now().UnixNano())
	}
}

// Bound waits until Run listens and returns the settings, in which Listen,
// Advertise, UpstreamListen and DebugListen are the addresses that were bound.
func (s *Server) Bound(ctx context.Context) (b dragonflyagentsettings.Settings, err error) {
	s.once.Do(s.initialize)
	select {
	case <-s.bound:
		return s.boundSettings, nil
	case <-ctx.Done():
		return b, errors.WithMessage(ctx.Err(), "wait for the agent to listen")
	}
}

// Run serves until ctx is cancelled. It then refuses new work, waits for requests
// in progress, leaves the group and returns nil. It returns an error if it cannot
// start, for example when another agent listens on the same address.
func (s *Server) Run(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessagef(err, "agent of %s", s.Settings.Instance) }()
	if err := s.Settings.Check(); err != nil {
		return err
	}
	s.once.Do(s.initialize)
	listeners, err := s.listen()
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.runContext = runCtx
	timelineDone, err := s.openTimeline(runCtx)
	if err != nil {
		return err
	}
	if err := s.startDuties(runCtx, listeners); err != nil {
		return err
	}
	close(s.bound)
	slog.Info("agent is listening", "instance", s.Settings.Instance, "address", s.boundSettings.Listen)
	s.addOccurrence(dragonflyoccurrence.Occurrence{Event: "agent-started"})
	select {
	case <-ctx.Done():
		s.drain()
	case <-s.Crash:
	}
	cancel()
	stop, done := context.WithTimeout(context.Background(), stopTimeout)
	defer done()
	err = s.pool.Wait(stop)
	timelineDone()
	return errors.WithMessage(err, "stop duties")
}

// listeners are the sockets of one agent; debug may be nil.
type listeners struct{ rpc, upstream, debug net.Listener }

func (s *Server) listen() (ls listeners, err error) {
	defer func() {
		if err != nil {
			ls.close()
		}
	}()
	if ls.rpc, err = net.Listen("tcp", s.Settings.Listen); err != nil {
		return ls, errors.WithMessage(err, "another agent may be using the address")
	}
	if ls.upstream, err = net.Listen("tcp", s.Settings.UpstreamListen); err != nil {
		return ls, err
	}
	s.boundSettings = s.Settings
	s.boundSettings.Listen = ls.rpc.Addr().String()
	s.boundSettings.UpstreamListen = ls.upstream.Addr().String()
	if s.boundSettings.Advertise == "" {
		s.boundSettings.Advertise = s.boundSettings.Listen
	}
	if s.Settings.DebugListen == "" {
		return ls, nil
	}
	if ls.debug, err = net.Listen("tcp", s.Settings.DebugListen); err != nil {
		return ls, err
	}
	s.boundSettings.DebugListen = ls.debug.Addr().String()
	return ls, nil
}

func (ls listeners) close() {
	for _, l := range []net.Listener{ls.rpc, ls.upstream, ls.debug} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// openTimeline starts the duty that writes events to the timeline file. The
// returned function closes the file and is called after the duty has ended.
func (s *Server) openTimeline(runCtx context.Context) (done func(), err error) {
	if s.Settings.Timeline == "" {
		return func() {}, nil
	}
	f := &dragonflytimelinefile.File{Path: s.Settings.Timeline, Mode: 0o644}
	if err := f.Open(); err != nil {
		return nil, err
	}
	s.timeline = dragonflytimeline.New("agent-" + s.Settings.Instance)
	err = s.pool.Start(runCtx, "timeline", func(ctx context.Context) error { return s.timeline.Run(ctx, f) })
	return func() { _ = f.Close() }, err
}

// startDuties starts all duties of the agent.
func (s *Server) startDuties(runCtx context.Context, ls listeners) (err error) {
	connections := &dragonflypool.Pool{Name: "agent-connections", Size: s.Settings.MaxConnections}
	rpc := &dragonflyrpcserver.Server{
		Pool:    connections,
		Key:     s.key,
		Streams: map[string]func(*dragonflyrpcstream.Stream) error{"/dragonfly.agent/Serve": s.serve, heartbeatCall: s.handleHeartbeats},
	}
	duties := map[string]func(context.Context) error{
		"group":    s.groupDuty().Run,
		"admit":    s.admitDuty().Run,
		"orders":   s.runOrders,
		"report":   s.runReports,
		"probe":    s.runProbes,
		"rpc":      func(ctx context.Context) error { return rpc.Serve(ctx, listener{ls.rpc}) },
		"announce": func(ctx context.Context) error { return s.announceServer().Serve(ctx, ls.upstream) },
	}
	if ls.debug != nil {
		duties["debug"] = func(ctx context.Context) error {
			return (&dragonflydebugserver.Server{Ready: s.ready}).Serve(ctx, ls.debug)
		}
	}
	for name, duty := range duties {
		if err := s.pool.Start(runCtx, name, duty); err != nil {
			return err
		}
	}
	return nil
}

// drain shuts down gracefully: the group core refuses new work at once, and the
// agent has left when no request is running and no head depends on it.
func (s *Server) drain() {
	s.addOccurrence(dragonflyoccurrence.Occurrence{Event: "agent-leaving"})
	slog.Info("agent is shutting down", "instance", s.Settings.Instance)
	timeout := s.Settings.DrainTimeout
	if timeout <= 0 {
		timeout = DefaultDrainTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(timeout))
	defer cancel()
	shutdownDone := make(chan struct{}, 1)
	_ = s.groupRing.Put(ctx, groupInput{ev: dragonflygroupevent.Event{Kind: dragonflygroupevent.Leave}, shutdownDone: shutdownDone})
	_ = s.reportRing.TryPut(struct{}{})
	select {
	case <-shutdownDone:
		s.addOccurrence(dragonflyoccurrence.Occurrence{Event: "agent-left"})
	case <-ctx.Done():
		s.addOccurrence(dragonflyoccurrence.Occurrence{Event: "agent-drain-timeout"})
	}
	s.reportLast(ctx)
	// Wait until the release has been sent to the members of the group.
	releaseCtx, done := context.WithTimeout(ctx, releaseTimeout)
	defer done()
	_ = s.heartbeatPool.Wait(releaseCtx)
}

// ready reports whether the agent can accept work: its upstream is alive, it is
// not shutting down, and control has confirmed its configuration if it must.
func (s *Server) ready() bool {
	g := s.group.Load()
	k := s.control.Load()
	return g.Membership().Alive() && !g.Leaving() &&
		(s.Settings.ServeWithoutControl || k.ConfirmedAt() != 0)
}

// addOccurrence adds an event of this agent to the timeline.
func (s *Server) addOccurrence(o dragonflyoccurrence.Occurrence) {
	o.Instance = s.Settings.Instance
	if o.Zone == "" {
		o.Zone = s.Settings.Zone
	}
	s.timeline.Add(o)
}
