// Package dragonflybroadcast wakes all goroutines that wait for a state change.
package dragonflybroadcast

import "sync"

// Broadcast notifies any number of waiters of a state change. The zero value is
// ready to use.
type Broadcast struct {
	mu sync.Mutex
	c  chan struct{}
}

// Changed returns a channel that the next call of Fire closes. A waiter must get
// the channel before it reads the state, so that it misses no change.
func (b *Broadcast) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.c == nil {
		b.c = make(chan struct{})
	}
	return b.c
}

// Fire wakes all waiters.
func (b *Broadcast) Fire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.c != nil {
		close(b.c)
		b.c = nil
	}
}
