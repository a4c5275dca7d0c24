package dragonflycontrolserver

import (
	"context"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"time"

	"dragonflyrelay.example/dragonflycontrol/queries/dragonflycontrolsettings"
	"dragonflyrelay.example/library/commands/dragonflyconsensus"
	"dragonflyrelay.example/library/common/dragonflypool"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
)

// peers holds the clients and senders for the other control instances. Instances
// can join at run time, so clients and senders are created on first use.
type peers struct {
	settings dragonflycontrolsettings.Settings
	key      func() string
	// pool runs the senders. It is their own, so that their number takes no place of the
	// duties of the instance.
	pool dragonflypool.Pool
	idle time.Duration // of the senders

	mu      sync.Mutex
	ctx     context.Context // of the senders' duties; nil before the start
	cancel  context.CancelCauseFunc
	clients map[string]*dragonflyrpcclient.Client
	senders map[string]*sender
	// refusedAt is when a sender that could not be started was logged last.
	refusedAt time.Time
}

// Limits of the clients and senders of an instance. A deployment has a few control instances,
// but others come at new addresses in their place, and under new names.
const (
	maxSenders = 64
	maxClients = 64
	// refusalLogInterval bounds the log lines of senders that cannot be started: there may be
	// one for each message.
	refusalLogInterval = time.Second
)

// address returns the address of the instance name, "" if it is not known.
func (p *peers) address(name string) string {
	if addr, ok := p.settings.Members[name]; ok {
		return addr
	}
	if name == "" || p.settings.PeerPort == 0 {
		return ""
	}
	return net.JoinHostPort(dragonflyconsensus.Host(name), strconv.Itoa(p.settings.PeerPort))
}

// client returns a client for calls to the instance name, nil if its address is
// not known.
func (p *peers) client(name string) *dragonflyrpcclient.Client {
	addr := p.address(name)
	if addr == "" {
		return nil
	}
	return p.clientAt(addr)
}

// clientAt returns a client for calls to the instance at addr.
func (p *peers) clientAt(addr string) *dragonflyrpcclient.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[addr]
	if !ok {
		if len(p.clients) >= maxClients {
			p.dropClients()
		}
		c = &dragonflyrpcclient.Client{Addr: addr, Key: p.key}
		p.clients[addr] = c
	}
	return c
}

// dropClients closes all clients. Those that are still needed are created again. The caller
// holds the mutex.
func (p *peers) dropClients() {
	for _, c := range p.clients {
		c.Close()
	}
	clear(p.clients)
}

// sender returns the sender of consensus messages to the instance name, nil if
// its address is not known or it cannot be started now.
func (p *peers) sender(name string) *sender {
	addr := p.address(name)
	if addr == "" {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.senders[name]
	if ok {
		return s
	}
	s = newSender(name, &dragonflyrpcclient.Client{Addr: addr, Key: p.key, Connections: 1}, p.idle)
	if p.ctx != nil && !p.run(s) {
		s.in.Close()
		return nil
	}
	p.senders[name] = s
	return s
}

// start runs the senders until ctx ends. If one of them fails before, cancel is called with
// the error.
func (p *peers) start(ctx context.Context, cancel context.CancelCauseFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ctx, p.cancel = ctx, cancel
	for name, s := range p.senders {
		if !p.run(s) {
			s.in.Close()
			delete(p.senders, name)
		}
	}
}

// run starts the duty of s and reports whether it has. Another message tries again if not. The
// caller holds the mutex.
func (p *peers) run(s *sender) bool {
	name := "sender-" + s.name
	duty := essential(p.cancel, name, func(ctx context.Context) error {
		defer p.remove(s)
		return s.Run(ctx)
	})
	err := p.pool.Start(p.ctx, name, duty)
	if now := time.Now(); err != nil && now.Sub(p.refusedAt) >= refusalLogInterval {
		p.refusedAt = now
		slog.Error("cannot start the sender of consensus messages", "to", s.name, "error", err)
	}
	return err == nil
}

// remove forgets s, which has ended. Messages that are queued meanwhile are lost.
func (p *peers) remove(s *sender) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.in.Close()
	if p.senders[s.name] == s {
		delete(p.senders, s.name)
	}
}
