// Package dragonflycutrelay forwards TCP connections and cuts off those of single
// processes, which it recognizes by the names in their requests.
package dragonflycutrelay

import (
	"bytes"
	"context"
	"net"
	"sync"

	"dragonflyrelay.example/library/common/dragonflybroadcast"
	"dragonflyrelay.example/library/common/dragonflypool"
	"github.com/pkg/errors"
)

const (
	// chunkSize is the most that is forwarded at a time.
	chunkSize = 16 << 10
	// maxGreeting bounds the first bytes of a connection that are searched for names. They
	// hold the whole first request.
	maxGreeting = 4 << 10
)

// Relay listens on Listen and forwards connections to Target. The exported fields are set
// before Run.
type Relay struct {
	// Listen and Target are IP addresses with ports.
	Listen, Target string
	// Pool runs two tasks per connection.
	Pool *dragonflypool.Pool

	changed dragonflybroadcast.Broadcast // fires when cutOff has changed
	mu      sync.Mutex
	cutOff  map[string]bool // by name
}

// SetCutOff cuts the process with the given name off, or undoes that. What has been sent on
// a connection that was open before arrives afterwards, also if its sender has closed the
// connection meanwhile. What is sent on a new one is lost.
func (r *Relay) SetCutOff(name string, cutOff bool) {
	r.mu.Lock()
	if r.cutOff == nil {
		r.cutOff = map[string]bool{}
	}
	r.cutOff[name] = cutOff
	r.mu.Unlock()
	r.changed.Fire()
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

// link is one connection through the relay.
type link struct {
	caller, target net.Conn

	mu       sync.Mutex
	greeting []byte // the first bytes of the caller
}

// greet adds p to the first bytes of the caller and returns them without and with p.
func (k *link) greet(p []byte) (before, after []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before = k.greeting
	k.greeting = append(before[:len(before):len(before)], p[:min(len(p), maxGreeting-len(before))]...)
	return before, k.greeting
}

func (k *link) close() {
	_ = k.caller.Close()
	_ = k.target.Close()
}

func (r *Relay) forward(ctx context.Context, caller net.Conn) {
	target, err := net.Dial("tcp", r.Target)
	if err != nil {
		_ = caller.Close()
		return
	}
	k := &link{caller: caller, target: target}
	stop := context.AfterFunc(ctx, k.close)
	end := func() {
		stop()
		k.close()
	}
	for _, err := range []error{
		r.Pool.Go(func() { defer end(); r.copy(ctx, k, target, caller) }),
		r.Pool.Go(func() { defer end(); r.copy(ctx, k, caller, target) }),
	} {
		if err != nil {
			end()
		}
	}
}

// copy forwards bytes from src to dst until one of them is closed, or the caller turns out
// to be cut off already. Bytes that arrive while it is cut off wait until it no longer is.
func (r *Relay) copy(ctx context.Context, k *link, dst, src net.Conn) {
	for buf := make([]byte, chunkSize); ; {
		n, err := src.Read(buf)
		lost := false
		if src == k.caller {
			before, after := k.greet(buf[:n])
			lost = r.isCutOff(after) && !r.isCutOff(before)
		}
		if !r.awaitContact(ctx, k) || lost {
			return
		}
		if _, errWrite := dst.Write(buf[:n]); err != nil || errWrite != nil {
			return
		}
	}
}

// awaitContact waits while the caller is cut off. It returns false if ctx ends first.
func (r *Relay) awaitContact(ctx context.Context, k *link) bool {
	for {
		changed := r.changed.Changed()
		if _, greeting := k.greet(nil); !r.isCutOff(greeting) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// isCutOff reports whether a connection that begins with greeting is of a process that is
// cut off.
func (r *Relay) isCutOff(greeting []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, cutOff := range r.cutOff {
		if cutOff && bytes.Contains(greeting, encoded(name)) {
			return true
		}
	}
	return false
}

// encoded returns a name of less than 24 bytes as it stands in a CBOR message.
func encoded(name string) []byte { return append([]byte{0x60 + byte(len(name))}, name...) }
