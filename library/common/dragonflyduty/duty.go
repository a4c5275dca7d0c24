// Package dragonflyduty runs a decision core on one goroutine. It takes events from
// a ring and passes actions to a function.
package dragonflyduty

import (
	"context"
	"expvar"
	"log/slog"
	"runtime/debug"
	"time"

	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflyring"
)

// Duty owns the state S of one core with events E and actions A. Only the
// goroutine in Run, or the caller of Pump, accesses the state.
type Duty[S, E, A any] struct {
	// In carries the events.
	In *dragonflyring.Ring[E]
	// State is the current state of the core; the caller sets the initial one.
	State S
	// Step returns the state after ev and the actions to carry out.
	Step func(s S, now dragonflyinstant.Instant, ev E) (next S, acts []A)
	// Act carries out one action. It must not block for long; slow work belongs
	// to another duty, which receives it through a ring.
	Act func(ctx context.Context, a A)
	// Publish, if not nil, is called with the state after every step.
	Publish func(s S)
	// Tick, if not nil, returns the event of each tick.
	Tick func() E
	// Period is the time between ticks.
	Period dragonflyduration.Duration
	// Clock provides the time that is passed to Step.
	Clock dragonflyclock.Clock

	panicLoggedAt time.Time
}

// panicLogInterval bounds the log lines of an event that panics each time.
const panicLogInterval = time.Second

var panics = expvar.NewInt("dragonfly-duty-panics")

// Run handles events until ctx ends or In is closed and empty. It returns the
// context's error, or nil after a close.
func (d *Duty[S, E, A]) Run(ctx context.Context) error {
	var ticks <-chan time.Time
	if d.Tick != nil {
		t := time.NewTicker(time.Duration(d.Period))
		defer t.Stop()
		ticks = t.C
	}
	for {
		select {
		case ev := <-d.In.C():
			d.Handle(ctx, ev)
		case <-ticks:
			d.Handle(ctx, d.Tick())
		case <-d.In.Done():
			d.Pump(ctx)
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Pump handles the queued events and returns without waiting for more.
func (d *Duty[S, E, A]) Pump(ctx context.Context) {
	for {
		select {
		case ev := <-d.In.C():
			d.Handle(ctx, ev)
		default:
			return
		}
	}
}

// Handle passes ev to the core and carries out the resulting actions. An event whose
// step panics is dropped: the core's state is a value, so it stays as it was before. A
// panic that ended the duty would leave a process that runs and does nothing.
func (d *Duty[S, E, A]) Handle(ctx context.Context, ev E) {
	acts, ok := d.step(ev)
	if !ok {
		return
	}
	for _, a := range acts {
		d.act(ctx, a)
	}
}

func (d *Duty[S, E, A]) step(ev E) (acts []A, ok bool) {
	defer d.recoverPanic("event dropped, its step panicked")
	next, acts := d.Step(d.State, d.Clock.Now(), ev)
	d.State = next
	if d.Publish != nil {
		d.Publish(next)
	}
	return acts, true
}

func (d *Duty[S, E, A]) act(ctx context.Context, a A) {
	defer d.recoverPanic("action dropped, it panicked")
	d.Act(ctx, a)
}

// recoverPanic counts a panic and logs the first of each panicLogInterval.
func (d *Duty[S, E, A]) recoverPanic(msg string) {
	v := recover()
	if v == nil {
		return
	}
	panics.Add(1)
	if now := time.Now(); now.Sub(d.panicLoggedAt) >= panicLogInterval {
		d.panicLoggedAt = now
		slog.Error(msg, "panic", v, "stack", string(debug.Stack()))
	}
}
