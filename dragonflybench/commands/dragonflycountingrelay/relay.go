// Package dragonflycountingrelay forwards TCP connections and counts their bytes,
// to measure the traffic between the processes of the system.
package dragonflycountingrelay

import (
	"context"
	"io"
	"net"
	"sync/atomic"

	"dragonflyrelay.example/library/common/dragonflypool"
	"github.com/pkg/errors"
)

// Relay listens on Listen and forwards connections to Target. Fields are set
// before Run.
type Relay struct {
	// Listen and Target are IP addresses with ports.
	Listen, Target string
	// Pool runs two tasks per connection.
	Pool *dragonflypool.Pool

	in, out, connections atomic.Int64
}

// Counts returns the number of bytes received from and sent to the callers, and
// the number of connections.
func (r *Relay) Counts() (in, out, connections int64) {
	return r.in.Load(), r.out.Load(), r.connections.Load()
}

// Run forwards connections until ctx ends.
func (r *Relay) Run(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessagef(err, "relay %s to %s", r.Listen, r.Target) }()
	l, err := net.Listen("tcp", r.Listen)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		caller, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		r.forward(ctx, caller)
	}
}

func (r *Relay) forward(ctx context.Context, caller net.Conn) {
	target, err := net.Dial("tcp", r.Target)
	if err != nil {
		_ = caller.Close()
		return
	}
	r.connections.Add(1)
	stop := context.AfterFunc(ctx, func() {
		_ = caller.Close()
		_ = target.Close()
	})
	end := func() {
		stop()
		_ = caller.Close()
		_ = target.Close()
	}
	for _, err := range []error{
		r.Pool.Go(func() { defer end(); _, _ = io.Copy(target, countingReader{caller, &r.in}) }),
		r.Pool.Go(func() { defer end(); _, _ = io.Copy(caller, countingReader{target, &r.out}) }),
	} {
		if err != nil {
			end()
		}
	}
}

// countingReader adds the number of bytes read from r to n.
type countingReader struct {
	r io.Reader
	n *atomic.Int64
}

// Read reads from the underlying reader.
func (c countingReader) Read(p []byte) (n int, err error) {
	n, err = c.r.Read(p)
	c.n.Add(int64(n))
	return n, err
}
