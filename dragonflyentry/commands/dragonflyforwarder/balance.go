package dragonflyforwarder

import (
	"context"

	"dragonflyrelay.example/library/commands/dragonflybalance"
	"dragonflyrelay.example/library/common/dragonflyring"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflychoice"
)

// balanceRing takes the choices and ends of a burst of requests.
const balanceRing = 1024

// ask is an event and, for a choice, where the answer goes.
type ask struct {
	event dragonflybalanceevent.Event
	to    chan<- dragonflychoice.Choice
}

// balanceDuty owns the balance core.
type balanceDuty struct {
	in    *dragonflyring.Ring[ask]
	owner *Server
	state dragonflybalance.Balance
}

func newBalanceDuty(s *Server) *balanceDuty {
	return &balanceDuty{
		in: dragonflyring.New[ask]("balance", balanceRing), owner: s,
		state: dragonflybalance.New(s.Settings.Repeats),
	}
}

// Run answers until ctx ends.
func (d *balanceDuty) Run(ctx context.Context) error {
	for {
		a, err := d.in.Take(ctx)
		if err != nil {
			return err
		}
		next, choice := d.state.Step(d.owner.Clock.Now(), a.event)
		d.state = next
		if a.to != nil {
			a.to <- choice
		}
	}
}

func (d *balanceDuty) put(ctx context.Context, ev dragonflybalanceevent.Event) error {
	return d.in.Put(ctx, ask{event: ev})
}

// choose asks for an endpoint.
func (d *balanceDuty) choose(ctx context.Context, ev dragonflybalanceevent.Event) (c dragonflychoice.Choice, err error) {
	to := make(chan dragonflychoice.Choice, 1)
	if err := d.in.Put(ctx, ask{event: ev, to: to}); err != nil {
		return c, err
	}
	select {
	case c = <-to:
		return c, nil
	case <-ctx.Done():
		return c, ctx.Err()
	}
}
