package dragonflyforwarder

import (
	"context"
	"hash/fnv"
	"io"
	"log/slog"
	"sync/atomic"

	"dragonflyrelay.example/library/commands/dragonflybalance"
	"dragonflyrelay.example/library/commands/dragonflyhedging"
	"dragonflyrelay.example/library/common/dragonflylatest"
	"dragonflyrelay.example/library/common/dragonflyring"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflychoice"
)

// balanceRingSize is enough for the choices and outcomes of a burst of requests.
const balanceRingSize = 1024

// balanceRequest is an event for the balance core. Reply and taken are set for the event
// of a choice: reply receives the chosen endpoint, and whoever sets taken first, the duty
// or a requester that no longer waits, decides whether there is a choice.
type balanceRequest struct {
	event dragonflybalanceevent.Event
	reply chan<- dragonflychoice.Choice
	taken *atomic.Bool
}

// balanceDuty owns the balance core and is its only user.
type balanceDuty struct {
	requests *dragonflyring.Ring[balanceRequest]
	owner    *Server
	state    dragonflybalance.Balance
	latest   dragonflylatest.Latest[dragonflybalance.Balance]
	hedging  dragonflylatest.Latest[dragonflyhedging.Hedging]
}

func newBalanceDuty(s *Server) *balanceDuty {
	d := &balanceDuty{
		requests: dragonflyring.New[balanceRequest]("balance", balanceRingSize), owner: s,
		state: dragonflybalance.New(s.Settings.RetryLimits).WithSeed(seedOf(s.Settings.Name)),
	}
	d.hedging.Store(dragonflyhedging.New(s.Settings.SecondSendRatio))
	return d
}

// seedOf returns a number that differs from entry to entry.
func seedOf(name string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name)
	return h.Sum64()
}

// Run processes requests until ctx ends.
func (d *balanceDuty) Run(ctx context.Context) error {
	for {
		r, err := d.requests.Take(ctx)
		if err != nil {
			return err
		}
		if r.taken != nil && !r.taken.CompareAndSwap(false, true) {
			continue
		}
		choice := d.handle(r.event)
		if r.reply != nil {
			r.reply <- choice
		}
	}
}

// handle passes ev to the core. An event that panics is dropped and chooses nothing: the
// state stays as before, and the entry goes on choosing for other requests.
func (d *balanceDuty) handle(ev dragonflybalanceevent.Event) (choice dragonflychoice.Choice) {
	defer func() {
		if v := recover(); v != nil {
			panics.Add(1)
			slog.Error("balance event dropped, it panicked", "panic", v)
			choice = dragonflychoice.Choice{Reason: "internal error"}
		}
	}()
	now, hedging := d.owner.Clock.Now(), d.hedging.Load()
	if reason := hedging.Refusal(now, ev); reason != "" {
		return dragonflychoice.Choice{Reason: reason}
	}
	next, choice := d.state.Step(now, ev)
	logSignals(now, d.state, next, ev)
	d.state = next
	d.latest.Store(next)
	if d.owner.Settings.SecondSendRatio > 0 {
		d.hedging.Store(hedging.Step(now, ev, choice))
	}
	return choice
}

func (d *balanceDuty) put(ctx context.Context, ev dragonflybalanceevent.Event) error {
	return d.requests.Put(ctx, balanceRequest{event: ev})
}

// choose returns the endpoint that the balance core picks for ev. A choice that is made
// while ctx ends is returned to the core.
func (d *balanceDuty) choose(ctx context.Context, ev dragonflybalanceevent.Event) (c dragonflychoice.Choice, err error) {
	reply := make(chan dragonflychoice.Choice, 1)
	taken := &atomic.Bool{}
	if err := d.requests.Put(ctx, balanceRequest{event: ev, reply: reply, taken: taken}); err != nil {
		return c, err
	}
	select {
	case c = <-reply:
		return c, nil
	case <-ctx.Done():
	}
	if taken.CompareAndSwap(false, true) {
		return c, ctx.Err()
	}
	if c = <-reply; c.OK {
		d.owner.returnChoice(ctx, c, ev.Tokens)
	}
	return dragonflychoice.Choice{}, ctx.Err()
}
