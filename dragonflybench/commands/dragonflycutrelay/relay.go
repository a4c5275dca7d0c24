// Package dragonflycutrelay forwards TCP connections and cuts off those of single
// processes, which it recognizes by the names in their requests, or those of all callers
// but some.
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
	// Exempt, if not empty, is a text in the first bytes of the connections that Hold and
	// Silence do not concern.
	Exempt string

	changed  dragonflybroadcast.Broadcast // fires when cutOff or held has changed
	mu       sync.Mutex
	cutOff   map[string]bool // by name
	held     map[direction]bool
	links    int // number of the connection that was opened last
	silenced int // number of the last connection that is silent for good
}

// direction is a direction of a connection.
type direction int

const (
	toTarget direction = iota
	toCaller
)

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

// Hold holds back what callers send, what the target answers, or both, or undoes that. It
// concerns connections as SetCutOff does: one that is opened meanwhile is lost, since its
// setup needs both directions.
func (r *Relay) Hold(requests, answers bool) {
	r.mu.Lock()
	r.held = map[direction]bool{toTarget: requests, toCaller: answers}
	r.mu.Unlock()
	r.changed.Fire()
}

// Silence makes the open connections silent for good: nothing more arrives, not even their
// end. New ones work.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silenced = r.links
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
	number         int

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
	r.mu.Lock()
	r.links++
	k := &link{caller: caller, target: target, number: r.links}
	r.mu.Unlock()
	stop := context.AfterFunc(ctx, k.close)
	end := func() {
		stop()
		k.close()
	}
	for _, err := range []error{
		r.Pool.Go(func() { defer end(); r.copy(ctx, k, toTarget) }),
		r.Pool.Go(func() { defer end(); r.copy(ctx, k, toCaller) }),
	} {
		if err != nil {
			end()
		}
	}
}

// copy forwards bytes in direction d until one end is closed, or the connection turns out
// to be cut off from its first bytes on. Bytes that arrive while it is cut off wait until it
// no longer is.
func (r *Relay) copy(ctx context.Context, k *link, d direction) {
	src, dst := k.caller, k.target
	if d == toCaller {
		src, dst = dst, src
	}
	for buf := make([]byte, chunkSize); ; {
		n, err := src.Read(buf)
		lost := false
		if d == toTarget {
			before, after := k.greet(buf[:n])
			lost = r.isCutOff(after) && !r.isCutOff(before) ||
				len(before) == 0 && (r.isHeld(after, toTarget) || r.isHeld(after, toCaller))
		}
		switch {
		case r.isSilenced(k) && err == nil:
			continue
		case r.isSilenced(k):
			<-ctx.Done()
			return
		case !r.awaitContact(ctx, k, d) || lost:
			return
		}
		if _, errWrite := dst.Write(buf[:n]); err != nil || errWrite != nil {
			return
		}
	}
}

// awaitContact waits while the caller is cut off or direction d is held. It returns false if
// ctx ends first.
func (r *Relay) awaitContact(ctx context.Context, k *link, d direction) bool {
	for {
		changed := r.changed.Changed()
		if _, greeting := k.greet(nil); !r.isCutOff(greeting) && !r.isHeld(greeting, d) {
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

// isHeld reports whether direction d of a connection that begins with greeting is held.
func (r *Relay) isHeld(greeting []byte, d direction) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held[d] && !r.isExempt(greeting)
}

// isSilenced reports whether k is silent for good.
func (r *Relay) isSilenced(k *link) bool {
	_, greeting := k.greet(nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	return k.number <= r.silenced && !r.isExempt(greeting)
}

func (r *Relay) isExempt(greeting []byte) bool {
	return r.Exempt != "" && bytes.Contains(greeting, []byte(r.Exempt))
}

// encoded returns a name of less than 24 bytes as it stands in a CBOR message.
func encoded(name string) []byte { return append([]byte{0x60 + byte(len(name))}, name...) }
