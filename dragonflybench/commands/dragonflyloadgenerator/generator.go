// Package dragonflyloadgenerator sends a planned load at a fixed rate that does not
// depend on the answers (open loop), and checks the answers.
package dragonflyloadgenerator

import (
	"context"
	"time"

	"dragonflyrelay.example/dragonflybench/commands/dragonflycaller"
	"dragonflyrelay.example/dragonflybench/commands/dragonflytally"
	"dragonflyrelay.example/dragonflybench/queries/dragonflyworkload"
	"dragonflyrelay.example/dragonflybench/values/dragonflyloadresult"
	"dragonflyrelay.example/dragonflybench/values/dragonflyloadsettings"
	"dragonflyrelay.example/dragonflybench/values/dragonflyoutcome"
	"dragonflyrelay.example/dragonflybench/values/dragonflyrequest"
	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflypool"
	"dragonflyrelay.example/library/common/dragonflyring"
	"github.com/pkg/errors"
)

// ringCapacity is the number of outcomes that may be queued for the tally.
const ringCapacity = 1024

// Generator sends one load. Fields are set before Run.
type Generator struct {
	// Settings are the settings of the load.
	Settings dragonflyloadsettings.Settings
	// Observe, if not nil, is called with each outcome, on a single goroutine.
	Observe func(o dragonflyoutcome.Outcome)

	clock    dragonflyclock.Clock
	outcomes *dragonflyring.Ring[dragonflyoutcome.Outcome]
}

// Run sends the load and returns its result when the last answer has ended. If ctx
// ends first, Run stops sending and waits for the answers in progress.
func (g *Generator) Run(ctx context.Context) (r dragonflyloadresult.Result, err error) {
	defer func() { err = errors.WithMessage(err, "generate load") }()
	g.Settings = g.Settings.WithDefaults()
	caller, err := dragonflycaller.New(g.Settings)
	if err != nil {
		return r, err
	}
	defer caller.Close()
	g.outcomes = dragonflyring.New[dragonflyoutcome.Outcome]("load-outcomes", ringCapacity)
	tally := dragonflytally.New(g.Settings)
	counter := dragonflypool.Pool{Name: "load-counter", Size: 1}
	if err := counter.Start(ctx, "load-counter", func(context.Context) error { return g.count(tally) }); err != nil {
		return r, err
	}
	begin := g.clock.Now()
	calls := dragonflypool.Pool{Name: "load-calls", Size: g.Settings.Connections}
	g.dispatch(ctx, begin, &calls, caller)
	_ = calls.Wait(context.Background())
	elapsed := g.clock.Now().Sub(begin)
	g.outcomes.Close()
	_ = counter.Wait(context.Background())
	return tally.Result(elapsed), nil
}

// count adds outcomes to the tally until the ring is closed and empty.
func (g *Generator) count(tally *dragonflytally.Tally) error {
	for {
		o, err := g.outcomes.Take(context.Background())
		if err != nil {
			return nil
		}
		tally.Add(o)
		if g.Observe != nil {
			g.Observe(o)
		}
	}
}

// dispatch starts each request at its planned time, or as soon as possible after
// it.
func (g *Generator) dispatch(ctx context.Context, begin dragonflyinstant.Instant, calls *dragonflypool.Pool, caller *dragonflycaller.Caller) {
	t := time.NewTimer(0)
	defer t.Stop()
	plan := dragonflyworkload.New(g.Settings)
	for {
		next, req, ok := plan.Next()
		if !ok {
			return
		}
		plan = next
		if wait := begin.Add(req.At).Sub(g.clock.Now()); wait > 0 {
			t.Reset(time.Duration(wait))
			select {
			case <-t.C:
			case <-ctx.Done():
				return
			}
		}
		if ctx.Err() != nil {
			return
		}
		g.start(ctx, begin, req, calls, caller)
	}
}

func (g *Generator) start(ctx context.Context, begin dragonflyinstant.Instant, req dragonflyrequest.Request, calls *dragonflypool.Pool, caller *dragonflycaller.Caller) {
	err := calls.Go(func() {
		late := g.clock.Now().Sub(begin.Add(req.At))
		o := caller.Call(context.WithoutCancel(ctx), req)
		o.Lateness = late
		_ = g.outcomes.Put(context.Background(), o)
	})
	if err != nil {
		o := dragonflyoutcome.Outcome{Request: req}.With(dragonflyoutcome.Failed, "the generator had no free connection")
		_ = g.outcomes.Put(context.Background(), o)
	}
}
