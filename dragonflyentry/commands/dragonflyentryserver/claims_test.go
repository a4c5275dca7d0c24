package dragonflyentryserver_test

import (
	"context"
	"sync/atomic"
	"testing"

	"dragonflyrelay.example/dragonflyentry/queries/dragonflyentrysettings"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyframe"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"dragonflyrelay.example/library/values/dragonflywork"
	. "github.com/smartystreets/goconvey/convey"
)

// reserve makes a call with an idempotency key.
func reserve(e *runningEntry, key, body string) response {
	return post(e.url+"/services/orders/reserve", body, "Idempotency-Key", key, "call", key)
}

// shortRouteWait keeps the wait for a route out of the tests' time.
func shortRouteWait(s *dragonflyentrysettings.Settings) { s.RouteWait = 100e6 }

func TestClaims(t *testing.T) {
	Convey("A repeat gets the stored answer and does not run", t, func() {
		a := newAgent(t, nil)
		e := startEntry(t, shortRouteWait, newControl(t, serviceRoute(1, a)))
		one, two := reserve(e, "k1", "seda"), reserve(e, "k1", "seda")
		So(one.status, ShouldEqual, 201)
		So(two.status, ShouldEqual, 201)
		So(two.body, ShouldEqual, one.body)
		So(one.header.Get("dragonfly-replayed"), ShouldBeEmpty)
		So(two.header.Get("dragonfly-replayed"), ShouldEqual, "true")
		So(a.runsOf("k1"), ShouldEqual, 1)
		assertError(reserve(e, "k1", "lino"), 422, "not-run", "key-mismatch")
		So(reserve(e, "k2", "lino").status, ShouldEqual, 201)
	})
	Convey("A call in progress is not run again; its answer is stored without its caller", t, func() {
		a, goOn := newAgent(t, nil), make(chan struct{})
		a.serve = func(ctx context.Context, a *fakeAgent, w dragonflywork.Work, send func(dragonflyframe.Frame) error) {
			<-goOn
			answer(ctx, a, w, send)
		}
		e := startEntry(t, shortRouteWait, newControl(t, serviceRoute(1, a)))
		first := make(chan response, 1)
		go func() { first <- reserve(e, "k", "seda") }()
		eventually(t, "the first call is sent", func() bool { return a.works.Load() == 1 })
		assertError(reserve(e, "k", "seda"), 409, "unknown", "in-progress")
		close(goOn)
		So((<-first).status, ShouldEqual, 201)
		So(reserve(e, "k", "seda").status, ShouldEqual, 201)
		So(a.runsOf("k"), ShouldEqual, 1)
	})
	Convey("A call whose answer is lost is unknown, then and on repeats, and runs once", t, func() {
		a := newAgent(t, func(_ context.Context, a *fakeAgent, w dragonflywork.Work, _ func(dragonflyframe.Frame) error) {
			a.countRun(w)
		})
		e := startEntry(t, shortRouteWait, newControl(t, serviceRoute(1, a), serviceRoute(2, a)))
		assertError(reserve(e, "k", "seda"), 502, "unknown", "connection-lost")
		assertError(reserve(e, "k", "seda"), 409, "unknown", "outcome-unknown")
		So(a.runsOf("k"), ShouldEqual, 1)
	})
	Convey("A refused call gives its claim back, so that a repeat may run", t, func() {
		var ready atomic.Bool
		a := newAgent(t, func(ctx context.Context, a *fakeAgent, w dragonflywork.Work, send func(dragonflyframe.Frame) error) {
			if !ready.Load() {
				refuseWork("overloaded")(ctx, a, w, send)
				return
			}
			answer(ctx, a, w, send)
		})
		e := startEntry(t, shortRouteWait, newControl(t, serviceRoute(1, a)))
		assertError(reserve(e, "k", "seda"), 503, "not-run", "overloaded")
		So(a.runsOf("k"), ShouldEqual, 0)
		ready.Store(true)
		eventually(t, "the route is used again", func() bool { return reserve(e, "k", "seda").status == 201 })
		So(a.runsOf("k"), ShouldEqual, 1)
	})
	Convey("Without a quorum the call is not run", t, func() {
		a := newAgent(t, nil)
		c := newControl(t, serviceRoute(1, a))
		e := startEntry(t, shortRouteWait, c)
		c.setFail(func(dragonflychange.Change) dragonflyresult.Result {
			return dragonflyresult.Result{Outcome: dragonflyresult.NotRun}
		})
		assertError(reserve(e, "k", "seda"), 503, "not-run", "no-quorum")
		So(a.works.Load(), ShouldEqual, 0)
	})
	Convey("A claim whose result is lost is asked for again under the same id", t, func() {
		a := newAgent(t, nil)
		c := newControl(t, serviceRoute(1, a))
		e := startEntry(t, shortRouteWait, c)
		var lost atomic.Bool
		c.setFail(func(ch dragonflychange.Change) (r dragonflyresult.Result) {
			if ch.Kind == dragonflychange.Claim && lost.CompareAndSwap(false, true) {
				c.apply(ch) // It takes effect, but the answer says nothing.
				r.Outcome = dragonflyresult.Unavailable
			}
			return r
		})
		So(reserve(e, "k", "seda").status, ShouldEqual, 201)
		So(a.runsOf("k"), ShouldEqual, 1)
	})
}
