package dragonflyentryserver

import "sync"

// tracker counts what a graceful shutdown must wait for.
type tracker struct {
	mu      sync.Mutex
	n       int
	closed  bool
	drained chan struct{} // closed when the gate is closed and n is 0
}

func newTracker() *tracker { return &tracker{drained: make(chan struct{})} }

// tryAdd counts one more; it returns false if the gate is closed.
func (g *tracker) tryAdd() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.n++
	return true
}

// add counts one more on behalf of someone who is inside.
func (g *tracker) add() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.n++
}

func (g *tracker) done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.n--
	if g.closed && g.n == 0 {
		close(g.drained)
	}
}

// close lets nobody in. The returned channel is closed when all have left.
func (g *tracker) close() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.closed = true
		if g.n == 0 {
			close(g.drained)
		}
	}
	return g.drained
}

func (g *tracker) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}
