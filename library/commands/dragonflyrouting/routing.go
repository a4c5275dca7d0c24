// Package dragonflyrouting selects the route of every attempt of an entry. It keeps
// the route table from control, the load reported with answers, the penalties of
// routes that refused or failed, and the retry budget of each class.
package dragonflyrouting

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/queries/dragonflyranking"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflyframe"
	"dragonflyrelay.example/library/values/dragonflyload"
	"dragonflyrelay.example/library/values/dragonflyroute"
	"dragonflyrelay.example/library/values/dragonflyroutingaction"
	"dragonflyrelay.example/library/values/dragonflyroutingevent"
	"dragonflyrelay.example/library/values/dragonflytable"
)

const (
	// sampleMaxAge is how long an entry's own load sample is preferred to the load
	// in control's table, which may be a few seconds old.
	sampleMaxAge = 2 * dragonflyduration.Second
	// firstTokenMaxAge is how long a smoothed first-token time is used. With about
	// six requests a second over hundreds of groups, an entry uses a group about
	// once a minute, so older values are meaningless.
	firstTokenMaxAge = 30 * dragonflyduration.Second
	// failPenalty is the penalty after the first failure. It doubles with each
	// further one up to failPenaltyMax, the time in which control repairs a group.
	failPenalty    = 250 * dragonflyduration.Millisecond
	failPenaltyMax = 4 * dragonflyduration.Second
	// statePenalty applies after a refusal that holds until the route's state
	// changes, which control's next table reports.
	statePenalty = dragonflyduration.Second
	// overloadPenalty applies after a refusal for overload without a retry delay.
	// A delay that the route suggests is used up to overloadPenaltyMax.
	overloadPenalty    = 100 * dragonflyduration.Millisecond
	overloadPenaltyMax = dragonflyduration.Second
)

// routeState is the entry's state of one route. It isn't modified once it is in the
// map. The map holds pointers because it copies up to 32 neighbouring values on every
// change.
type routeState struct {
	route     dragonflyroute.Route
	inFlight  int
	load      dragonflyload.Load
	sampledAt dragonflyinstant.Instant
	// sampledInFlight is the number of the entry's own attempts at the time of the
	// last sample.
	sampledInFlight int
	firstToken      dragonflyduration.Duration
	firstTokenAt    dragonflyinstant.Instant
	penaltyUntil    dragonflyinstant.Instant
	failures        int
	// removed is set if control's table no longer has the route; its state is kept
	// until the last attempt on it has ended.
	removed bool
}

// Routing is the state of an entry's routing. The zero value has no route.
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

// WithRanking returns the routing that ranks candidate routes by v.
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

// HasTable reports whether control has sent a table.
func (r Routing) HasTable() bool { return r.hasTable }

// Models returns the models that the entry has ever had a route for, so that a model
// whose groups are all lost is reported as unavailable rather than as unknown.
func (r Routing) Models() []string { return r.models.Keys() }

// HasSeenModel reports whether the entry has ever had a route for the model.
func (r Routing) HasSeenModel(name string) bool {
	_, ok := r.models.Get(name)
	return ok
}

// KnowsModels reports whether the entry knows all models, so that another one does not exist. It
// cannot while its table comes from a control instance that has not collected reports,
// which sends no term, or before it has had a route for any model.
func (r Routing) KnowsModels() bool { return r.term > 0 && r.models.Len() > 0 }

// ConfirmationAge returns the time since control confirmed the table and the
// configuration, and false if control has never sent a table.
func (r Routing) ConfirmationAge(now dragonflyinstant.Instant) (age dragonflyduration.Duration, ok bool) {
	return now.Sub(r.confirmedAt), r.hasTable
}

// InFlight returns the number of the entry's own attempts on the route.
func (r Routing) InFlight(key string) int {
	st, _ := r.state(key)
	return st.inFlight
}

func (r Routing) state(key string) (st routeState, ok bool) {
	p, ok := r.states.Get(key)
	if !ok {
		return st, false
	}
	return *p, true
}

func (r Routing) withState(st routeState) Routing {
	r.states = r.states.With(st.route.Key, &st)
	return r
}

// Routes returns the number of routes in the table.
func (r Routing) Routes() (n int) {
	for _, st := range r.states.All() {
		if !st.removed {
			n++
		}
	}
	return n
}

// Step returns the routing after the event ev, which occurred at now, and the actions
// to carry out.
func (r Routing) Step(now dragonflyinstant.Instant, ev dragonflyroutingevent.Event) (Routing, []dragonflyroutingaction.Action) {
	switch ev.Kind {
	case dragonflyroutingevent.ReceiveTable:
		return r.applyTable(now, ev.Table, ev.SentAt), nil
	case dragonflyroutingevent.Arrive:
		b, _ := r.budgets.Get(ev.Class)
		r.budgets = r.budgets.With(ev.Class, b.addRequest(now))
		return r, nil
	case dragonflyroutingevent.SelectRoute:
		return r.selectRoute(now, ev)
	default:
		return r.updateState(now, ev), nil
	}
}

// applyTable applies a table from control. A table or configuration that is older than
// the current one comes from a control instance that lags behind, and is ignored.
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
	st, ok := r.state(key)
	switch {
	case !ok:
	case st.inFlight == 0:
		r.states = r.states.Without(key)
	default:
		st.removed = true
		r = r.withState(st)
	}
	return r
}

func (r Routing) applyRoute(now dragonflyinstant.Instant, route dragonflyroute.Route) Routing {
	st, known := r.state(route.Key)
	moved := st.route.Fence != route.Fence || st.route.Address != route.Address
	becameReady := route.Ready && !st.route.Ready
	if known && (moved || becameReady) {
		st.penaltyUntil, st.failures = 0, 0
	}
	if st.sampledAt == 0 || now.Sub(st.sampledAt) > sampleMaxAge {
		st.load, st.sampledAt, st.sampledInFlight = route.Load, 0, st.inFlight
	}
	st.route, st.removed = route, false
	r = r.withState(st)
	if route.Model != "" && !r.HasSeenModel(route.Model) {
		r.models = r.models.With(route.Model, true)
	}
	return r
}

func (r Routing) updateState(now dragonflyinstant.Instant, ev dragonflyroutingevent.Event) Routing {
	st, ok := r.state(ev.Route)
	if !ok {
		return r
	}
	switch ev.Kind {
	case dragonflyroutingevent.Sample:
		st.load, st.sampledAt, st.sampledInFlight = ev.Load, now, st.inFlight
	case dragonflyroutingevent.Succeed:
		st.failures = 0
		st = st.withFirstToken(now, ev.FirstToken)
	case dragonflyroutingevent.Refuse:
		st.penaltyUntil = now.Add(refusePenalty(ev.Reason, ev.RetryAfter))
	case dragonflyroutingevent.Fail:
		st.penaltyUntil = now.Add(min(failPenalty<<min(st.failures, 8), failPenaltyMax))
		st.failures++
	}
	if ev.Kind != dragonflyroutingevent.Sample {
		st.inFlight--
	}
	if st.removed && st.inFlight <= 0 {
		r.states = r.states.Without(ev.Route)
		return r
	}
	return r.withState(st)
}

// withFirstToken smooths the time until the first token with a weight of 1/4, so that
// one slow answer doesn't exclude a route.
func (st routeState) withFirstToken(now dragonflyinstant.Instant, d dragonflyduration.Duration) routeState {
	if d <= 0 {
		return st
	}
	if st.firstToken == 0 || now.Sub(st.firstTokenAt) > firstTokenMaxAge {
		st.firstToken = d
	} else {
		st.firstToken += (d - st.firstToken) / 4
	}
	st.firstTokenAt = now
	return st
}

// refusePenalty returns how long a route gets no request after a refusal.
func refusePenalty(reason string, hint dragonflyduration.Duration) dragonflyduration.Duration {
	switch reason {
	case dragonflyframe.ReasonOverloaded:
		if hint <= 0 {
			hint = overloadPenalty
		}
		return min(hint, overloadPenaltyMax)
	case dragonflyframe.ReasonDeadline:
		return 0 // Requests with more time left may still be accepted.
	default:
		return statePenalty
	}
}
