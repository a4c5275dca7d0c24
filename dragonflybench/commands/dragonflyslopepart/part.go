// Package dragonflyslopepart runs a growing number of servers of one role in one
// process and samples the resource usage of the process.
package dragonflyslopepart

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"dragonflyrelay.example/dragonflybench/commands/dragonflysampler"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflypool"
	"github.com/pkg/errors"
)

// poolSize bounds the goroutines of one process: one for each server and one for
// the sampler.
const poolSize = 1024

// Part runs servers of one role. Fields are set before Run.
type Part struct {
	// Name is the name of the role in the samples.
	Name string
	// Out is the path of the file of samples.
	Out string
	// Sizes are the numbers of servers, ascending; each runs for the time Hold.
	// With Hold 0 the first size runs until the context ends.
	Sizes []int
	Hold  dragonflyduration.Duration
	// Serve runs server number i until ctx ends.
	Serve func(ctx context.Context, i int) error
	// Counts returns the bytes in each direction and the connections of a counting
	// relay; nil means that there is none.
	Counts func() (in, out, connections int64)

	size   atomic.Int64
	failed atomic.Int64
}

// Run starts the servers and returns when the last size has run for its time. A
// server that ends early is an error, because the sizes would be wrong.
func (p *Part) Run(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessagef(err, "run part %s", p.Name) }()
	f, err := os.Create(p.Out)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	pool := &dragonflypool.Pool{Name: "slope-part", Size: poolSize}
	sampler := dragonflysampler.Sampler{Part: p.Name, Size: func() int { return int(p.size.Load()) }, Counts: p.Counts}
	if err := pool.Start(ctx, "sampler", func(ctx context.Context) error { return sampler.Run(ctx, f) }); err != nil {
		return err
	}
	for _, size := range p.Sizes {
		if err := p.grow(ctx, pool, size); err != nil {
			return err
		}
		p.hold(ctx)
	}
	cancel()
	stop, end := context.WithTimeout(context.Background(), 5*time.Second)
	defer end()
	_ = pool.Wait(stop)
	if n := p.failed.Load(); n > 0 {
		return errors.Errorf("%d servers ended early", n)
	}
	return nil
}

func (p *Part) grow(ctx context.Context, pool *dragonflypool.Pool, size int) error {
	for i := int(p.size.Load()); i < size; i++ {
		err := pool.Start(ctx, p.Name, func(ctx context.Context) error {
			err := p.Serve(ctx, i)
			if ctx.Err() == nil {
				p.failed.Add(1)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	p.size.Store(int64(size))
	return nil
}

func (p *Part) hold(ctx context.Context) {
	if p.Hold == 0 {
		<-ctx.Done()
		return
	}
	t := time.NewTimer(time.Duration(p.Hold))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
