// Package dragonflybalance chooses the endpoints of an entry's attempts and limits
// retries and the load on cold upstreams. Limits that hold over all entries are divided
// by their number, so that entries need no coordination.
package dragonflybalance

import (
	"slices"

	"dragonflyrelay.example/library/commands/dragonflyleaving"
	"dragonflyrelay.example/library/commands/dragonflypause"
	"dragonflyrelay.example/library/commands/dragonflyrankadmission"
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

// Limits on avoiding an endpoint, and the shares of configured limits that are used.
const (
	// MinAvoid and MaxAvoid bound how long an endpoint that failed is avoided.
	MinAvoid = 300 * dragonflyduration.Millisecond
	MaxAvoid = 5 * dragonflyduration.Second
	// budgetShare is the share of the allowed retries that is used. The rest covers
	// the edges of the windows and entries that have just started.
	budgetShare = 0.8
	// slotWaitPasses is the number of passes after which a request without an event
	// must be waiting for a slot.
	slotWaitPasses = 2
)

// Reasons for the choice of no endpoint while those that could serve the request get as
// many as they take, are cold, or have asked for a pause.
const (
	reasonLimited = "the endpoints have reached their limits"
	reasonCold    = "the endpoints are cold"
	reasonPausing = "the endpoints have asked for a pause"
)

// Reasons for the choice of no endpoint while there is none that could serve the request.
const (
	reasonAbsent = "no endpoint serves the model"
	reasonOut    = "all endpoints are taken out, leaving or tried"
)

// endpoint is an endpoint with this entry's state of it.
type endpoint struct {
	dragonflyendpoint.Endpoint
	inFlight      int
	prefillTokens float64 // prompt tokens of requests without a first event
	speed         dragonflyendpointspeed.Speed
	failures      int // consecutive
	avoidUntil    dragonflyinstant.Instant
	coldUntil     dragonflyinstant.Instant
	coldAllowance float64 // requests that may be sent now while the endpoint is cold
	coldUpdatedAt dragonflyinstant.Instant
	guardUntil    dragonflyinstant.Instant // until then it may be cold without its report
	recent        recentUsage

	// The fields below are computed for each choice: the expected time until a pass
	// of the engine over its batch includes the request, the cost of choosing the endpoint, and the share of its
	// slots in use.
	expectedWait dragonflyduration.Duration
	cost         float64
	load         float64
}

// Balance is the load balancing state of one entry. The zero Balance has no endpoints
// and allows no retries.
type Balance struct {
	limits         dragonflyretrylimits.Limits
	seed           uint64                             // differs from entry to entry
	endpoints      dragonflymap.Map[string, endpoint] // by id
	outZones       dragonflymap.Map[string, bool]
	document       dragonflydocument.Document
	entries        entryCount
	budgets        dragonflymap.Map[string, budget]                           // by service
	prefillBudgets dragonflymap.Map[string, prefillBudget]                    // by service and model
	shedding       dragonflymap.Map[string, shedding]                         // by service and model
	admissions     dragonflymap.Map[string, dragonflyrankadmission.Admission] // by service and model
	rateLimits     dragonflymap.Map[string, limit]                            // of endpoints, by id
	limitSequence  uint64                                                     // number of the latest change that an answer has shown
	leaving        dragonflyleaving.Leaving                                   // endpoints whose answers say that they leave
	pauses         dragonflypause.Pauses                                      // that endpoints have asked for
	choices        uint64
}

// New returns a balance that allows retries within limits.
func New(limits dragonflyretrylimits.Limits) Balance { return Balance{limits: limits} }

// WithSeed returns the balance with a number that differs from that of the other
// entries. It keeps entries that learn of a cold endpoint at once from sending their
// first requests to it at once.
func (b Balance) WithSeed(seed uint64) Balance {
	b.seed = seed
	return b
}

// Step returns the balance after the event ev, which occurred at now. The choice is set
// only for Choose.
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
	case dragonflybalanceevent.TableReceived:
		return b.applyTable(now, ev), c
	case dragonflybalanceevent.LimitAnswered:
		return b.withAnsweredLimit(now, ev), c
	case dragonflybalanceevent.LimitsReceived:
		return b.withReceivedLimits(now, ev), c
	case dragonflybalanceevent.LeavingAnswered:
		b.leaving = b.leaving.WithAnswer(now, ev.ID, ev.Boot)
	case dragonflybalanceevent.AdmissionsReceived:
		return b.withAdmissions(now, ev), c
	case dragonflybalanceevent.PauseAnswered:
		return b.withAnsweredPause(now, ev), c
	case dragonflybalanceevent.DocumentReceived:
		b.document = ev.Document
		b.entries = b.entries.withReported(now, ev)
		b = b.withOutZones(now, ev.OutZones)
	}
	return b, c
}

// withOutZones returns the balance with the zones that are taken out. The endpoints of a
// zone that returns count as cold until their reports say whether they are.
func (b Balance) withOutZones(now dragonflyinstant.Instant, zones []string) Balance {
	before := b.outZones
	b.outZones = dragonflymap.Map[string, bool]{}
	for _, z := range zones {
		b.outZones = b.outZones.With(z, true)
	}
	for id, e := range b.endpoints.All() {
		wasOut, _ := before.Get(e.Zone)
		svc, _ := b.document.Services().Get(e.Service)
		if out, _ := b.outZones.Get(e.Zone); wasOut && !out && svc.ColdRate > 0 {
			e.guardUntil = now.Add(returnGuard)
			e.coldUntil = max(e.coldUntil, e.guardUntil)
			// What was not sent to a zone that was out must not be made up for at once.
			e.coldAllowance, e.coldUpdatedAt = b.firstColdAllowance(id), now
			b.endpoints = b.endpoints.With(id, e)
		}
	}
	return b
}

// applyTable applies the routing table of ev. An endpoint that is missing from an
// incomplete table is kept, because it may not have reported to a new leader yet.
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
		until := e.guardUntil
		if row.ColdLeft > 0 {
			until = max(until, now.Add(row.ColdLeft))
		}
		e = b.withCold(e, now, until)
		next = next.With(row.ID, e)
	}
	b.endpoints = next
	if ev.Complete {
		b = b.withoutOldLimits(now).withoutOldSignals(now)
	}
	return b
}

func (b Balance) choose(now dragonflyinstant.Instant, ev dragonflybalanceevent.Event) (Balance, dragonflychoice.Choice) {
	b = b.refill(now, ev.Service)
	bud, _ := b.budgets.Get(ev.Service)
	if ev.Retry && bud.allowance < 1 {
		return b, dragonflychoice.Choice{Reason: "the budget for repeats is used up"}
	}
	b, refuse := b.shed(now, ev)
	if refuse {
		return b, b.overloaded(now, ev)
	}
	if ev.Hedge && b.sheds(now, ev) {
		return b, dragonflychoice.Choice{Reason: reasonSheds}
	}
	svc, _ := b.document.Services().Get(ev.Service)
	prefill := prefillBudget{}
	if ev.RepeatedPrefill {
		if prefill = b.refilledPrefillBudget(now, svc, ev); prefill.allowance <= 0 {
			return b, dragonflychoice.Choice{Reason: "the engines are reading other prompts again"}
		}
	}
	best, count, reason, pause := b.best(now, ev)
	if count == 0 {
		c := refusal(reason, pause)
		c.Absent = pause == 0 && b.absent(ev)
		c.Cold = c.Cold || pause == 0 && reason == reasonOut && !c.Absent
		return b, c
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
	b = b.withRequestTo(now, best.ID, best.Boot)
	b.pauses = b.pauses.WithRequest(now, best.ID, best.Boot, b.returnRate(svc, best))
	if ev.RepeatedPrefill {
		prefill.allowance -= ev.Tokens
		b.prefillBudgets = b.prefillBudgets.With(modelKey(ev.Service, ev.Model), prefill)
	}
	if ev.Retry {
		bud.allowance--
	} else {
		bud.allowance = min(bud.allowance+b.limits.Ratio*budgetShare, b.maxAllowance())
	}
	b.budgets = b.budgets.With(ev.Service, bud)
	b.choices++
	return b, c
}

// best returns the endpoint with the lowest cost, the number of candidates and, if there
// are none, the reason and the time until the first pause of an endpoint ends. Endpoints
// that failed recently, are silent or full are chosen only if there is no other. Successive
// calls choose different ones of equal endpoints.
func (b Balance) best(now dragonflyinstant.Instant, ev dragonflybalanceevent.Event) (best endpoint, count int, reason string, pause dragonflyduration.Duration) {
	svc, _ := b.document.Services().Get(ev.Service)
	reason = reasonAbsent
	avoided, seen := true, uint64(0)
	for _, e := range b.endpoints.All() {
		if !serves(svc, e, ev) {
			continue
		}
		if b.out(e, ev) {
			reason = reasonOut
			continue
		}
		if wait := b.pauses.Wait(now, e.ID, e.Boot, b.returnRate(svc, e)); wait > 0 {
			pause = earliest(pause, wait)
			continue
		}
		e.recent = e.recent.decayed(now)
		e = e.withEstimates(svc, b.entries.divisor(), ev.Tokens).withColdRefill(now, svc.ColdRate*coldShare/b.entries.divisor())
		if e.coldUntil.After(now) && e.coldAllowance < 1 {
			reason = reasonCold
			continue
		}
		if _, ok := b.permitted(now, e.ID, e.Boot); !ok {
			reason = reasonLimited
			continue
		}
		if ev.Move && (e.avoidUntil.After(now) || e.Silent) {
			reason = "all endpoints have failed recently or are silent"
			continue
		}
		if ev.Hedge && (!e.spare(now, ev.Limit) || b.isLimited(e)) {
			reason = reasonNoSpare
			continue
		}
		count++
		seen++
		bad := e.avoidUntil.After(now) || e.Silent || e.full(ev.Limit)
		switch {
		case count == 1, avoided && !bad:
		case bad && !avoided:
			continue
		case e.worseThan(best):
			continue
		case !best.worseThan(e) && (b.choices+seen)%2 == 0:
			continue
		}
		best, avoided = e, bad
	}
	return best, count, reason, pause
}

// full reports whether the endpoint is too busy for a request that needs passes of at
// most limit. An idle endpoint is never full. The request's own prompt isn't counted,
// since long prompts would be refused more often than short ones.
func (e endpoint) full(limit dragonflyduration.Duration) bool {
	return limit > 0 && e.inFlight > 0 && e.expectedWait > limit
}

// withEstimates returns e with the estimates for a request with a prompt of the given
// tokens. The load of other entries is included through the measured pass time and the
// time that requests wait for a slot.
func (e endpoint) withEstimates(svc dragonflydocumentservice.Service, entries, tokens float64) endpoint {
	e.load = float64(e.inFlight) / float64(max(e.Slots, 1))
	if !svc.Grouped() {
		return e
	}
	m, _ := svc.Engine.Model(e.Model)
	prefillTime := func(n float64) dragonflyduration.Duration { return svc.Engine.Pass(m, 0, n) - svc.Engine.Pass(m, 0, 0) }
	pass := e.speed.Pass
	if pass == 0 {
		pass = svc.Engine.Pass(m, float64(e.inFlight)*entries, 0)
	}
	e.expectedWait = pass + prefillTime(e.prefillTokens)
	if e.speed.Waited > slotWaitPasses*pass {
		e.expectedWait = max(e.expectedWait, e.speed.Waited)
	}
	e.cost = e.costWith(tokens)
	return e
}

// applySpeeds applies the measured speeds. Endpoints without streams have none.
func (b Balance) applySpeeds(ev dragonflybalanceevent.Event) Balance {
	for id, e := range b.endpoints.All() {
		i := slices.IndexFunc(ev.Speeds, func(m dragonflyendpointspeed.Speed) bool { return m.ID == id })
		var m dragonflyendpointspeed.Speed
		if i >= 0 {
			m = ev.Speeds[i]
		}
		if m != e.speed {
			e.speed = m
			b.endpoints = b.endpoints.With(id, e)
		}
	}
	return b
}

// worseThan reports whether e is a worse choice than f.
func (e endpoint) worseThan(f endpoint) bool {
	if e.cost != f.cost {
		return e.cost > f.cost
	}
	return e.load > f.load
}

// endAttempt records the end of an attempt. An endpoint that refused or failed is
// avoided for MinAvoid, which doubles with each consecutive time up to MaxAvoid.
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
