// Package dragonflyboundedlistener bounds what the connections of a listener hold: their
// number, and the memory of the requests that have arrived on them and are not answered.
package dragonflyboundedlistener

import (
	"expvar"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflyreservations"
	"dragonflyrelay.example/library/queries/dragonflyinactivity"
	"github.com/pkg/errors"
)

// logInterval is the shortest time between two log lines of one listener.
const logInterval = dragonflyduration.Second

// interruptWait bounds how long a new connection waits for the end of the one that is closed
// for it.
const interruptWait = 100 * time.Millisecond

var (
	open     = expvar.NewMap("dragonfly-listener-connections")
	closures = expvar.NewMap("dragonfly-listener-closed")
	refusals = expvar.NewMap("dragonfly-listener-refused")
)

// Listener accepts at most MaxConnections at a time. For one more it closes the connection
// that has been inactive for longest. A server that passes its connections to WithConn can
// mark those whose requests it works on as busy, so that they are not closed.
type Listener struct {
	net.Listener
	// Name labels the metrics and log lines.
	Name string
	// MaxConnections bounds the open connections, 0 for no bound.
	MaxConnections int
	// Memory bounds what the connections hold, nil for no bound.
	Memory *dragonflyreservations.Reservations
	// MaxBody is set for a server of HTTP: requests are passed on once they are whole, and
	// refused with a body of more than MaxBody bytes.
	MaxBody int64
	// NewCharge is set for a server of another protocol with Memory. It returns the function
	// that is called with the bytes that have been read from a connection, and returns the
	// memory that the connection now takes.
	NewCharge func() func(read []byte) int64
	// MaxCharge is the most that a request of unknown length takes, in bytes.
	MaxCharge int64
	// MaxWait is how long a request waits for memory before its connection is closed, 0 for
	// 10 s.
	MaxWait time.Duration
	Clock   dragonflyclock.Clock

	mu       sync.Mutex
	conns    map[uint64]*conn // guarded by mu, as are the fields below
	next     uint64
	loggedAt dragonflyinstant.Instant
	closed   int // since the last log line
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil && isExhausted(err) && l.closeInactive() {
			continue
		}
		if err != nil {
			return nil, err
		}
		if l.isFull() && !l.closeInactive() {
			refusals.Add(l.Name, 1)
			_ = inner.Close()
			continue
		}
		return l.add(inner), nil
	}
}

// isExhausted reports whether a connection was not accepted because the process or the
// machine has no descriptor left.
func isExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

func (l *Listener) isFull() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.MaxConnections > 0 && len(l.conns) >= l.MaxConnections
}

func (l *Listener) add(inner net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	c := &conn{Conn: inner, owner: l, id: l.next, ended: make(chan struct{})}
	c.requests.c = c
	c.answered.Store(true)
	c.touch()
	if l.conns == nil {
		l.conns = map[uint64]*conn{}
	}
	l.conns[c.id] = c
	open.Add(l.Name, 1)
	return c
}

func (l *Listener) remove(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[id]; ok {
		delete(l.conns, id)
		open.Add(l.Name, -1)
	}
}

// closeInactive closes the connection that has been inactive for longest, and waits until the
// server has ended it. It returns false if all are busy.
func (l *Listener) closeInactive() bool {
	victim, inactive := l.longestInactive()
	if victim == nil {
		return false
	}
	victim.interrupt()
	closures.Add(l.Name, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed++
	if now := l.Clock.Now(); l.loggedAt == 0 || now.Sub(l.loggedAt) >= logInterval {
		slog.Warn("connections closed for new ones", "listener", l.Name, "open", len(l.conns), "limit", l.MaxConnections,
			"closed", l.closed, "inactive-ms", inactive.Milliseconds())
		l.loggedAt, l.closed = now, 0
	}
	return true
}

func (l *Listener) longestInactive() (victim *conn, inactive dragonflyduration.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]dragonflyinactivity.Connection, 0, len(l.conns))
	for id, c := range l.conns {
		all = append(all, dragonflyinactivity.Connection{ID: id, ActiveAt: dragonflyinstant.Instant(c.activeAt.Load()), Busy: c.busy.Load()})
	}
	v, ok := dragonflyinactivity.Longest(all)
	if !ok {
		return nil, 0
	}
	return l.conns[v.ID], l.Clock.Now().Sub(v.ActiveAt)
}

// conn is a connection of a listener.
type conn struct {
	net.Conn
	owner    *Listener
	id       uint64
	activeAt atomic.Int64 // an instant
	busy     atomic.Bool
	once     sync.Once
	ended    chan struct{} // closed once the server has closed the connection

	requests requestReader // of a server of HTTP
	answered atomic.Bool   // a response has been written since the last whole request
	charge   func(read []byte) int64
	pending  int64 // what the messages take by charge
	growing  bool  // the last read has raised pending

	mu      sync.Mutex // guards the fields below: reads and writes may run in parallel
	holder  uint64     // of the reservations, 0 if there is none
	charged int64      // reserved in steps of chargeStep
}

// setBusy records whether the process works on a request of the connection.
func (c *conn) setBusy(busy bool) {
	c.touch()
	c.busy.Store(busy)
	if c.owner.Memory != nil {
		c.setRunning(busy)
	}
}

func (c *conn) touch() { c.activeAt.Store(int64(c.owner.Clock.Now())) }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.owner.remove(c.id)
		c.release()
		close(c.ended)
	})
	return c.Conn.Close()
}

// interrupt ends the connection for its caller, and waits until the server, which has memory
// for it, has noticed and closed it. After interruptWait it no longer counts.
func (c *conn) interrupt() {
	_ = c.Conn.Close()
	timer := time.NewTimer(interruptWait)
	defer timer.Stop()
	select {
	case <-c.ended:
	case <-timer.C:
		c.owner.remove(c.id)
	}
}

// CloseWrite ends what the caller reads, as that of *net.TCPConn does. The HTTP server calls
// it after a refusal, before it waits for the rest of the body to arrive.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}
