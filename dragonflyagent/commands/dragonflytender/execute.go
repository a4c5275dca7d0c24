package dragonflytender

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
)

const (
	// orderTimeout bounds the engine's answer to an order.
	orderTimeout = time.Second
	// repeatInterval is the time after which an order that shows no effect is
	// given again: the answer may be lost, or the engine not ready yet.
	repeatInterval = 600 * time.Millisecond
	// stageInterval is the same for the staging of weights, whose effect shows
	// only at its end.
	stageInterval = 30 * time.Second
)

// execute carries out the order that control wants now.
func (t *Tender) execute(ctx context.Context) error {
	var want dragonflyserverorder.Order
	var given time.Time // when want was given last
	timer := time.NewTimer(repeatInterval)
	defer timer.Stop()
	for {
		select {
		case o := <-t.orders.C():
			if !o.Same(want) {
				given = time.Time{}
			}
			want = o
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		interval := repeatInterval
		if want.Kind == dragonflyserverorder.Stage {
			interval = stageInterval
		}
		if want.Kind != 0 && time.Since(given) >= interval && !fulfilled(want, t.seen.Load()) {
			given = time.Now()
			t.give(ctx, want)
		}
		timer.Reset(repeatInterval)
	}
}

// give gives one order to the engine.
func (t *Tender) give(ctx context.Context, o dragonflyserverorder.Order) {
	began := time.Now()
	status, err := t.Order(ctx, orderTimeout, o)
	names := [...]string{"none", "join", "open", "close", "leave", "stage"}
	slog.Info("order given", "engine", t.Settings.Engine, "order", names[o.Kind], "group", o.Group, "epoch", o.Epoch,
		"model", o.Model, "members", o.Members, "status", status, "error", err, "ms", time.Since(began).Milliseconds())
}

// fulfilled reports whether the engine's state shows that o has had its effect
// or is having it.
func fulfilled(o dragonflyserverorder.Order, seen dragonflyobservation.Observation) bool {
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
