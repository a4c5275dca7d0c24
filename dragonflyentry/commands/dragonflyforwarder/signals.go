package dragonflyforwarder

import (
	"context"
	"expvar"
	"log/slog"
	"time"

	"dragonflyrelay.example/library/commands/dragonflybalance"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyupstreamanswer"
)

var signals = expvar.NewMap("dragonfly-forward-upstream-signals")

// reportSignals passes on what the answer says of its endpoint. The ring keeps the order:
// a request that arrives after the answer has been passed on is chosen for after this.
func (x *exchange) reportSignals(ctx context.Context, a dragonflyupstreamanswer.Answer) {
	d := x.q.owner.balance
	if !a.FromEndpoint(x.q.ID) {
		return
	}
	ev := dragonflybalanceevent.Event{ID: x.endpoint.ID, Boot: x.endpoint.Boot, Pause: a.Pause, PauseUnknown: a.PauseUnknown}
	if a.Leaving && !d.latest.Load().Leaving().Has(ev.ID, ev.Boot) {
		ev.Kind = dragonflybalanceevent.LeavingAnswered
		_ = d.put(context.WithoutCancel(ctx), ev)
	}
	if a.Pause > 0 || a.PauseUnknown {
		ev.Kind = dragonflybalanceevent.PauseAnswered
		_ = d.put(context.WithoutCancel(ctx), ev)
	}
}

// withdrawn returns the result of an attempt whose endpoint must not get the request any
// more, though it was chosen. Connecting to it may have taken a while, or the process may
// have stood still: control may have a report that the entry has no requests there. The result of any
// other attempt is the zero result.
func (x *exchange) withdrawn() result {
	b := x.q.owner.balance.latest.Load()
	switch {
	case x.q.owner.streams.Lacks(x.endpoint.ID):
		return result{kind: withdrawn, reason: "the endpoint has left the routing table"}
	case b.Leaving().Has(x.endpoint.ID, x.endpoint.Boot):
		return result{kind: withdrawn, reason: "the endpoint leaves"}
	case b.Pauses().Held(x.q.owner.Clock.Now(), x.endpoint.ID, x.endpoint.Boot):
		return result{kind: withdrawn, reason: "the endpoint has asked for a pause", pauses: true}
	}
	return result{}
}

// awaitPause waits for the end of the earliest pause, the time pause from now, or for a
// change of the routing table, at most resumePollInterval. It reports whether to choose
// again, which is false if the request could not be served in its time after the pause.
func (q *request) awaitPause(ctx context.Context, pause dragonflyduration.Duration) bool {
	left := q.deadline.Sub(q.owner.Clock.Now()) - q.route.Objective/capacityWaitDivisor
	if pause <= 0 || pause > left {
		return false
	}
	changed := q.owner.tableChanged.Changed()
	timer := time.NewTimer(time.Duration(min(pause, resumePollInterval)))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// withSignals returns q with the pauses in progress, and with the endpoints that answers
// have shown to leave since the number reported, or with all of them if the leader may know
// none.
func (d *balanceDuty) withSignals(q dragonflyfollowrequest.Request, reported uint64, all bool) (next dragonflyfollowrequest.Request, sequence uint64) {
	if all {
		reported = 0
	}
	now, b := d.owner.Clock.Now(), d.latest.Load()
	q.Leaving, q.Pauses = b.Leaving().After(now, reported), b.Pauses().InProgress(now)
	return q, b.Leaving().Sequence()
}

// logSignals counts and logs what an answer has changed, from the state before to next.
func logSignals(now dragonflyinstant.Instant, before, next dragonflybalance.Balance, ev dragonflybalanceevent.Event) {
	switch {
	case ev.Kind == dragonflybalanceevent.LeavingAnswered && next.Leaving().Sequence() != before.Leaving().Sequence():
		signals.Add("leaving", 1)
		slog.Info("endpoint leaves", "endpoint", ev.ID, "boot", ev.Boot)
	case ev.Kind == dragonflybalanceevent.PauseAnswered:
		if !ev.PauseUnknown {
			signals.Add("pause", 1)
		}
		if !before.Pauses().Held(now, ev.ID, ev.Boot) && next.Pauses().Held(now, ev.ID, ev.Boot) {
			slog.Info("endpoint pauses", "endpoint", ev.ID, "boot", ev.Boot, "ms", ev.Pause.Milliseconds())
		}
		if !before.Pauses().Unreadable(ev.ID, ev.Boot) && next.Pauses().Unreadable(ev.ID, ev.Boot) {
			signals.Add("pause-unreadable", 1)
			slog.Warn("endpoint asks for a pause that cannot be read or is too long", "endpoint", ev.ID, "boot", ev.Boot, "ms", ev.Pause.Milliseconds())
		}
	}
}
