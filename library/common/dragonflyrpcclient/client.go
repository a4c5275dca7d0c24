// Package dragonflyrpcclient makes remote calls to other processes of the system.
package dragonflyrpcclient

import (
	"context"
	"expvar"
	"net"
	"sync"
	"time"

	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflydialer"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyrpcencoding"
	"dragonflyrelay.example/library/common/dragonflyrpcserver"
	"dragonflyrelay.example/library/common/dragonflyrpcstream"
	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmetadata"
)

// ErrBusy is wrapped by the error of a call if all connections of the bounded pool
// are in use or the client is closed. Nothing has been sent.
var ErrBusy = errors.New("all connections are in use")

// ErrNotSent is wrapped by the error of a call that failed before any byte of the
// request could have reached the peer.
var ErrNotSent = errors.New("request was not sent")

// Defaults of the zero Client.
const (
	DefaultConnections = 64
	DefaultDialTimeout = 500 * dragonflyduration.Millisecond
)

var (
	dials = expvar.NewInt("dragonfly-rpc-dials")
	busy  = expvar.NewInt("dragonfly-rpc-busy")
)

// Client makes calls to one address. It has a bounded pool of connections, because
// drpc carries one call at a time per connection. Only Addr must be set.
type Client struct {
	// Addr is the peer's IP address and port.
	Addr string
	// Key returns the internal key; nil sends none.
	Key func() string
	// Connections is the maximum size of the pool; 0 means DefaultConnections.
	Connections int
	// DialTimeout bounds the setup of a connection; 0 means DefaultDialTimeout.
	DialTimeout dragonflyduration.Duration
	// Dial replaces the dialer of the net package if it is not nil.
	Dial func(ctx context.Context, timeout dragonflyduration.Duration) (net.Conn, error)
	// Clock measures how long a dial takes.
	Clock dragonflyclock.Clock

	mu     sync.Mutex
	idle   []drpc.Conn
	open   int
	closed bool
}

// Call makes a unary call. If the error wraps ErrNotSent or ErrBusy, the peer hasn't
// received the request. If no response came before the deadline of ctx, its connection and
// the idle ones are closed.
func (c *Client) Call(ctx context.Context, rpc string, req []byte) (res []byte, err error) {
	defer func() { err = errors.WithMessagef(err, "call %s at %s", rpc, c.Addr) }()
	conn, err := c.get(ctx)
	if err != nil {
		return nil, err
	}
	defer c.put(conn)
	err = conn.Invoke(c.withKey(ctx), rpc, dragonflyrpcencoding.Encoding{}, &req, &res)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// Connections may be silent for good, and the next calls would use them again.
		_ = conn.Close()
		c.closeIdle(false)
	}
	return res, err
}

// Open starts a streaming call. The connection returns to the pool when the
// stream is closed.
func (c *Client) Open(ctx context.Context, rpc string) (s *dragonflyrpcstream.Stream, err error) {
	defer func() { err = errors.WithMessagef(err, "open %s at %s", rpc, c.Addr) }()
	conn, err := c.get(ctx)
	if err != nil {
		return nil, err
	}
	ds, err := conn.NewStream(c.withKey(ctx), rpc, dragonflyrpcencoding.Encoding{})
	if err != nil {
		c.put(conn)
		return nil, err
	}
	var once sync.Once
	return dragonflyrpcstream.Opened(ctx, ds, func() { once.Do(func() { c.put(conn) }) }), nil
}

// Close closes the idle connections. Calls in progress continue; their connections
// are closed when the calls end.
func (c *Client) Close() { c.closeIdle(true) }

// closeIdle closes the idle connections, and the client if forGood is set.
func (c *Client) closeIdle(forGood bool) {
	c.mu.Lock()
	idle := c.idle
	c.idle, c.closed = nil, c.closed || forGood
	c.open -= len(idle)
	c.mu.Unlock()
	for _, conn := range idle {
		_ = conn.Close()
	}
}

func (c *Client) withKey(ctx context.Context) context.Context {
	if c.Key == nil {
		return ctx
	}
	return drpcmetadata.Add(ctx, dragonflyrpcserver.KeyMetadata, c.Key())
}

func (c *Client) get(ctx context.Context) (conn drpc.Conn, err error) {
	conn, err = c.takeIdle()
	if conn != nil || err != nil {
		return conn, err
	}
	tcp, err := c.dial(ctx)
	if err != nil {
		c.mu.Lock()
		c.open--
		c.mu.Unlock()
		return nil, errors.WithMessage(ErrNotSent, err.Error())
	}
	// Without a soft cancel, every cancelled stream would close its connection.
	opts := drpcconn.Options{Manager: drpcmanager.Options{SoftCancel: true, SoftCancelGrace: 5 * time.Millisecond}}
	return drpcconn.NewWithOptions(tcp, opts), nil
}

// dial sets up a connection.
func (c *Client) dial(ctx context.Context) (conn net.Conn, err error) {
	d := dragonflydialer.Dialer{Timeout: c.DialTimeout, Clock: c.Clock, Attempts: dials}
	if d.Timeout <= 0 {
		d.Timeout = DefaultDialTimeout
	}
	if c.Dial != nil {
		d.Dial = func(ctx context.Context, _ string, timeout dragonflyduration.Duration) (net.Conn, error) {
			return c.Dial(ctx, timeout)
		}
	}
	return d.Connect(ctx, c.Addr)
}

// takeIdle returns an idle connection, or nil after it has reserved a place in the
// pool for a new one, or ErrBusy if the pool is full or closed.
func (c *Client) takeIdle() (conn drpc.Conn, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		conn = c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if !isClosed(conn) {
			return conn, nil
		}
		c.open--
	}
	limit := c.Connections
	if limit <= 0 {
		limit = DefaultConnections
	}
	if c.closed || c.open >= limit {
		busy.Add(1)
		return nil, ErrBusy
	}
	c.open++
	return nil, nil
}

func (c *Client) put(conn drpc.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || isClosed(conn) {
		c.open--
		_ = conn.Close()
		return
	}
	c.idle = append(c.idle, conn)
}

func isClosed(conn drpc.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}
