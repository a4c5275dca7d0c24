package dragonflyengineagent

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
)

const (
	// orderTimeout bounds the engine's answer to an order. The engine on the same
	// machine answers within a few milliseconds, or not at all.
	orderTimeout = 250 * time.Millisecond
	// retryInterval is the time after which an order that shows no effect is
	// given again: the answer may be lost, or the engine not ready yet.
	retryInterval = 600 * time.Millisecond
	// unansweredRetryInterval is the same for an order without an answer.
	unansweredRetryInterval = 50 * time.Millisecond
	// stageRetryInterval is the same for the staging of weights, whose effect shows
	// only at its end.
	stageRetryInterval = 30 * time.Second
)

// execute carries out the order that control wants now.
func (t *Agent) execute(ctx context.Context) error {
	var want dragonflyserverorder.Order
	var due time.Time // when want may be given again
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	for {
		select {
		case o := <-t.orders.C():
			if !o.Same(want) {
				due = time.Time{}
			}
			want = o
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		wait := retryInterval
		if want.Kind != 0 && !time.Now().Before(due) && !hasTakenEffect(want, t.observed.Load()) {
			wait = t.sendOrder(ctx, want)
			due = time.Now().Add(wait)
		}
		timer.Reset(min(wait, retryInterval))
	}
}

// sendOrder gives one order to the engine and returns how long to wait for its effect.
// One without an answer may still be carried out seconds later, or never.
func (t *Agent) sendOrder(ctx context.Context, o dragonflyserverorder.Order) (wait time.Duration) {
	began := time.Now()
	o.Expected = t.observed.Load().Orders
	status, err := t.Order(ctx, orderTimeout, o)
	names := [...]string{"none", "join", "open", "close", "leave", "stage"}
	slog.Info("order given", "engine", t.Settings.Engine, "order", names[o.Kind], "group", o.Group, "epoch", o.Epoch,
		"model", o.Model, "members", o.Members, "expected", o.Expected, "status", status, "error", err,
		"ms", time.Since(began).Milliseconds())
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

// hasTakenEffect reports whether the engine's state shows that o has had its effect
// or is having it.
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
