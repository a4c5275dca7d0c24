package dragonflyengineagent

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
)

const (
	// orderTimeout bounds the engine's answer to an order. The engine on the same
	// machine answers within a few milliseconds, or not at all.
	orderTimeout = 250 * time.Millisecond
	// retryInterval is the time after which an order without effect is sent again:
	// the answer may have been lost, or the engine may not have been ready.
	retryInterval = 600 * time.Millisecond
	// unansweredRetryInterval replaces retryInterval for an order without an
	// answer.
	unansweredRetryInterval = 50 * time.Millisecond
	// orderLifetime is the time without a confirmation by control after which an order is no
	// longer sent: control may have lost the engine and reused the members of its group.
	orderLifetime = 3 * dragonflyduration.Second
	// stageRetryInterval replaces retryInterval for the staging of weights, whose
	// effect is visible only at its end.
	stageRetryInterval = 30 * time.Second
)

// execute sends the current order of control to the engine, and repeats it until
// it takes effect.
func (a *Agent) execute(ctx context.Context) error {
	var order dragonflyserverorder.Order
	var clock dragonflyclock.Clock        // It counts the time in which the machine is suspended.
	var received dragonflyinstant.Instant // when control confirmed order last
	var due time.Time                     // when order may be sent again
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	for {
		select {
		case o := <-a.orders.C():
			if !o.Same(order) {
				due = time.Time{}
			}
			order, received = o, clock.Now()
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		wait := retryInterval
		if order.Kind != 0 && clock.Now().Sub(received) < orderLifetime && !time.Now().Before(due) && isDue(order, a.observed.Load()) {
			wait = a.sendOrder(ctx, order)
			due = time.Now().Add(wait)
		}
		timer.Reset(min(wait, retryInterval))
	}
}

// sendOrder sends one order to the engine and returns how long to wait for its
// effect. An order without an answer may still be executed seconds later, or
// never.
func (a *Agent) sendOrder(ctx context.Context, o dragonflyserverorder.Order) (wait time.Duration) {
	began := time.Now()
	if !o.HasExpected {
		o.Expected = a.observed.Load().Orders
	}
	status, err := a.Order(ctx, orderTimeout, o)
	names := [...]string{"none", "join", "open", "close", "leave", "stage"}
	slog.Info("order given", "engine", a.Settings.Engine, "order", names[o.Kind], "group", o.Group, "epoch", o.Epoch,
		"model", o.Model, "members", o.Members, "expected", o.Expected, "status", status, "error", err,
		"ms", time.Since(began).Milliseconds())
	if err == nil && status == http.StatusPreconditionFailed && o.Kind == dragonflyserverorder.Join {
		a.refusal.Store(refusal{boot: a.observed.Load().Boot, epoch: o.Epoch})
	}
	accepted := status == http.StatusOK || status == http.StatusAccepted
	switch {
	case err != nil:
		return unansweredRetryInterval
	case accepted && o.Kind == dragonflyserverorder.Stage:
		return stageRetryInterval
	default:
		return retryInterval
	}
}

// isDue reports whether o is to be sent to an engine in the state seen. Control has based o on an
// earlier state if the engine has accepted other orders since, and will decide anew.
func isDue(o dragonflyserverorder.Order, seen dragonflyobservation.Observation) bool {
	return (!o.HasExpected || o.Expected == seen.Orders) && !hasTakenEffect(o, seen)
}

// hasTakenEffect reports whether the engine's state shows that o has been executed
// or is being executed.
func hasTakenEffect(o dragonflyserverorder.Order, seen dragonflyobservation.Observation) bool {
	in := seen.Group.Is(o.Group, o.Epoch)
	switch o.Kind {
	case dragonflyserverorder.Join:
		return in
	case dragonflyserverorder.Open:
		return !in || seen.Group.State != dragonflyenginegroup.Ready
	case dragonflyserverorder.Close:
		return !in || seen.Group.State != dragonflyenginegroup.Open
	case dragonflyserverorder.Leave:
		return !in
	default:
		return slices.Contains(seen.Staged, o.Model)
	}
}
