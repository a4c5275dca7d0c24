package dragonflyentryserver

import "sync"

// tracker counts the requests that a graceful shutdown waits for: those in a
// handler and those in the routing core.
type tracker struct {
	mu      sync.Mutex
	n       int
	closed  bool
	drained chan struct{} // closed once the tracker is closed and n is 0
}

func newTracker() *tracker { return &tracker{drained: make(chan struct{})} }

// tryAdd increments the count; it returns false if the tracker is closed.
func (t *tracker) tryAdd() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.n++
	return true
}

// add increments the count even if the tracker is closed. The caller must be
// counted itself, so that the count cannot have reached 0.
func (t *tracker) add() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n++
}

func (t *tracker) done() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n--
	if t.closed && t.n == 0 {
		close(t.drained)
	}
}

// close makes tryAdd fail from now on. The returned channel is closed when the
// count reaches 0.
func (t *tracker) close() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.closed = true
		if t.n == 0 {
			close(t.drained)
		}
	}
	return t.drained
}

func (t *tracker) isClosed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closed
}
