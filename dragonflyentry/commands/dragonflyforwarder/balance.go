package dragonflyforwarder

import (
	"context"

	"dragonflyrelay.example/library/commands/dragonflybalance"
	"dragonflyrelay.example/library/common/dragonflyring"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflychoice"
)

// balanceRingSize takes the choices and ends of a burst of requests.
const balanceRingSize = 1024

// balanceRequest is an event and, for a choice, where the answer goes.
type balanceRequest struct {
	event dragonflybalanceevent.Event
	reply chan<- dragonflychoice.Choice
}

// balanceDuty owns the balance core.
type balanceDuty struct {
	requests *dragonflyring.Ring[balanceRequest]
	owner    *Server
	state    dragonflybalance.Balance
}

func newBalanceDuty(s *Server) *balanceDuty {
	return &balanceDuty{
		requests: dragonflyring.New[balanceRequest]("balance", balanceRingSize), owner: s,
		state: dragonflybalance.New(s.Settings.RetryLimits),
	}
}

// Run answers until ctx ends.
func (d *balanceDuty) Run(ctx context.Context) error {
	for {
		a, err := d.requests.Take(ctx)
		if err != nil {
			return err
		}
		next, choice := d.state.Step(d.owner.Clock.Now(), a.event)
		d.state = next
		if a.reply != nil {
			a.reply <- choice
		}
	}
}

func (d *balanceDuty) put(ctx context.Context, ev dragonflybalanceevent.Event) error {
	return d.requests.Put(ctx, balanceRequest{event: ev})
}

// choose asks for an endpoint.
func (d *balanceDuty) choose(ctx context.Context, ev dragonflybalanceevent.Event) (c dragonflychoice.Choice, err error) {
	to := make(chan dragonflychoice.Choice, 1)
	if err := d.requests.Put(ctx, balanceRequest{event: ev, reply: to}); err != nil {
		return c, err
	}
	select {
	case c = <-to:
		return c, nil
	case <-ctx.Done():
		return c, ctx.Err()
	}
}
