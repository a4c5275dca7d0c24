package dragonflyagentserver

import (
	"context"
	"log/slog"

	"dragonflyrelay.example/dragonflyagent/commands/dragonflyupstream"
	"dragonflyrelay.example/library/values/dragonflygroupevent"
	"dragonflyrelay.example/library/values/dragonflygrouporder"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
	"github.com/pkg/errors"
)

// engineOrder is an order of the group core to the engine: load or unload.
type engineOrder struct {
	load  bool
	order dragonflygrouporder.Order
}

// runOrders sends orders to the engine, one at a time, and passes their outcomes
// to the group duty.
func (s *Server) runOrders(ctx context.Context) error {
	for {
		o, err := s.orderRing.Take(ctx)
		if err != nil {
			return nil
		}
		address := s.group.Load().Membership().Upstream().Address
		err = s.upstream.Order(ctx, address, s.Settings.Instance, o.load, o.order)
		ev := dragonflygroupevent.Event{Kind: dragonflygroupevent.OrderResolved, Group: o.order.Group, Fence: o.order.Fence}
		detail := "done"
		switch {
		case err == nil:
			ev.Outcome = dragonflygroupevent.Done
		case errors.Is(err, dragonflyupstream.ErrRefused):
			ev.Outcome, detail = dragonflygroupevent.Refused, "refused"
		case errors.Is(err, dragonflyupstream.ErrNotSent):
			ev.Outcome, detail = dragonflygroupevent.NotSent, "not-sent"
		default:
			ev.Outcome, detail = dragonflygroupevent.Unknown, "unknown"
			slog.Warn("outcome of the engine order is unknown", "instance", s.Settings.Instance, "error", err)
		}
		counters.Add("engine-orders-"+detail, 1)
		s.addOccurrence(dragonflyoccurrence.Occurrence{Event: "engine-order", Group: o.order.Group, Detail: detail})
		if err := s.groupRing.Put(ctx, groupInput{ev: ev}); err != nil {
			return nil
		}
	}
}
