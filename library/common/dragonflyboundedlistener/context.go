package dragonflyboundedlistener

import (
	"context"
	"net"
)

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// WithConn returns ctx with a connection of a Listener. Other connections change nothing.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	if _, ok := c.(*conn); !ok {
		return ctx
	}
	return context.WithValue(ctx, connKey{}, c)
}

// SetBusy records whether the process works on a request of the connection in ctx, which has
// then arrived whole. A busy connection is not closed for others.
func SetBusy(ctx context.Context, busy bool) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.setBusy(busy)
	}
}

// ResetOnClose makes the server end the connection in ctx by a reset. A caller whose response
// would be complete with the end of its connection then detects that it was broken off.
func ResetOnClose(ctx context.Context) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return
	}
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = l.SetLinger(0)
	}
}
