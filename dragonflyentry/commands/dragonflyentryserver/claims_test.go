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

// reserve sends a call with an idempotency key.
func reserve(e *runningEntry, key, body string) response {
	return post(e.url+"/services/orders/reserve", body, "Idempotency-Key", key, "call", key)
}

// shortRouteWait sets the wait for a route to 100 ms, so that the tests don't spend
// the default wait on each refusal.
func shortRouteWait(s *dragonflyentrysettings.Settings) { s.RouteWait = 100e6 }

func TestClaims(t *testing.T) {
	Convey("A retry with the same key gets the stored answer and does not run", t, func() {
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
	Convey("A retry during the call is refused, and one after it gets the stored answer; the call runs once", t, func() {
		a, finish := newAgent(t, nil), make(chan struct{})
		a.serve = func(ctx context.Context, a *fakeAgent, w dragonflywork.Work, send func(dragonflyframe.Frame) error) {
			<-finish
			answer(ctx, a, w, send)
		}
		e := startEntry(t, shortRouteWait, newControl(t, serviceRoute(1, a)))
		first := make(chan response, 1)
		go func() { first <- reserve(e, "k", "seda") }()
		eventually(t, "the first call is sent", func() bool { return a.received.Load() == 1 })
		assertError(reserve(e, "k", "seda"), 409, "unknown", "in-progress")
		close(finish)
		So((<-first).status, ShouldEqual, 201)
		So(reserve(e, "k", "seda").status, ShouldEqual, 201)
		So(a.runsOf("k"), ShouldEqual, 1)
	})
	Convey("A call whose answer is lost runs once and has the outcome unknown, also on retries", t, func() {
		a := newAgent(t, func(_ context.Context, a *fakeAgent, w dragonflywork.Work, _ func(dragonflyframe.Frame) error) {
			a.countRun(w)
		})
		e := startEntry(t, shortRouteWait, newControl(t, serviceRoute(1, a), serviceRoute(2, a)))
		assertError(reserve(e, "k", "seda"), 502, "unknown", "connection-lost")
		assertError(reserve(e, "k", "seda"), 409, "unknown", "outcome-unknown")
		So(a.runsOf("k"), ShouldEqual, 1)
	})
	Convey("A refused call releases its claim, so that a retry can run", t, func() {
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
	Convey("A call does not run when control has no quorum", t, func() {
		a := newAgent(t, nil)
		c := newControl(t, serviceRoute(1, a))
		e := startEntry(t, shortRouteWait, c)
		c.setFail(func(dragonflychange.Change) dragonflyresult.Result {
			return dragonflyresult.Result{Outcome: dragonflyresult.NotRun}
		})
		assertError(reserve(e, "k", "seda"), 503, "not-run", "no-quorum")
		So(a.received.Load(), ShouldEqual, 0)
	})
	Convey("A claim whose result is lost is proposed again with the same id, and the call runs once", t, func() {
		a := newAgent(t, nil)
		c := newControl(t, serviceRoute(1, a))
		e := startEntry(t, shortRouteWait, c)
		var lost atomic.Bool
		c.setFail(func(ch dragonflychange.Change) (r dragonflyresult.Result) {
			if ch.Kind == dragonflychange.Claim && lost.CompareAndSwap(false, true) {
				c.apply(ch) // The claim is applied, but its result is lost.
				r.Outcome = dragonflyresult.Unavailable
			}
			return r
		})
		So(reserve(e, "k", "seda").status, ShouldEqual, 201)
		So(a.runsOf("k"), ShouldEqual, 1)
	})
}
