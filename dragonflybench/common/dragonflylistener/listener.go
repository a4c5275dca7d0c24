// Package dragonflylistener accepts connections that can all be closed at once, so
// that a stand-in that shares a process with others can end like a killed process.
package dragonflylistener

import (
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Listener is a net.Listener that tracks its open connections. Listen creates one.
type Listener struct {
	net.Listener

	mu     sync.Mutex
	open   map[*conn]struct{}
	closed bool
}

// Listen listens on addr, which is an IP and port.
func Listen(addr string) (l *Listener, err error) {
	defer func() { err = errors.WithMessagef(err, "listen on %s", addr) }()
	inner, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: inner, open: map[*conn]struct{}{}}, nil
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &conn{Conn: c, l: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	l.open[tracked] = struct{}{}
	return tracked, nil
}

// CloseAll closes the listener and all open connections.
func (l *Listener) CloseAll() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.open {
		_ = c.Conn.Close()
	}
	clear(l.open)
}

type conn struct {
	net.Conn
	l *Listener
}

// Close closes the connection and stops tracking it.
func (c *conn) Close() error {
	c.l.mu.Lock()
	delete(c.l.open, c)
	c.l.mu.Unlock()
	return c.Conn.Close()
}
