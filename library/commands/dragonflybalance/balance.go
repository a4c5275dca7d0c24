// Package dragonflybalance chooses the endpoints of an entry's attempts, and
// bounds repeats and the load on cold upstreams. Bounds that hold over all
// entries are divided by their number, so that no entry has to ask another.
package dragonflybalance

import (
	"slices"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflybalanceevent"
	"dragonflyrelay.example/library/values/dragonflychoice"
	"dragonflyrelay.example/library/values/dragonflydocument"
	"dragonflyrelay.example/library/values/dragonflydocumentservice"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflyendpointspeed"
	"dragonflyrelay.example/library/values/dragonflyretrylimits"
)

// Bounds on avoiding an endpoint, and shares of bounds that are used.
const (
	// MinAvoid and MaxAvoid bound how long an endpoint that failed is avoided.
	MinAvoid = 300 * dragonflyduration.Millisecond
	MaxAvoid = 5 * dragonflyduration.Second
	// budgetShare is the part of the allowed repeats that is used. The rest
	// covers the windows' edges and entries that have just started.
	budgetShare = 0.8
	// waitedPasses is the number of passes after which a request that has had no
	// event must be waiting for a slot.
	waitedPasses = 2
	// coldShare is the part of a cold upstream's bearable rate that is used.
	coldShare = 0.9
)

// endpoint is an endpoint with what this entry knows of it.
type endpoint struct {
	dragonflyendpoint.Endpoint
	inFlight  int
	unread    float64 // prompt tokens of requests without a first event
	measure   dragonflyendpointspeed.Speed
	failures  int // in a row
	avoid     dragonflyinstant.Instant
	coldUntil dragonflyinstant.Instant
	coldRoom  float64 // requests that may be sent now while it is cold
	coldAt    dragonflyinstant.Instant
	sent      share

	// These are computed for each choice: the expected time of a pass before the
	// request, what the group was given for its speed, and the part of the slots in
	// use.
	ahead  dragonflyduration.Duration
	weight float64
	load   float64
}

// budget is the allowance for repeats of one service.
type budget struct {
	room float64
	at   dragonflyinstant.Instant
}

// Balance is the state of one entry. The zero Balance has no endpoints and
// allows no repeats.
type Balance struct {
	limits    dragonflyretrylimits.Limits
	endpoints dragonflymap.Map[string, endpoint] // by id
	outZones  dragonflymap.Map[string, bool]
	document  dragonflydocument.Document
	entries   int
	budgets   dragonflymap.Map[string, budget]   // by service
	rereads   dragonflymap.Map[string, reread]   // by service and model
	shedding  dragonflymap.Map[string, shedding] // by service and model
	turn      uint64
}

// New returns a balance that allows repeats within limits.
func New(limits dragonflyretrylimits.Limits) Balance { return Balance{limits: limits, entries: 1} }

// Step decides on the event ev that happened at now. The choice answers Choose.
func (b Balance) Step(now dragonflyinstant.Instant, ev dragonflybalanceevent.Event) (next Balance, c dragonflychoice.Choice) {
	switch ev.Kind {
	case dragonflybalanceevent.Choose:
		return b.choose(now, ev)
	case dragonflybalanceevent.Ended:
		return b.ended(now, ev), c
	case dragonflybalanceevent.Began:
		return b.began(now, ev), c
	case dragonflybalanceevent.Measured:
		return b.measured(ev), c
	case dragonflybalanceevent.TableReceived:
		return b.tabled(now, ev), c
	case dragonflybalanceevent.DocumentReceived:
		b.document, b.entries = ev.Document, max(ev.Entries, 1)
		b.outZones = dragonflymap.Map[string, bool]{}
		for _, z := range ev.OutZones {
			b.outZones = b.outZones.With(z, true)
		}
	}
	return b, c
}

// tabled takes the routing table. An endpoint that is missing from a table that
// is not complete is kept: a new leader may not have heard of it yet.
func (b Balance) tabled(now dragonflyinstant.Instant, ev dragonflybalanceevent.Event) Balance {
	var next dragonflymap.Map[string, endpoint]
	if !ev.Complete {
		next = b.endpoints
	}
	for _, row := range ev.Endpoints {
		old, ok := b.endpoints.Get(row.ID)
		if ok && old.Boot > row.Boot {
			continue
		}
		e := endpoint{Endpoint: row}
		if ok && old.Boot == row.Boot {
			e = old
			e.Endpoint = row
			e.Leaving = row.Leaving || old.Leaving && row.Group == "" && !ev.Complete
		}
		if ok && old.Epoch != row.Epoch {
			e.failures, e.avoid = 0, 0
		}
		if !ok || old.Epoch != row.Epoch || old.Boot != row.Boot {
			e.sent = b.newcomerShare(now, row.Service, row.Model)
		}
		e.coldUntil = 0
		if row.ColdLeft > 0 {
			e.coldUntil = now.Add(row.ColdLeft)
		}
		next = next.With(row.ID, e)
	}
	b.endpoints = next
	return b
}

func (b Balance) choose(now dragonflyinstant.Instant, ev dragonflybalanceevent.Event) (Balance, dragonflychoice.Choice) {
	b = b.refill(now, ev.Service)
	bud, _ := b.budgets.Get(ev.Service)
	if ev.Retry && bud.room < 1 {
		return b, dragonflychoice.Choice{Reason: "the budget for repeats is used up"}
	}
	b, refuse := b.sheds(now, ev)
	if refuse {
		return b, dragonflychoice.Choice{Reason: "the engines are overloaded", Overload: true}
	}
	svc, _ := b.document.Services().Get(ev.Service)
	allowed := reread{}
	if ev.Reread {
		if allowed = b.rereadOf(now, svc, ev); allowed.room <= 0 {
			return b, dragonflychoice.Choice{Reason: "the engines are reading other prompts again"}
		}
	}
	best, count, reason := b.best(now, ev)
	if count == 0 {
		return b, dragonflychoice.Choice{Reason: reason}
	}
	if best.full(ev.Limit) {
		return b, dragonflychoice.Choice{Reason: "the engines are full", Full: true, Candidates: count, InFlight: best.inFlight}
	}
	c := dragonflychoice.Choice{OK: true, Endpoint: best.Endpoint, Candidates: count, InFlight: best.inFlight}
	best.inFlight++
	best.unread += ev.Tokens
	best.sent = best.sent.with(ev.Tokens)
	best.coldRoom--
	b.endpoints = b.endpoints.With(best.ID, best)
	if ev.Reread {
		allowed.room -= ev.Tokens
		b.rereads = b.rereads.With(modelKey(ev.Service, ev.Model), allowed)
	}
	if ev.Retry {
		bud.room--
	} else {
		bud.room = min(bud.room+b.limits.Ratio*budgetShare, b.cap())
	}
	b.budgets = b.budgets.With(ev.Service, bud)
	b.turn++
	return b, c
}

// cap bounds the allowance that may be saved up.
func (b Balance) cap() float64 { return b.limits.Extra * budgetShare / 2 / float64(b.entries) }

// refill adds the time's share of the allowance.
func (b Balance) refill(now dragonflyinstant.Instant, service string) Balance {
	bud, ok := b.budgets.Get(service)
	if !ok {
		bud.room = b.cap()
	} else if b.limits.Window > 0 {
		bud.room = min(b.cap(), bud.room+b.cap()*now.Sub(bud.at).Seconds()/b.limits.Window.Seconds())
	}
	bud.at = now
	b.budgets = b.budgets.With(service, bud)
	return b
}

// best returns the endpoint that has been given least. Those that failed lately,
// or that are full, are used only if there is no other.
func (b Balance) best(now dragonflyinstant.Instant, ev dragonflybalanceevent.Event) (best endpoint, count int, reason string) {
	svc, _ := b.document.Services().Get(ev.Service)
	reason = "no endpoint serves the model"
	avoided, turn := true, uint64(0)
	for _, e := range b.endpoints.All() {
		if e.Service != ev.Service || svc.Grouped() && e.Model != ev.Model {
			continue
		}
		if out, _ := b.outZones.Get(e.Zone); out || e.Leaving || slices.Contains(ev.Exclude, e.ID) {
			reason = "all endpoints are taken out, leaving or tried"
			continue
		}
		e.sent = e.sent.decayed(now)
		e = e.estimated(svc, float64(b.entries), ev.Tokens).warmed(now, svc.ColdRate*coldShare/float64(b.entries))
		if e.coldUntil.After(now) && e.coldRoom < 1 {
			reason = "the endpoints are cold"
			continue
		}
		count++
		turn++
		bad := e.avoid.After(now) || e.full(ev.Limit)
		switch {
		case count == 1, avoided && !bad:
		case bad && !avoided:
			continue
		case e.busier(best):
			continue
		case !best.busier(e) && (b.turn+turn)%2 == 0:
			continue
		}
		best, avoided = e, bad
	}
	return best, count, reason
}

// full reports whether the endpoint is too busy for a request that needs passes
// of at most limit. An idle one never is. The request's own prompt does not count:
// long ones would be refused more often than short ones.
func (e endpoint) full(limit dragonflyduration.Duration) bool {
	return limit > 0 && e.inFlight > 0 && e.ahead > limit
}

// estimated returns e with its expected state once it has a request of tokens.
// What other entries send shows in the measured pass, or in the wait of requests
// for a slot.
func (e endpoint) estimated(svc dragonflydocumentservice.Service, entries, tokens float64) endpoint {
	e.load = float64(e.inFlight) / float64(max(e.Slots, 1))
	if !svc.Grouped() {
		return e
	}
	m, _ := svc.Engine.Model(e.Model)
	read := func(n float64) dragonflyduration.Duration { return svc.Engine.Pass(m, 0, n) - svc.Engine.Pass(m, 0, 0) }
	pass := e.measure.Pass
	if pass == 0 {
		pass = svc.Engine.Pass(m, float64(e.inFlight)*entries, 0)
	}
	e.ahead = pass + read(e.unread)
	if e.measure.Waited > waitedPasses*pass {
		e.ahead = max(e.ahead, e.measure.Waited)
	}
	e.weight = e.weigh(tokens)
	return e
}

// measured takes the speeds of endpoints. Those without streams have none.
func (b Balance) measured(ev dragonflybalanceevent.Event) Balance {
	for id, e := range b.endpoints.All() {
		i := slices.IndexFunc(ev.Speeds, func(m dragonflyendpointspeed.Speed) bool { return m.ID == id })
		var m dragonflyendpointspeed.Speed
		if i >= 0 {
			m = ev.Speeds[i]
		}
		if m != e.measure {
			e.measure = m
			b.endpoints = b.endpoints.With(id, e)
		}
	}
	return b
}

// busier reports whether e is the worse choice than f.
func (e endpoint) busier(f endpoint) bool {
	if e.weight != f.weight {
		return e.weight > f.weight
	}
	return e.load > f.load
}

// warmed refills the room for requests of a cold endpoint at rate a second.
func (e endpoint) warmed(now dragonflyinstant.Instant, rate float64) endpoint {
	if e.coldAt == 0 {
		e.coldRoom = 1
	} else {
		e.coldRoom = min(max(rate/4, 1), e.coldRoom+rate*now.Sub(e.coldAt).Seconds())
	}
	e.coldAt = now
	return e
}

func (b Balance) ended(now dragonflyinstant.Instant, ev dragonflybalanceevent.Event) Balance {
	e, ok := b.endpoints.Get(ev.ID)
	if !ok {
		return b
	}
	e.inFlight = max(e.inFlight-1, 0)
	if !ev.HadBegun {
		e.unread = max(e.unread-ev.Tokens, 0)
	}
	if e.inFlight == 0 {
		e.unread = 0
	}
	switch ev.Outcome {
	case dragonflybalanceevent.Served:
		e.failures, e.avoid = 0, 0
	case dragonflybalanceevent.Refused, dragonflybalanceevent.Unreachable, dragonflybalanceevent.Lost:
		e.failures++
		e.avoid = now.Add(min(MaxAvoid, MinAvoid<<min(e.failures-1, 5)))
	}
	b.endpoints = b.endpoints.With(ev.ID, e)
	return b
}
