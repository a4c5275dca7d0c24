package dragonflyforwarder

import (
	"context"
	"expvar"
	"log/slog"

	"dragonflyrelay.example/library/commands/dragonflybalance"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyupstreamanswer"
)

var signals = expvar.NewMap("dragonfly-forward-upstream-signals")

// reportSignals passes on what the answer says of its endpoint. The ring keeps the order:
// a request that arrives after the answer has been passed on is chosen for after this.
func (x *exchange) reportSignals(ctx context.Context, a dragonflyupstreamanswer.Answer) {
	d := x.q.owner.balance
	if !a.FromEndpoint(x.q.ID) || !a.Leaving || d.latest.Load().Leaving().Has(x.endpoint.ID, x.endpoint.Boot) {
		return
	}
	_ = d.put(context.WithoutCancel(ctx), dragonflybalanceevent.Event{
		Kind: dragonflybalanceevent.LeavingAnswered, ID: x.endpoint.ID, Boot: x.endpoint.Boot,
	})
}

// withdrawn returns why the endpoint must not get the request any more, though it was
// chosen, or "". Connecting to it may have taken a while.
func (x *exchange) withdrawn() (reason string) {
	if x.q.owner.balance.latest.Load().Leaving().Has(x.endpoint.ID, x.endpoint.Boot) {
		return "the endpoint leaves"
	}
	return ""
}

// withLeaving returns q with the endpoints that answers have shown to leave since the
// number reported, or with all of them if the leader may know none.
func (d *balanceDuty) withLeaving(q dragonflyfollowrequest.Request, reported uint64, all bool) (next dragonflyfollowrequest.Request, sequence uint64) {
	if all {
		reported = 0
	}
	l := d.latest.Load().Leaving()
	q.Leaving = l.After(d.owner.Clock.Now(), reported)
	return q, l.Sequence()
}

// logSignals counts and logs what an answer has changed, from the state before to next.
func logSignals(before, next dragonflybalance.Balance, ev dragonflybalanceevent.Event) {
	if ev.Kind == dragonflybalanceevent.LeavingAnswered && next.Leaving().Sequence() != before.Leaving().Sequence() {
		signals.Add("leaving", 1)
		slog.Info("endpoint leaves", "endpoint", ev.ID, "boot", ev.Boot)
	}
}
