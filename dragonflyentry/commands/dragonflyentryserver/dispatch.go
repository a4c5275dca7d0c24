package dragonflyentryserver

import (
	"context"
	"expvar"
	"sync"
	"time"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	"dragonflyrelay.example/library/values/dragonflyentryaction"
	"dragonflyrelay.example/library/values/dragonflyentryevent"
	"dragonflyrelay.example/library/values/dragonflyframe"
	"dragonflyrelay.example/library/values/dragonflywork"
	"github.com/pkg/errors"
)

// serveCall is the call by which agents take work.
const serveCall = "/dragonfly.agent/Serve"

// reasonConnectionLost is the reason of an attempt whose connection broke.
const reasonConnectionLost = "connection-lost"

var (
	attempts  = expvar.NewInt("dragonfly-entry-attempts")
	notSent   = expvar.NewInt("dragonfly-entry-attempts-not-sent")
	broken    = expvar.NewInt("dragonfly-entry-attempts-broken")
	outcomes  = expvar.NewMap("dragonfly-entry-outcomes")
	reasons   = expvar.NewMap("dragonfly-entry-reasons")
	tokensOut = expvar.NewInt("dragonfly-entry-tokens")
)

// session is what the route duty keeps of one request beside the core.
type session struct {
	box *mailbox
	// cancel ends the current attempt; nil if there is none.
	cancel  context.CancelFunc
	attempt int
}

// dispatcher carries out the actions of the core. Only the route duty uses it.
type dispatcher struct {
	entry    *entry
	base     context.Context
	sessions map[string]*session
	handle   func(ctx context.Context, in input)
}

func newDispatcher(base context.Context, e *entry) *dispatcher {
	return &dispatcher{entry: e, base: base, sessions: map[string]*session{}}
}

// register keeps the mailbox of a new request.
func (d *dispatcher) register(in input) {
	if in.ev.Kind == dragonflyentryevent.Begin {
		d.sessions[in.ev.Request] = &session{box: in.box}
	}
}

// act carries out one action of the core.
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

// send starts a worker for the attempt. If none is free, the core is told at
// once; the ring must not be used for that, since only this duty empties it.
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

func frameInput(request string, p dragonflyframe.Frame) input {
	return input{ev: dragonflyentryevent.Event{Kind: dragonflyentryevent.Frame, Request: request, Frame: p}}
}

// runAttempt sends one work to an agent and passes its pieces to the route duty.
func (e *entry) runAttempt(ctx context.Context, a dragonflyentryaction.Action) {
	put := func(p dragonflyframe.Frame) {
		_ = e.events.Put(ctx, frameInput(a.Request, p))
	}
	last := e.streamFrames(ctx, a, put)
	if ctx.Err() == nil {
		put(last)
	}
}

// streamFrames returns the last piece of the attempt, or what stands for it if the
// connection broke: a refusal only if the work cannot have reached the agent.
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
		p, err := dragonflycodec.UnmarshalFrame(raw)
		if err != nil {
			broken.Add(1)
			return lost
		}
		if isLast(p, a.Work) {
			return p
		}
		put(p)
	}
}

// isLast reports whether p ends its attempt. A piece that names another attempt
// is late and ends nothing.
func isLast(p dragonflyframe.Frame, w dragonflywork.Work) bool {
	if p.Attempt != w.Attempt {
		return false
	}
	switch p.Kind {
	case dragonflyframe.Refused, dragonflyframe.Done, dragonflyframe.Failed, dragonflyframe.Response:
		return true
	}
	return false
}

// clientIdleTimeout is how long the connections to an agent that is not used are kept.
const clientIdleTimeout = time.Minute

// clients holds the connections to agents by address.
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

// get returns the client of addr. It closes those that have not been used for
// clientIdleTimeout, since 1,500 instances a day come back under other addresses.
func (c *clients) get(addr string) *dragonflyrpcclient.Client {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	x, ok := c.byAddr[addr]
	if !ok {
		x = &cachedClient{client: &dragonflyrpcclient.Client{Addr: addr, Key: c.key, Connections: c.limit}}
		c.byAddr[addr] = x
	}
	x.usedAt = now
	if now.Sub(c.sweptAt) > clientIdleTimeout {
		c.sweptAt = now
		c.sweep(now)
	}
	return x.client
}

func (c *clients) sweep(now time.Time) {
	for addr, x := range c.byAddr {
		if now.Sub(x.usedAt) > clientIdleTimeout {
			x.client.Close()
			delete(c.byAddr, addr)
		}
	}
}

func (c *clients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.byAddr {
		x.client.Close()
	}
}
