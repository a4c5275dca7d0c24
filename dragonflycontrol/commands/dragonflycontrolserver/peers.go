package dragonflycontrolserver

import (
	"context"
	"log/slog"
	"net"
	"strconv"
	"sync"

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
	pool     *dragonflypool.Pool

	mu      sync.Mutex
	ctx     context.Context // of the senders' duties; nil before the start
	cancel  context.CancelCauseFunc
	clients map[string]*dragonflyrpcclient.Client
	senders map[string]*sender
}

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
		c = &dragonflyrpcclient.Client{Addr: addr, Key: p.key}
		p.clients[addr] = c
	}
	return c
}

// sender returns the sender of consensus messages to the instance name, nil if
// its address is not known.
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
	s = newSender(name, &dragonflyrpcclient.Client{Addr: addr, Key: p.key, Connections: 1})
	p.senders[name] = s
	if p.ctx != nil {
		p.run(s)
	}
	return s
}

// start runs the senders until ctx ends. If one of them fails before, cancel is called with
// the error.
func (p *peers) start(ctx context.Context, cancel context.CancelCauseFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ctx, p.cancel = ctx, cancel
	for _, s := range p.senders {
		p.run(s)
	}
}

// run starts the duty of s.
func (p *peers) run(s *sender) {
	name := "sender-" + s.name
	if err := p.pool.Start(p.ctx, name, essential(p.cancel, name, s.Run)); err != nil {
		slog.Error("cannot start the sender of consensus messages", "to", s.name, "error", err)
	}
}
