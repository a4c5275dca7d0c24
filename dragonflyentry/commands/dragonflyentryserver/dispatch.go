package dragonflyentryserver

import (
	"context"
	"expvar"
	"sync"
	"time"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflycountermap"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	"dragonflyrelay.example/library/values/dragonflyentryaction"
	"dragonflyrelay.example/library/values/dragonflyentryevent"
	"dragonflyrelay.example/library/values/dragonflyframe"
	"dragonflyrelay.example/library/values/dragonflywork"
	"dragonflyrelay.example/platform/dragonflycallhttp"
	"github.com/pkg/errors"
)

// serveCall is the remote call that sends work to an agent.
const serveCall = "/dragonfly.agent/Serve"

// reasonConnectionLost is the reason of an attempt whose connection fails after the
// work may have been sent.
const reasonConnectionLost = "connection-lost"

var (
	attempts  = expvar.NewInt("dragonfly-entry-attempts")
	notSent   = expvar.NewInt("dragonfly-entry-attempts-not-sent")
	broken    = expvar.NewInt("dragonfly-entry-attempts-broken")
	outcomes  = expvar.NewMap("dragonfly-entry-outcomes")
	reasons   = dragonflycountermap.New("dragonfly-entry-reasons")
	tokensOut = expvar.NewInt("dragonfly-entry-tokens")
)

// session is the state of one request that the route duty keeps outside of the
// core.
type session struct {
	box *mailbox
	// cancel ends the current attempt; nil if there is none.
	cancel  context.CancelFunc
	attempt int
}

// dispatcher executes the actions of the core. It is used only by the route duty.
type dispatcher struct {
	entry    *entry
	base     context.Context
	sessions map[string]*session
	handle   func(ctx context.Context, in input)
}

func newDispatcher(base context.Context, e *entry) *dispatcher {
	return &dispatcher{entry: e, base: base, sessions: map[string]*session{}}
}

// register opens the session of a new request.
func (d *dispatcher) register(in input) {
	if in.ev.Kind == dragonflyentryevent.Begin {
		d.sessions[in.ev.Request] = &session{box: in.box}
	}
}

// act executes one action of the core.
func (d *dispatcher) act(ctx context.Context, a dragonflyentryaction.Action) {
	if a.Kind == dragonflyentryaction.LogOccurrence {
		a.Occurrence.Zone = d.entry.settings.Zone
		d.entry.timeline.Add(a.Occurrence)
		return
	}
	s, ok := d.sessions[a.Request]
	if !ok {
		return
	}
	switch a.Kind {
	case dragonflyentryaction.Send:
		d.send(ctx, s, a)
	case dragonflyentryaction.Cancel:
		s.cancelAttempt(a.Attempt)
	case dragonflyentryaction.Progress:
		tokensOut.Add(1)
		s.box.put(update{tokens: a.Tokens})
	case dragonflyentryaction.End:
		outcomes.Add(outcomeName(a), 1)
		if a.Reason != "" {
			reasons.Add(a.Reason, 1)
		}
		s.box.put(update{tokens: a.Tokens, end: &a})
	case dragonflyentryaction.Propose:
		d.propose(ctx, a)
	case dragonflyentryaction.Forget:
		s.cancelAttempt(s.attempt)
		delete(d.sessions, a.Request)
		d.entry.tracker.done()
	}
}

func (s *session) cancelAttempt(attempt int) {
	if s.cancel != nil && s.attempt == attempt {
		s.cancel()
		s.cancel = nil
	}
}

// send starts a worker for the attempt. If none is free, it passes a refusal to the
// core directly: only this duty takes from the ring, so waiting for room in it
// could deadlock.
func (d *dispatcher) send(ctx context.Context, s *session, a dragonflyentryaction.Action) {
	attempts.Add(1)
	s.cancelAttempt(s.attempt)
	attemptCtx, cancel := context.WithCancel(d.base)
	s.cancel, s.attempt = cancel, a.Attempt
	e := d.entry
	err := e.workers.Go(func() { e.runAttempt(attemptCtx, a) })
	if err != nil {
		notSent.Add(1)
		d.handle(ctx, frameInput(a.Request, dragonflyframe.Frame{
			Kind: dragonflyframe.Refused, Attempt: a.Attempt, Reason: dragonflyentryaction.ReasonEntryBusy,
		}))
	}
}

func frameInput(request string, f dragonflyframe.Frame) input {
	return input{ev: dragonflyentryevent.Event{Kind: dragonflyentryevent.Frame, Request: request, Frame: f}}
}

// runAttempt sends the work of a to an agent and passes its frames to the route
// duty. After a cancellation it drops the last frame.
func (e *entry) runAttempt(ctx context.Context, a dragonflyentryaction.Action) {
	put := func(f dragonflyframe.Frame) {
		_ = e.events.Put(ctx, frameInput(a.Request, f))
	}
	last := e.streamFrames(ctx, a, put)
	if ctx.Err() == nil {
		put(last)
	}
}

// streamFrames passes all frames of the attempt but the last one to put and returns
// the last. If the connection fails, it returns a frame in place of the last one: a
// refusal only if the work cannot have reached the agent.
func (e *entry) streamFrames(ctx context.Context, a dragonflyentryaction.Action, put func(dragonflyframe.Frame)) (last dragonflyframe.Frame) {
	refused := dragonflyframe.Frame{Kind: dragonflyframe.Refused, Attempt: a.Attempt, Reason: dragonflyentryaction.ReasonNoConnection}
	lost := dragonflyframe.Frame{Kind: dragonflyframe.Failed, Attempt: a.Attempt, Reason: reasonConnectionLost, MayHaveRun: true}
	raw, err := dragonflycodec.MarshalWork(a.Work)
	if err != nil {
		notSent.Add(1)
		return refused
	}
	s, err := e.clients.get(a.Address).Open(ctx, serveCall)
	if err != nil {
		notSent.Add(1)
		if errors.Is(err, dragonflyrpcclient.ErrBusy) {
			refused.Reason = dragonflyentryaction.ReasonEntryBusy
		}
		return refused
	}
	defer func() { _ = s.Close() }()
	if err := s.Send(raw); err != nil {
		broken.Add(1)
		return lost
	}
	for {
		raw, err := s.Receive()
		if err != nil {
			broken.Add(1)
			return lost
		}
		f, err := dragonflycodec.UnmarshalFrame(raw)
		if err != nil {
			broken.Add(1)
			return lost
		}
		last := isLast(f, a.Work)
		if last && f.Kind == dragonflyframe.Response && !dragonflycallhttp.IsResponse(f.Status) {
			broken.Add(1)
			return lost
		}
		if last {
			return f
		}
		put(f)
	}
}

// isLast reports whether f ends the attempt of w. A frame of an earlier attempt is
// late and ends nothing.
func isLast(f dragonflyframe.Frame, w dragonflywork.Work) bool {
	if f.Attempt != w.Attempt {
		return false
	}
	switch f.Kind {
	case dragonflyframe.Refused, dragonflyframe.Done, dragonflyframe.Failed, dragonflyframe.Response:
		return true
	}
	return false
}

// clientIdleTimeout is how long the connections to an unused address are kept.
const clientIdleTimeout = time.Minute

// clients caches the clients of agents and control instances by address.
type clients struct {
	key   func() string
	limit int

	mu      sync.Mutex
	byAddr  map[string]*cachedClient
	sweptAt time.Time
}

type cachedClient struct {
	client *dragonflyrpcclient.Client
	usedAt time.Time
}

func newClients(key func() string, limit int) *clients {
	return &clients{key: key, limit: limit, byAddr: map[string]*cachedClient{}}
}

// get returns the client of addr. It also closes the clients that have been unused
// for clientIdleTimeout, since 1,500 instances a day restart with a new address.
func (c *clients) get(addr string) *dragonflyrpcclient.Client {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	cc, ok := c.byAddr[addr]
	if !ok {
		cc = &cachedClient{client: &dragonflyrpcclient.Client{Addr: addr, Key: c.key, Connections: c.limit}}
		c.byAddr[addr] = cc
	}
	cc.usedAt = now
	if now.Sub(c.sweptAt) > clientIdleTimeout {
		c.sweptAt = now
		c.sweep(now)
	}
	return cc.client
}

func (c *clients) sweep(now time.Time) {
	for addr, cc := range c.byAddr {
		if now.Sub(cc.usedAt) > clientIdleTimeout {
			cc.client.Close()
			delete(c.byAddr, addr)
		}
	}
}

func (c *clients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cc := range c.byAddr {
		cc.client.Close()
	}
}
