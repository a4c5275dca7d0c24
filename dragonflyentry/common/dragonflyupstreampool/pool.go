// Package dragonflyupstreampool keeps connections to upstreams open between requests.
package dragonflyupstreampool

import (
	"context"
	"expvar"
	"net"
	"sync"
	"time"

	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflydialer"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyidleconn"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds connecting. A live upstream in another zone accepts within
	// a few milliseconds.
	dialTimeout = 400 * dragonflyduration.Millisecond
	// maxIdleTime bounds how long an idle connection is kept, whether or not its
	// upstream states a keep-alive timeout.
	maxIdleTime = 20 * time.Second
	// idleMargin is subtracted from an upstream's keep-alive timeout, so that the
	// upstream does not close a connection while a request is on its way.
	idleMargin = 700 * time.Millisecond
	// checkedIdleTime is how long a connection is kept that no request was sent on yet. Its
	// upstream may close it at any time.
	checkedIdleTime = time.Second
	// maxIdlePerUpstream bounds the idle connections to one upstream.
	maxIdlePerUpstream = 64
)

var (
	dials  = expvar.NewInt("dragonfly-upstream-dials")
	reuses = expvar.NewInt("dragonfly-upstream-reuses")
	stale  = expvar.NewInt("dragonfly-upstream-stale-connections")
)

// upstreamKey identifies one boot of an upstream, so that a connection is never used for
// another upstream at the same address.
type upstreamKey struct {
	id, address string
	boot        int64
}

// idleConn is an idle connection and the time from which it must not be used any more.
type idleConn struct {
	conn  *net.TCPConn
	until dragonflyinstant.Instant
}

// Pool holds idle connections. The zero Pool is empty. Its methods may be called
// from any goroutine.
type Pool struct {
	// Clock counts the time for which the machine is suspended. Upstreams close idle
	// connections meanwhile, and the signs of that arrive later. It also measures how long
	// a dial takes.
	Clock dragonflyclock.Clock
	// Connect replaces the dialer of the net package if it is not nil. It must return a
	// *net.TCPConn.
	Connect func(ctx context.Context, addr string, timeout dragonflyduration.Duration) (net.Conn, error)

	mu   sync.Mutex
	idle map[upstreamKey][]idleConn
}

func keyOf(e dragonflyendpoint.Endpoint) upstreamKey {
	return upstreamKey{id: e.ID, address: e.Address, boot: e.Boot}
}

// Get returns a connection to e: an idle one if there is one, else a new one. Reused
// reports which.
func (p *Pool) Get(ctx context.Context, e dragonflyendpoint.Endpoint) (conn *net.TCPConn, reused bool, err error) {
	for {
		c, ok := p.take(keyOf(e))
		if !ok {
			break
		}
		if dragonflyidleconn.IsUsable(c) {
			reuses.Add(1)
			return c, true, nil
		}
		stale.Add(1)
		_ = c.Close()
	}
	conn, err = p.Dial(ctx, e)
	return conn, false, err
}

// Dial returns a new connection to e.
func (p *Pool) Dial(ctx context.Context, e dragonflyendpoint.Endpoint) (conn *net.TCPConn, err error) {
	defer func() { err = errors.WithMessage(err, "connect to upstream") }()
	d := dragonflydialer.Dialer{Timeout: dialTimeout, Dial: p.Connect, Clock: p.Clock, Attempts: dials}
	c, err := d.Connect(ctx, e.Address)
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}

// Check makes a new connection to e, and keeps it for a request. It returns the error of
// an upstream that does not accept it.
func (p *Pool) Check(ctx context.Context, e dragonflyendpoint.Endpoint) (err error) {
	conn, err := p.Dial(ctx, e)
	if err == nil {
		p.Put(e, conn, checkedIdleTime+idleMargin)
	}
	return err
}

func (p *Pool) take(key upstreamKey) (c *net.TCPConn, ok bool) {
	now := p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[key]
	for len(conns) > 0 {
		last := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		if now.Before(last.until) {
			p.idle[key] = conns
			return last.conn, true
		}
		_ = last.conn.Close()
	}
	delete(p.idle, key)
	return nil, false
}

// Put keeps conn for another request. KeepAlive is the upstream's keep-alive timeout, 0 if
// it states none.
func (p *Pool) Put(e dragonflyendpoint.Endpoint, conn *net.TCPConn, keepAlive time.Duration) {
	keep := maxIdleTime
	if keepAlive > 0 {
		keep = min(keep, keepAlive-idleMargin)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key := keyOf(e)
	if keep <= 0 || len(p.idle[key]) >= maxIdlePerUpstream {
		_ = conn.Close()
		return
	}
	if p.idle == nil {
		p.idle = map[upstreamKey][]idleConn{}
	}
	p.idle[key] = append(p.idle[key], idleConn{conn: conn, until: p.Clock.Now().Add(dragonflyduration.Duration(keep))})
}

// Sweep closes the idle connections to upstreams that are not among keep, and those that
// have been idle for too long.
func (p *Pool) Sweep(keep []dragonflyendpoint.Endpoint) {
	known := map[upstreamKey]bool{}
	for _, e := range keep {
		known[keyOf(e)] = true
	}
	now := p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, conns := range p.idle {
		var live []idleConn
		for _, c := range conns {
			if known[key] && now.Before(c.until) {
				live = append(live, c)
				continue
			}
			_ = c.conn.Close()
		}
		if len(live) == 0 {
			delete(p.idle, key)
			continue
		}
		p.idle[key] = live
	}
}

// Close closes all idle connections.
func (p *Pool) Close() { p.Sweep(nil) }
