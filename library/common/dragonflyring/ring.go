// Package dragonflyring connects the duties of a process by bounded queues.
package dragonflyring

import (
	"context"
	"expvar"
	"sync"

	"github.com/pkg/errors"
)

// ErrClosed is returned by Put, TryPut and Take on a closed ring. Take returns it
// only once the ring is empty.
var ErrClosed = errors.New("ring is closed")

// ErrFull is returned by TryPut on a full ring.
var ErrFull = errors.New("ring is full")

// DefaultCapacity is the capacity, in items, of a ring that is created with
// capacity 0.
const DefaultCapacity = 256

var (
	expvarMu sync.Mutex
	depths   = expvar.NewMap("dragonfly-ring-depth")
	puts     = expvar.NewMap("dragonfly-ring-puts")
	refusals = expvar.NewMap("dragonfly-ring-refusals")
	// published holds what identifies the ring whose depth is exported, by name.
	published = map[string]chan struct{}{}
)

// Ring is a bounded first-in first-out queue between duties. Any number of
// goroutines may use it. Waiting callers block and don't spin.
type Ring[T any] struct {
	name   string
	items  chan T
	closed chan struct{}
	once   sync.Once
}

// New returns a ring that holds up to capacity items and exports its depth, puts
// and refusals in expvar under name. Rings with the same name share the counters of
// puts and refusals; the depth is that of the most recently created ring.
func New[T any](name string, capacity int) *Ring[T] {
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	r := &Ring[T]{name: name, items: make(chan T, capacity), closed: make(chan struct{})}
	expvarMu.Lock()
	defer expvarMu.Unlock()
	depths.Set(name, expvar.Func(func() any { return len(r.items) }))
	published[name] = r.closed
	return r
}

// Put adds v and blocks while the ring is full. It returns ErrClosed if the ring
// is closed and the context's error if ctx ends first.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case <-r.closed:
		return ErrClosed
	default:
	}
	select {
	case r.items <- v:
		puts.Add(r.name, 1)
		return nil
	case <-r.closed:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TryPut adds v without blocking. It returns ErrFull, and counts a refusal, if the
// ring is full, and ErrClosed if the ring is closed.
func (r *Ring[T]) TryPut(v T) error {
	select {
	case <-r.closed:
		return ErrClosed
	default:
	}
	select {
	case r.items <- v:
		puts.Add(r.name, 1)
		return nil
	default:
		refusals.Add(r.name, 1)
		return ErrFull
	}
}

// Take removes and returns the oldest item and blocks while the ring is empty. It
// returns ErrClosed if the ring is closed and empty, and the context's error if ctx
// ends first.
func (r *Ring[T]) Take(ctx context.Context) (v T, err error) {
	select {
	case v = <-r.items:
		return v, nil
	default:
	}
	select {
	case v = <-r.items:
		return v, nil
	case <-r.closed:
		return r.drain()
	case <-ctx.Done():
		return v, ctx.Err()
	}
}

// C returns the channel of items, for a duty that waits for several sources.
// Closing the ring doesn't close this channel but that of Done.
func (r *Ring[T]) C() <-chan T { return r.items }

// Done returns a channel that is closed when the ring is closed.
func (r *Ring[T]) Done() <-chan struct{} { return r.closed }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Close makes further puts fail, and ends the export of the depth, which would keep the ring.
// Items already in the ring can still be taken.
func (r *Ring[T]) Close() {
	r.once.Do(func() {
		close(r.closed)
		expvarMu.Lock()
		defer expvarMu.Unlock()
		if published[r.name] == r.closed {
			delete(published, r.name)
			depths.Delete(r.name)
		}
	})
}

func (r *Ring[T]) drain() (v T, err error) {
	select {
	case v = <-r.items:
		return v, nil
	default:
		return v, ErrClosed
	}
}
