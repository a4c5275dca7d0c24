package dragonflyforwarder

import (
	"context"

	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflyendpointlimit"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	"dragonflyrelay.example/library/values/dragonflyupstreamanswer"
)

// reportLimit passes on what the answer says of the limit of its endpoint. Most answers
// have none and come from endpoints without one.
func (x *exchange) reportLimit(ctx context.Context, a dragonflyupstreamanswer.Answer) {
	x.q.limit = a.Rate
	d := x.q.owner.balance
	if a.LimitUnknown || !a.Limited && !d.latest.Load().Limited(x.endpoint.ID, x.endpoint.Boot) {
		return
	}
	_ = d.put(context.WithoutCancel(ctx), dragonflybalanceevent.Event{
		Kind:   dragonflybalanceevent.LimitAnswered,
		Limits: []dragonflyendpointlimit.Limit{{ID: x.endpoint.ID, Boot: x.endpoint.Boot, Limited: a.Limited, Rate: a.Rate}},
	})
}

// withLimits returns q with the limits that answers have shown since the number reported,
// or with all known ones if the leader may know none.
func (d *balanceDuty) withLimits(q dragonflyfollowrequest.Request, reported uint64, all bool) (next dragonflyfollowrequest.Request, sequence uint64) {
	b := d.latest.Load()
	q.Limits = b.Limits(d.owner.Clock.Now(), reported, all)
	return q, b.LimitSequence()
}

// receiveLimits applies the limits of control's response to the request that was sent at
// sent.
func (d *balanceDuty) receiveLimits(ctx context.Context, sent dragonflyinstant.Instant, n dragonflyfollowresponse.Response) error {
	if !n.HasLimits || len(n.Limits) == 0 {
		return nil
	}
	return d.put(ctx, dragonflybalanceevent.Event{Kind: dragonflybalanceevent.LimitsReceived, Limits: n.Limits, AskedAt: sent})
}
