// Package dragonflypool runs the goroutines of a process on ants pools, so that
// their number is bounded. Metrics count started tasks, refusals and panics.
package dragonflypool

import (
	"context"
	"expvar"
	"log/slog"
	"sync"

	"github.com/panjf2000/ants/v2"
	"github.com/pkg/errors"
)

// ErrFull is wrapped by the error of Go when all workers are busy.
var ErrFull = errors.New("worker pool is full")

// DefaultSize is the number of workers of a pool whose Size is 0.
const DefaultSize = 1024

var (
	started  = expvar.NewMap("dragonfly-pool-started")
	refusals = expvar.NewMap("dragonfly-pool-refusals")
	panics   = expvar.NewInt("dragonfly-pool-panics")
)

// Pool runs tasks on at most Size workers. The zero value is ready to use.
type Pool struct {
	// Size is the maximum number of concurrent tasks; 0 means DefaultSize.
	Size int
	// Name is the label of the pool's metrics.
	Name string

	once sync.Once
	ants *ants.Pool
	err  error

	mu    sync.Mutex
	tasks int           // number of tasks that haven't ended; guarded by mu
	idle  chan struct{} // closed when tasks reaches 0; nil if Wait isn't blocked; guarded by mu
}

// Go runs task on a worker. It returns ErrFull, and does not run task, if all
// workers are busy.
func (p *Pool) Go(task func()) (err error) {
	defer func() { err = errors.WithMessagef(err, "start task on pool %q", p.Name) }()
	p.once.Do(p.open)
	if p.err != nil {
		return p.err
	}
	p.begin()
	err = p.ants.Submit(func() {
		defer p.end()
		task()
	})
	if err == nil {
		started.Add(p.Name, 1)
		return nil
	}
	p.end()
	if errors.Is(err, ants.ErrPoolOverload) {
		refusals.Add(p.Name, 1)
		return ErrFull
	}
	return err
}

// Start runs a duty on a worker. An error that the duty returns before ctx ends is
// logged, because the duty has stopped while the process continues.
func (p *Pool) Start(ctx context.Context, name string, duty func(ctx context.Context) error) error {
	return p.Go(func() {
		err := duty(ctx)
		if err != nil && ctx.Err() == nil {
			slog.Error("duty stopped", "duty", name, "error", err)
		}
	})
}

// Running returns the number of busy workers.
func (p *Pool) Running() int {
	p.once.Do(p.open)
	if p.err != nil {
		return 0
	}
	return p.ants.Running()
}

// Wait blocks until all tasks have ended. If ctx ends first, it returns the
// context's error.
func (p *Pool) Wait(ctx context.Context) error {
	p.mu.Lock()
	if p.tasks == 0 {
		p.mu.Unlock()
		return nil
	}
	if p.idle == nil {
		p.idle = make(chan struct{})
	}
	idle := p.idle
	p.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *Pool) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tasks++
}

// end counts a task as ended and wakes the callers of Wait after the last one.
func (p *Pool) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tasks--
	if p.tasks == 0 && p.idle != nil {
		close(p.idle)
		p.idle = nil
	}
}

func (p *Pool) open() {
	size := p.Size
	if size <= 0 {
		size = DefaultSize
	}
	p.ants, p.err = ants.NewPool(size, ants.WithNonblocking(true), ants.WithPanicHandler(func(v any) {
		panics.Add(1)
		slog.Error("task panicked", "pool", p.Name, "panic", v)
	}))
}
