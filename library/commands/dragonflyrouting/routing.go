// Package dragonflyrouting chooses the route of every attempt of an entry. It
// keeps the table from control, the load learnt from answers, the penalties of
// routes that refused or failed, and the retry budget of each class.
package dragonflyrouting

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/queries/dragonflyranking"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflyload"
	"dragonflyrelay.example/library/values/dragonflypiece"
	"dragonflyrelay.example/library/values/dragonflyroute"
	"dragonflyrelay.example/library/values/dragonflyroutingaction"
	"dragonflyrelay.example/library/values/dragonflyroutingevent"
	"dragonflyrelay.example/library/values/dragonflytable"
)

const (
	// sampleMaxAge is how long an entry's own load sample is preferred to the one
	// in control's table, which is up to a few seconds old.
	sampleMaxAge = 2 * dragonflyduration.Second
	// firstTokenMaxAge is how long a smoothed first-token time is used. At about six
	// requests a second over hundreds of groups an entry meets a group about
	// once in a minute, so older values say nothing.
	firstTokenMaxAge = 30 * dragonflyduration.Second
	// failPenalty is the first penalty after a failure; it doubles with each
	// further one up to failPenaltyMax, within which control repairs a group.
	failPenalty    = 250 * dragonflyduration.Millisecond
	failPenaltyMax = 4 * dragonflyduration.Second
	// statePenalty follows a refusal that holds until the route's state
	// changes; control's next table tells when.
	statePenalty = dragonflyduration.Second
	// overloadPenalty follows a refusal for overload without a hint.
	overloadPenalty    = 100 * dragonflyduration.Millisecond
	overloadPenaltyMax = dragonflyduration.Second
)

// routeState is what the entry knows of one route. It is never written once it is in
// the map, which holds pointers because it copies up to 32 neighbours on every
// change.
type routeState struct {
	route     dragonflyroute.Route
	inFlight  int
	load      dragonflyload.Load
	sampledAt dragonflyinstant.Instant
	// sampledInFlight is the entry's own part of the last sample.
	sampledInFlight int
	firstToken      dragonflyduration.Duration
	firstTokenAt    dragonflyinstant.Instant
	penaltyUntil    dragonflyinstant.Instant
	failures        int
	// removed tells that control's table has dropped the route; the record stays
	// until the last attempt on it has ended.
	removed bool
}

// Routing is the state of an entry's routing. The zero value knows no route.
type Routing struct {
	ranking     dragonflyranking.Ranking
	cfg         dragonflyconfig.Config
	term        uint64
	revision    uint64
	hasTable    bool
	confirmedAt dragonflyinstant.Instant
	states      dragonflymap.Map[string, *routeState]
	models      dragonflymap.Map[string, bool]
	budgets     dragonflymap.Map[string, budget]
}

// WithRanking returns the routing that chooses routes by v.
func (r Routing) WithRanking(v dragonflyranking.Ranking) Routing {
	r.ranking = v
	return r
}

// Config returns the configuration in force.
func (r Routing) Config() dragonflyconfig.Config { return r.cfg }

// Term returns the term of the table.
func (r Routing) Term() uint64 { return r.term }

// Revision returns the revision of the table.
func (r Routing) Revision() uint64 { return r.revision }

// HasTable reports whether a table has arrived.
func (r Routing) HasTable() bool { return r.hasTable }

// Models returns the models that the entry has had a route for, so that a model
// whose groups are all lost is unavailable rather than unknown.
func (r Routing) Models() []string { return r.models.Keys() }

// HasSeenModel reports whether the entry has had a route for the model.
func (r Routing) HasSeenModel(name string) bool {
	_, ok := r.models.Get(name)
	return ok
}

// ConfirmationAge returns how old the entry's knowledge is at now, and false if
// control has never answered.
func (r Routing) ConfirmationAge(now dragonflyinstant.Instant) (age dragonflyduration.Duration, ok bool) {
	return now.Sub(r.confirmedAt), r.hasTable
}

// InFlight returns the entry's own attempts on the route.
func (r Routing) InFlight(key string) int {
	rec, _ := r.state(key)
	return rec.inFlight
}

func (r Routing) state(key string) (rec routeState, ok bool) {
	p, ok := r.states.Get(key)
	if !ok {
		return rec, false
	}
	return *p, true
}

func (r Routing) withState(rec routeState) Routing {
	r.states = r.states.With(rec.route.Key, &rec)
	return r
}

// Routes returns the number of routes in the table.
func (r Routing) Routes() (n int) {
	for _, rec := range r.states.All() {
		if !rec.removed {
			n++
		}
	}
	return n
}

// Step decides on ev at now.
func (r Routing) Step(now dragonflyinstant.Instant, ev dragonflyroutingevent.Event) (Routing, []dragonflyroutingaction.Action) {
	switch ev.Kind {
	case dragonflyroutingevent.Learn:
		return r.applyTable(now, ev.Table, ev.SentAt), nil
	case dragonflyroutingevent.Arrive:
		b, _ := r.budgets.Get(ev.Class)
		r.budgets = r.budgets.With(ev.Class, b.addRequest(now))
		return r, nil
	case dragonflyroutingevent.Want:
		return r.selectRoute(now, ev)
	default:
		return r.updateState(now, ev), nil
	}
}

// applyTable takes over a table. An older configuration or table than the known one
// comes from a control instance that lags, and is ignored.
func (r Routing) applyTable(now dragonflyinstant.Instant, t dragonflytable.Table, sentAt dragonflyinstant.Instant) Routing {
	if at := sentAt.Add(-t.ConfirmationAge); !r.hasTable || at.After(r.confirmedAt) {
		r.confirmedAt = at
	}
	if t.HasConfig && (!r.hasTable || t.Config.Version() > r.cfg.Version()) {
		r.cfg = t.Config
	}
	if r.hasTable && (t.Term < r.term || (t.Term == r.term && t.Revision < r.revision)) {
		return r
	}
	r.term, r.revision, r.hasTable = t.Term, t.Revision, true
	if t.Complete {
		r = r.removeMissing(t.Routes)
	}
	for _, key := range t.Removed {
		r = r.remove(key)
	}
	for _, route := range t.Routes {
		r = r.applyRoute(now, route)
	}
	return r
}

func (r Routing) removeMissing(routes []dragonflyroute.Route) Routing {
	listed := make(map[string]bool, len(routes))
	for _, route := range routes {
		listed[route.Key] = true
	}
	for _, key := range r.states.Keys() {
		if !listed[key] {
			r = r.remove(key)
		}
	}
	return r
}

func (r Routing) remove(key string) Routing {
	rec, ok := r.state(key)
	switch {
	case !ok:
	case rec.inFlight == 0:
		r.states = r.states.Without(key)
	default:
		rec.removed = true
		r = r.withState(rec)
	}
	return r
}

func (r Routing) applyRoute(now dragonflyinstant.Instant, route dragonflyroute.Route) Routing {
	rec, known := r.state(route.Key)
	moved := rec.route.Fence != route.Fence || rec.route.Address != route.Address
	becameReady := route.Ready && !rec.route.Ready
	if known && (moved || becameReady) {
		rec.penaltyUntil, rec.failures = 0, 0
	}
	if rec.sampledAt == 0 || now.Sub(rec.sampledAt) > sampleMaxAge {
		rec.load, rec.sampledAt, rec.sampledInFlight = route.Load, 0, rec.inFlight
	}
	rec.route, rec.removed = route, false
	r = r.withState(rec)
	if route.Model != "" && !r.HasSeenModel(route.Model) {
		r.models = r.models.With(route.Model, true)
	}
	return r
}

func (r Routing) updateState(now dragonflyinstant.Instant, ev dragonflyroutingevent.Event) Routing {
	rec, ok := r.state(ev.Route)
	if !ok {
		return r
	}
	switch ev.Kind {
	case dragonflyroutingevent.Sample:
		rec.load, rec.sampledAt, rec.sampledInFlight = ev.Load, now, rec.inFlight
	case dragonflyroutingevent.Succeed:
		rec.failures = 0
		rec = rec.withFirstToken(now, ev.FirstToken)
	case dragonflyroutingevent.Refuse:
		rec.penaltyUntil = now.Add(refusePenalty(ev.Reason, ev.RetryAfter))
	case dragonflyroutingevent.Fail:
		rec.penaltyUntil = now.Add(min(failPenalty<<min(rec.failures, 8), failPenaltyMax))
		rec.failures++
	}
	if ev.Kind != dragonflyroutingevent.Sample {
		rec.inFlight--
	}
	if rec.removed && rec.inFlight <= 0 {
		r.states = r.states.Without(ev.Route)
		return r
	}
	return r.withState(rec)
}

// withFirstToken smooths the time until the first token with a weight of 1/4, so
// that one slow answer does not turn a route away.
func (c routeState) withFirstToken(now dragonflyinstant.Instant, d dragonflyduration.Duration) routeState {
	if d <= 0 {
		return c
	}
	if c.firstToken == 0 || now.Sub(c.firstTokenAt) > firstTokenMaxAge {
		c.firstToken = d
	} else {
		c.firstToken += (d - c.firstToken) / 4
	}
	c.firstTokenAt = now
	return c
}

// refusePenalty returns how long a route that refused is left alone.
func refusePenalty(reason string, hint dragonflyduration.Duration) dragonflyduration.Duration {
	switch reason {
	case dragonflypiece.ReasonOverloaded:
		if hint <= 0 {
			hint = overloadPenalty
		}
		return min(hint, overloadPenaltyMax)
	case dragonflypiece.ReasonDeadline:
		return 0 // It says nothing about requests that have more time.
	default:
		return statePenalty
	}
}
