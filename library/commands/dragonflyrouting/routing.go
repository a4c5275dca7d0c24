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
	"dragonflyrelay.example/library/values/dragonflyframe"
	"dragonflyrelay.example/library/values/dragonflyload"
	"dragonflyrelay.example/library/values/dragonflyroute"
	"dragonflyrelay.example/library/values/dragonflyroutingaction"
	"dragonflyrelay.example/library/values/dragonflyroutingevent"
	"dragonflyrelay.example/library/values/dragonflytable"
)

const (
	// sampleAge is how long an entry's own load sample is preferred to the one
	// in control's table, which is up to a few seconds old.
	sampleAge = 2 * dragonflyduration.Second
	// historyAge is how long a smoothed first-token time is used. At about six
	// requests a second over hundreds of groups an entry meets a group about
	// once in a minute, so older values say nothing.
	historyAge = 30 * dragonflyduration.Second
	// failPenalty is the first penalty after a failure; it doubles with each
	// further one up to failPenaltyMax, within which control repairs a group.
	failPenalty    = 250 * dragonflyduration.Millisecond
	failPenaltyMax = 4 * dragonflyduration.Second
	// statePenalty follows a refusal that holds until the route's state
	// changes; control's next table tells when.
	statePenalty = dragonflyduration.Second
	// busyPenalty follows a refusal for overload without a hint.
	busyPenalty    = 100 * dragonflyduration.Millisecond
	busyPenaltyMax = dragonflyduration.Second
)

// record is what the entry knows of one route. It is never written once it is in
// the map, which holds pointers because it copies up to 32 neighbours on every
// change.
type record struct {
	route     dragonflyroute.Route
	inFlight  int
	load      dragonflyload.Load
	sampledAt dragonflyinstant.Instant
	// sampledOwn is the entry's own part of the last sample.
	sampledOwn   int
	firstToken   dragonflyduration.Duration
	firstTokenAt dragonflyinstant.Instant
	penaltyUntil dragonflyinstant.Instant
	failures     int
	// gone tells that control's table has dropped the route; the record stays
	// until the last attempt on it has ended.
	gone bool
}

// Routing is the state of an entry's routing. The zero value knows no route.
type Routing struct {
	ranking     dragonflyranking.Ranking
	cfg         dragonflyconfig.Config
	term        uint64
	revision    uint64
	learnt      bool
	confirmedAt dragonflyinstant.Instant
	records     dragonflymap.Map[string, *record]
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

// Learnt reports whether a table has arrived.
func (r Routing) Learnt() bool { return r.learnt }

// Models returns the models that the entry has had a route for, so that a model
// whose groups are all lost is unavailable rather than unknown.
func (r Routing) Models() []string { return r.models.Keys() }

// KnowsModel reports whether the entry has had a route for the model.
func (r Routing) KnowsModel(name string) bool {
	_, ok := r.models.Get(name)
	return ok
}

// ConfirmationAge returns how old the entry's knowledge is at now, and false if
// control has never answered.
func (r Routing) ConfirmationAge(now dragonflyinstant.Instant) (age dragonflyduration.Duration, ok bool) {
	return now.Sub(r.confirmedAt), r.learnt
}

// InFlight returns the entry's own attempts on the route.
func (r Routing) InFlight(key string) int {
	rec, _ := r.record(key)
	return rec.inFlight
}

func (r Routing) record(key string) (rec record, ok bool) {
	p, ok := r.records.Get(key)
	if !ok {
		return rec, false
	}
	return *p, true
}

func (r Routing) withRecord(rec record) Routing {
	r.records = r.records.With(rec.route.Key, &rec)
	return r
}

// Routes returns the number of routes in the table.
func (r Routing) Routes() (n int) {
	for _, rec := range r.records.All() {
		if !rec.gone {
			n++
		}
	}
	return n
}

// Step decides on ev at now.
func (r Routing) Step(now dragonflyinstant.Instant, ev dragonflyroutingevent.Event) (Routing, []dragonflyroutingaction.Action) {
	switch ev.Kind {
	case dragonflyroutingevent.ReceiveTable:
		return r.learn(now, ev.Table, ev.SentAt), nil
	case dragonflyroutingevent.Arrive:
		b, _ := r.budgets.Get(ev.Class)
		r.budgets = r.budgets.With(ev.Class, b.arrive(now))
		return r, nil
	case dragonflyroutingevent.SelectRoute:
		return r.want(now, ev)
	default:
		return r.observe(now, ev), nil
	}
}

// learn takes over a table. An older configuration or table than the known one
// comes from a control instance that lags, and is ignored.
func (r Routing) learn(now dragonflyinstant.Instant, t dragonflytable.Table, sentAt dragonflyinstant.Instant) Routing {
	if at := sentAt.Add(-t.ConfirmationAge); !r.learnt || at.After(r.confirmedAt) {
		r.confirmedAt = at
	}
	if t.HasConfig && (!r.learnt || t.Config.Version() > r.cfg.Version()) {
		r.cfg = t.Config
	}
	if r.learnt && (t.Term < r.term || (t.Term == r.term && t.Revision < r.revision)) {
		return r
	}
	r.term, r.revision, r.learnt = t.Term, t.Revision, true
	if t.Complete {
		r = r.dropMissing(t.Routes)
	}
	for _, key := range t.Removed {
		r = r.drop(key)
	}
	for _, route := range t.Routes {
		r = r.update(now, route)
	}
	return r
}

func (r Routing) dropMissing(routes []dragonflyroute.Route) Routing {
	listed := make(map[string]bool, len(routes))
	for _, route := range routes {
		listed[route.Key] = true
	}
	for _, key := range r.records.Keys() {
		if !listed[key] {
			r = r.drop(key)
		}
	}
	return r
}

func (r Routing) drop(key string) Routing {
	rec, ok := r.record(key)
	switch {
	case !ok:
	case rec.inFlight == 0:
		r.records = r.records.Without(key)
	default:
		rec.gone = true
		r = r.withRecord(rec)
	}
	return r
}

func (r Routing) update(now dragonflyinstant.Instant, route dragonflyroute.Route) Routing {
	rec, known := r.record(route.Key)
	moved := rec.route.Fence != route.Fence || rec.route.Address != route.Address
	becameReady := route.Ready && !rec.route.Ready
	if known && (moved || becameReady) {
		rec.penaltyUntil, rec.failures = 0, 0
	}
	if rec.sampledAt == 0 || now.Sub(rec.sampledAt) > sampleAge {
		rec.load, rec.sampledAt, rec.sampledOwn = route.Load, 0, rec.inFlight
	}
	rec.route, rec.gone = route, false
	r = r.withRecord(rec)
	if route.Model != "" && !r.KnowsModel(route.Model) {
		r.models = r.models.With(route.Model, true)
	}
	return r
}

func (r Routing) observe(now dragonflyinstant.Instant, ev dragonflyroutingevent.Event) Routing {
	rec, ok := r.record(ev.Route)
	if !ok {
		return r
	}
	switch ev.Kind {
	case dragonflyroutingevent.Sample:
		rec.load, rec.sampledAt, rec.sampledOwn = ev.Load, now, rec.inFlight
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
	if rec.gone && rec.inFlight <= 0 {
		r.records = r.records.Without(ev.Route)
		return r
	}
	return r.withRecord(rec)
}

// withFirstToken smooths the time until the first token with a weight of 1/4, so
// that one slow answer does not turn a route away.
func (c record) withFirstToken(now dragonflyinstant.Instant, d dragonflyduration.Duration) record {
	if d <= 0 {
		return c
	}
	if c.firstToken == 0 || now.Sub(c.firstTokenAt) > historyAge {
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
	case dragonflyframe.ReasonOverloaded:
		if hint <= 0 {
			hint = busyPenalty
		}
		return min(hint, busyPenaltyMax)
	case dragonflyframe.ReasonDeadline:
		return 0 // It says nothing about requests that have more time.
	default:
		return statePenalty
	}
}
