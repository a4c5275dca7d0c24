package dragonflyentryserver

import "sync"

// gate counts what a graceful shutdown must wait for.
type gate struct {
	mu     sync.Mutex
	n      int
	closed bool
	idle   chan struct{} // closed when the gate is closed and n is 0
}

func newGate() *gate { return &gate{idle: make(chan struct{})} }

// enter counts one more; it returns false if the gate is closed.
func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.n++
	return true
}

// hold counts one more on behalf of someone who is inside.
func (g *gate) hold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.n++
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.n--
	if g.closed && g.n == 0 {
		close(g.idle)
	}
}

// close lets nobody in. The returned channel is closed when all have left.
func (g *gate) close() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.closed = true
		if g.n == 0 {
			close(g.idle)
		}
	}
	return g.idle
}

func (g *gate) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}
