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
	"dragonflyrelay.example/library/values/dragonflymeasure"
	"dragonflyrelay.example/library/values/dragonflyrepeatlimits"
)

// Bounds on avoiding an endpoint, and shares of bounds that are used.
const (
	// MinAvoid and MaxAvoid bound how long an endpoint that failed is avoided.
	MinAvoid = 300 * dragonflyduration.Millisecond
	MaxAvoid = 5 * dragonflyduration.Second
	// budgetShare is the part of the allowed repeats that is used. The rest
	// covers the windows' edges and entries that have just started.
	budgetShare = 0.8
	// slotWaitPasses is the number of passes after which a request that has had no
	// event must be waiting for a slot.
	slotWaitPasses = 2
	// coldShare is the part of a cold upstream's bearable rate that is used.
	coldShare = 0.9
)

// endpoint is an endpoint with what this entry knows of it.
type endpoint struct {
	dragonflyendpoint.Endpoint
	inFlight      int
	prefillTokens float64 // prompt tokens of requests without a first event
	speed         dragonflymeasure.Measure
	failures      int // in a row
	avoidUntil    dragonflyinstant.Instant
	coldUntil     dragonflyinstant.Instant
	coldAllowance float64 // requests that may be sent now while it is cold
	coldUpdatedAt dragonflyinstant.Instant
	recent        recentUsage

	// These are computed for each choice: the expected time of a pass before the
	// request, what the group was given for its speed, and the part of the slots in
	// use.
	expectedWait dragonflyduration.Duration
	cost         float64
	load         float64
}

// budget is the allowance for repeats of one service.
type budget struct {
	allowance float64
	updatedAt dragonflyinstant.Instant
}

// Balance is the state of one entry. The zero Balance has no endpoints and
// allows no repeats.
type Balance struct {
	limits         dragonflyrepeatlimits.Limits
	endpoints      dragonflymap.Map[string, endpoint] // by id
	outZones       dragonflymap.Map[string, bool]
	document       dragonflydocument.Document
	entries        int
	budgets        dragonflymap.Map[string, budget]        // by service
	prefillBudgets dragonflymap.Map[string, prefillBudget] // by service and model
	shedding       dragonflymap.Map[string, shedding]      // by service and model
	choices        uint64
}

// New returns a balance that allows repeats within limits.
func New(limits dragonflyrepeatlimits.Limits) Balance { return Balance{limits: limits, entries: 1} }

// Step decides on the event ev that happened at now. The choice answers Choose.
func (b Balance) Step(now dragonflyinstant.Instant, ev dragonflybalanceevent.Event) (next Balance, c dragonflychoice.Choice) {
	switch ev.Kind {
	case dragonflybalanceevent.Choose:
		return b.choose(now, ev)
	case dragonflybalanceevent.Ended:
		return b.endAttempt(now, ev), c
	case dragonflybalanceevent.Began:
		return b.recordFirstEvent(now, ev), c
	case dragonflybalanceevent.Measured:
		return b.applySpeeds(ev), c
	case dragonflybalanceevent.Tabled:
		return b.applyTable(now, ev), c
	case dragonflybalanceevent.Stated:
		b.document, b.entries = ev.Document, max(ev.Entries, 1)
		b.outZones = dragonflymap.Map[string, bool]{}
		for _, z := range ev.OutZones {
			b.outZones = b.outZones.With(z, true)
		}
	}
	return b, c
}

// applyTable takes the routing table. An endpoint that is missing from a table that
// is not complete is kept: a new leader may not have heard of it yet.
func (b Balance) applyTable(now dragonflyinstant.Instant, ev dragonflybalanceevent.Event) Balance {
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
			e.failures, e.avoidUntil = 0, 0
		}
		if !ok || old.Epoch != row.Epoch || old.Boot != row.Boot {
			e.recent = b.initialUsage(now, row.Service, row.Model)
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
	if ev.Repeat && bud.allowance < 1 {
		return b, dragonflychoice.Choice{Reason: "the budget for repeats is used up"}
	}
	b, refuse := b.shed(now, ev)
	if refuse {
		return b, dragonflychoice.Choice{Reason: "the engines are overloaded", Overload: true}
	}
	svc, _ := b.document.Services().Get(ev.Service)
	allowed := prefillBudget{}
	if ev.Reread {
		if allowed = b.refilledPrefillBudget(now, svc, ev); allowed.allowance <= 0 {
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
	best.prefillTokens += ev.Tokens
	best.recent = best.recent.withRequest(ev.Tokens)
	best.coldAllowance--
	b.endpoints = b.endpoints.With(best.ID, best)
	if ev.Reread {
		allowed.allowance -= ev.Tokens
		b.prefillBudgets = b.prefillBudgets.With(modelKey(ev.Service, ev.Model), allowed)
	}
	if ev.Repeat {
		bud.allowance--
	} else {
		bud.allowance = min(bud.allowance+b.limits.Ratio*budgetShare, b.maxAllowance())
	}
	b.budgets = b.budgets.With(ev.Service, bud)
	b.choices++
	return b, c
}

// maxAllowance bounds the allowance that may be saved up.
func (b Balance) maxAllowance() float64 { return b.limits.Extra * budgetShare / 2 / float64(b.entries) }

// refill adds the time's share of the allowance.
func (b Balance) refill(now dragonflyinstant.Instant, service string) Balance {
	bud, ok := b.budgets.Get(service)
	if !ok {
		bud.allowance = b.maxAllowance()
	} else if b.limits.Window > 0 {
		bud.allowance = min(b.maxAllowance(), bud.allowance+b.maxAllowance()*now.Sub(bud.updatedAt).Seconds()/b.limits.Window.Seconds())
	}
	bud.updatedAt = now
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
		e.recent = e.recent.decayed(now)
		e = e.withEstimates(svc, float64(b.entries), ev.Tokens).withColdRefill(now, svc.ColdRate*coldShare/float64(b.entries))
		if e.coldUntil.After(now) && e.coldAllowance < 1 {
			reason = "the endpoints are cold"
			continue
		}
		count++
		turn++
		bad := e.avoidUntil.After(now) || e.full(ev.Limit)
		switch {
		case count == 1, avoided && !bad:
		case bad && !avoided:
			continue
		case e.worseThan(best):
			continue
		case !best.worseThan(e) && (b.choices+turn)%2 == 0:
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
	return limit > 0 && e.inFlight > 0 && e.expectedWait > limit
}

// withEstimates returns e with its expected state once it has a request of tokens.
// What other entries send shows in the measured pass, or in the wait of requests
// for a slot.
func (e endpoint) withEstimates(svc dragonflydocumentservice.Service, entries, tokens float64) endpoint {
	e.load = float64(e.inFlight) / float64(max(e.Slots, 1))
	if !svc.Grouped() {
		return e
	}
	m, _ := svc.Engine.Model(e.Model)
	read := func(n float64) dragonflyduration.Duration { return svc.Engine.Pass(m, 0, n) - svc.Engine.Pass(m, 0, 0) }
	pass := e.speed.Pass
	if pass == 0 {
		pass = svc.Engine.Pass(m, float64(e.inFlight)*entries, 0)
	}
	e.expectedWait = pass + read(e.prefillTokens)
	if e.speed.Waited > slotWaitPasses*pass {
		e.expectedWait = max(e.expectedWait, e.speed.Waited)
	}
	e.cost = e.costWith(tokens)
	return e
}

// applySpeeds takes the speeds of endpoints. Those without streams have none.
func (b Balance) applySpeeds(ev dragonflybalanceevent.Event) Balance {
	for id, e := range b.endpoints.All() {
		i := slices.IndexFunc(ev.Measures, func(m dragonflymeasure.Measure) bool { return m.ID == id })
		var m dragonflymeasure.Measure
		if i >= 0 {
			m = ev.Measures[i]
		}
		if m != e.speed {
			e.speed = m
			b.endpoints = b.endpoints.With(id, e)
		}
	}
	return b
}

// worseThan reports whether e is the worse choice than f.
func (e endpoint) worseThan(f endpoint) bool {
	if e.cost != f.cost {
		return e.cost > f.cost
	}
	return e.load > f.load
}

// withColdRefill refills the room for requests of a cold endpoint at rate a second.
func (e endpoint) withColdRefill(now dragonflyinstant.Instant, rate float64) endpoint {
	if e.coldUpdatedAt == 0 {
		e.coldAllowance = 1
	} else {
		e.coldAllowance = min(max(rate/4, 1), e.coldAllowance+rate*now.Sub(e.coldUpdatedAt).Seconds())
	}
	e.coldUpdatedAt = now
	return e
}

func (b Balance) endAttempt(now dragonflyinstant.Instant, ev dragonflybalanceevent.Event) Balance {
	e, ok := b.endpoints.Get(ev.ID)
	if !ok {
		return b
	}
	e.inFlight = max(e.inFlight-1, 0)
	if !ev.HadBegun {
		e.prefillTokens = max(e.prefillTokens-ev.Tokens, 0)
	}
	if e.inFlight == 0 {
		e.prefillTokens = 0
	}
	switch ev.Outcome {
	case dragonflybalanceevent.Served:
		e.failures, e.avoidUntil = 0, 0
	case dragonflybalanceevent.Refused, dragonflybalanceevent.Unreachable, dragonflybalanceevent.Lost:
		e.failures++
		e.avoidUntil = now.Add(min(MaxAvoid, MinAvoid<<min(e.failures-1, 5)))
	}
	b.endpoints = b.endpoints.With(ev.ID, e)
	return b
}
