// Package dragonflybroadcast wakes all goroutines that wait for a change.
package dragonflybroadcast

import "sync"

// Broadcast tells any number of waiters that something has changed. The zero
// value is ready to use.
type Broadcast struct {
	mu sync.Mutex
	c  chan struct{}
}

// Changed returns a channel that the next Fire closes. A waiter gets it before it
// looks at the state, so that no change is missed.
func (b *Broadcast) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.c == nil {
		b.c = make(chan struct{})
	}
	return b.c
}

// Fire wakes all who wait.
func (b *Broadcast) Fire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.c != nil {
		close(b.c)
		b.c = nil
	}
}
