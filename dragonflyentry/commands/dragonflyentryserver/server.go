// Package dragonflyentryserver runs an entry: it accepts HTTP requests from
// callers, routes them to agents and returns each caller its complete answer.
package dragonflyentryserver

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"dragonflyrelay.example/dragonflyentry/queries/dragonflyentrysettings"
	"dragonflyrelay.example/library/commands/dragonflyentrycore"
	"dragonflyrelay.example/library/commands/dragonflyrouting"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyduty"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflykeyfile"
	"dragonflyrelay.example/library/common/dragonflylatest"
	"dragonflyrelay.example/library/common/dragonflypool"
	"dragonflyrelay.example/library/common/dragonflyring"
	"dragonflyrelay.example/library/common/dragonflytimeline"
	"dragonflyrelay.example/library/common/dragonflytimelinefile"
	"dragonflyrelay.example/library/queries/dragonflyranking"
	"dragonflyrelay.example/library/values/dragonflyentryaction"
	"dragonflyrelay.example/library/values/dragonflyentryevent"
	"github.com/pkg/errors"
)

const (
	// routeRingCapacity is the number of events that may wait for the route duty:
	// the frames of one second at the target of 690,000 tokens/s over 380 entries.
	routeRingCapacity = 2048
	// acceptRingCapacity is the number of requests that may wait for the route duty.
	// They have their own ring, so that a burst of frames does not make the entry
	// refuse new requests.
	acceptRingCapacity = 256
	// tickPeriod is the resolution of the core's waits and timeouts.
	tickPeriod = 50 * dragonflyduration.Millisecond
	// stopTimeout bounds the shutdown of the duties after the last request.
	stopTimeout = 2 * time.Second
)

// Server is one entry. Settings is required, the other fields are optional. Run
// must be called only once.
type Server struct {
	// Settings are the entry's settings.
	Settings dragonflyentrysettings.Settings
	// Listening, if not nil, is called with the bound address before the first
	// request is accepted. With port 0 the address has the port that was assigned.
	Listening func(addr string)
	// Timeline, if not nil, receives the events instead of the file named in the
	// settings. The caller runs it.
	Timeline *dragonflytimeline.Timeline
	// Adopted, if not nil, is called with each configuration version when requests
	// start to be routed by it. The route duty calls it, so it must not block.
	Adopted func(version uint64)
}

// input is an event for the route duty. box is set only for Begin.
type input struct {
	ev  dragonflyentryevent.Event
	box *mailbox
}

// entry is the state that the duties of a running server share: rings, published
// snapshots and counters.
type entry struct {
	settings dragonflyentrysettings.Settings
	timeline *dragonflytimeline.Timeline
	arrivals *dragonflyring.Ring[input]
	events   *dragonflyring.Ring[input]
	routing  dragonflylatest.Latest[dragonflyrouting.Routing]
	duties   *dragonflypool.Pool
	workers  *dragonflypool.Pool
	clients  *clients
	tracker  *tracker
	adopted  func(version uint64)
	callers  atomic.Int64
	// base ends when the duties end; a request that is still in progress is then
	// answered with an error.
	base context.Context
	stop context.CancelFunc // ends base
	// lastControl is the index of the control instance that answered last.
	lastControl atomic.Int64
}

// Run serves until ctx ends and then shuts down gracefully: it reports not ready,
// refuses new requests as not run, and returns when the requests in progress have
// ended. It returns an error if the server cannot start or serve, or if requests
// outlast the drain timeout.
func (s *Server) Run(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "run entry") }()
	if err := s.Settings.Check(); err != nil {
		return err
	}
	e := newEntry(s.Settings.WithDefaults(), s.Timeline)
	e.adopted = s.Adopted
	l, err := net.Listen("tcp", e.settings.Listen)
	if err != nil {
		return err
	}
	defer func() { _ = l.Close() }()
	base, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	e.base, e.stop = base, stop
	finish, err := e.startTimeline(s.Timeline)
	if err != nil {
		return err
	}
	defer finish()
	if err := e.startDuties(base); err != nil {
		return err
	}
	if s.Listening != nil {
		s.Listening(l.Addr().String())
	}
	err = e.serveCallers(ctx, l)
	stop()
	e.clients.close()
	e.wait()
	return err
}

func newEntry(s dragonflyentrysettings.Settings, t *dragonflytimeline.Timeline) *entry {
	e := &entry{
		settings: s, timeline: t,
		arrivals: dragonflyring.New[input]("accept", acceptRingCapacity),
		events:   dragonflyring.New[input]("route", routeRingCapacity),
		duties:   &dragonflypool.Pool{Name: "entry-duties", Size: 16},
		// A cancelled attempt may still hold its worker when the next one starts.
		workers: &dragonflypool.Pool{Name: "entry-dispatch", Size: 2*s.StreamCap + 16},
		tracker: newTracker(),
	}
	key := dragonflykeyfile.Source(s.Key, s.KeyFile)
	e.clients = newClients(key, s.StreamCap)
	return e
}

// wait waits for the duties and workers to end, up to stopTimeout.
func (e *entry) wait() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = e.duties.Wait(ctx)
	_ = e.workers.Wait(ctx)
}

// startTimeline starts the timeline named in the settings, unless the caller has
// passed one. finish flushes and closes it.
func (e *entry) startTimeline(given *dragonflytimeline.Timeline) (finish func(), err error) {
	defer func() { err = errors.WithMessage(err, "start timeline") }()
	if given != nil || e.settings.Timeline == "" {
		return func() {}, nil
	}
	f := &dragonflytimelinefile.File{Path: e.settings.Timeline, Mode: 0o644}
	if err := f.Open(); err != nil {
		return nil, err
	}
	e.timeline = dragonflytimeline.New(e.settings.Name)
	pool := &dragonflypool.Pool{Name: "entry-timeline", Size: 1}
	err = pool.Start(context.Background(), "timeline", func(ctx context.Context) error {
		return e.timeline.Run(ctx, f)
	})
	return func() {
		e.timeline.Close()
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_ = pool.Wait(ctx)
		_ = f.Close()
	}, err
}

func (e *entry) startDuties(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "start duties") }()
	d := newDispatcher(ctx, e)
	routing := dragonflyrouting.Routing{}.WithRanking(dragonflyranking.Ranking{Region: e.settings.Region, Zone: e.settings.Zone})
	duty := &dragonflyduty.Duty[dragonflyentrycore.Core, input, dragonflyentryaction.Action]{
		In:    e.events,
		State: dragonflyentrycore.Core{}.WithRouting(routing).WithRouteWait(e.settings.RouteWait),
		Step: func(c dragonflyentrycore.Core, now dragonflyinstant.Instant, in input) (dragonflyentrycore.Core, []dragonflyentryaction.Action) {
			d.register(in)
			return c.Step(now, in.ev)
		},
		Act:     d.act,
		Publish: e.publish,
		Tick:    func() input { return input{ev: dragonflyentryevent.Event{Kind: dragonflyentryevent.Tick}} },
		Period:  tickPeriod,
	}
	d.handle = duty.Handle
	if err := e.duties.Start(ctx, "route", duty.Run); err != nil {
		return err
	}
	if err := e.duties.Start(ctx, "admit", e.forwardArrivals); err != nil {
		return err
	}
	w := &watcher{entry: e, current: initialControl(e.settings.Name, len(e.settings.Control))}
	return e.duties.Start(ctx, "watch", w.run)
}

// publish makes the routing of c visible to the other duties and calls the adopted
// function if the configuration version has changed.
func (e *entry) publish(c dragonflyentrycore.Core) {
	before, now := e.routing.Load().Config().Version(), c.Routing().Config().Version()
	e.routing.Store(c.Routing())
	if now != before && e.adopted != nil {
		e.adopted(now)
	}
}

// forwardArrivals passes the requests and disconnections of callers to the route
// duty, in order.
func (e *entry) forwardArrivals(ctx context.Context) error {
	for {
		in, err := e.arrivals.Take(ctx)
		if err != nil {
			return err
		}
		if err := e.events.Put(ctx, in); err != nil {
			return err
		}
	}
}
