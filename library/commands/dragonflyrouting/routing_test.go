package dragonflyrouting_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyrouting"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyclass"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflyframe"
	"dragonflyrelay.example/library/values/dragonflyload"
	"dragonflyrelay.example/library/values/dragonflyroute"
	"dragonflyrelay.example/library/values/dragonflyroutingaction"
	"dragonflyrelay.example/library/values/dragonflyroutingevent"
	"dragonflyrelay.example/library/values/dragonflytable"
	"dragonflyrelay.example/library/values/dragonflyzone"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const second = dragonflyinstant.Instant(dragonflyduration.Second)

func route(i int) dragonflyroute.Route {
	return dragonflyroute.Route{
		Key: fmt.Sprint("g", i), Group: uint64(i), Fence: uint64(i), Model: "sarta", Ready: true,
		Zone: fmt.Sprint("zona-", i), Zones: []string{fmt.Sprint("zona-", i)}, Load: dragonflyload.Load{Limit: 4},
	}
}

func routes(n int) (out []dragonflyroute.Route) {
	for i := range n {
		out = append(out, route(i))
	}
	return out
}

func step(r dragonflyrouting.Routing, at dragonflyinstant.Instant, ev dragonflyroutingevent.Event) dragonflyrouting.Routing {
	r, _ = r.Step(at, ev)
	return r
}

func applyTable(r dragonflyrouting.Routing, at dragonflyinstant.Instant, t dragonflytable.Table) dragonflyrouting.Routing {
	return step(r, at, dragonflyroutingevent.Event{Kind: dragonflyroutingevent.ReceiveTable, Table: t, SentAt: at})
}

func newRouting(n int) dragonflyrouting.Routing {
	return applyTable(dragonflyrouting.Routing{}, second, dragonflytable.Table{Complete: true, Term: 1, Revision: 5, Routes: routes(n)})
}

func selectRoute(r dragonflyrouting.Routing, at dragonflyinstant.Instant, ev dragonflyroutingevent.Event) (dragonflyrouting.Routing, dragonflyroutingaction.Action) {
	ev.Kind, ev.Model = dragonflyroutingevent.SelectRoute, "sarta"
	r, acts := r.Step(at, ev)
	return r, acts[0]
}

// assertWaits asserts that no route is selected, for the given reason.
func assertWaits(r dragonflyrouting.Routing, at dragonflyinstant.Instant, reason string) {
	_, a := selectRoute(r, at, dragonflyroutingevent.Event{})
	So(a.Kind, ShouldEqual, dragonflyroutingaction.Wait)
	So(a.Reason, ShouldEqual, reason)
}

// assertUses asserts that the route with the key is selected.
func assertUses(r dragonflyrouting.Routing, at dragonflyinstant.Instant, key string) {
	_, a := selectRoute(r, at, dragonflyroutingevent.Event{})
	So(a.Kind, ShouldEqual, dragonflyroutingaction.Use)
	So(a.Route.Key, ShouldEqual, key)
}

func TestTable(t *testing.T) {
	Convey("A delta removes routes, an older table is ignored and a model stays known without routes", t, func() {
		r := newRouting(2)
		r = applyTable(r, second, dragonflytable.Table{Term: 1, Revision: 6, Removed: []string{"g0"}})
		assertUses(r, second, "g1")
		r = applyTable(r, second, dragonflytable.Table{Complete: true, Term: 1, Revision: 4, Routes: routes(2)})
		So(r.Routes(), ShouldEqual, 1)
		r = applyTable(r, second, dragonflytable.Table{Complete: true, Term: 2, Revision: 1})
		assertWaits(r, second, dragonflyroutingaction.ReasonNoRoute)
		So(r.HasSeenModel("sarta"), ShouldBeTrue)
	})
	Convey("Which models exist is unknown before the first complete table with a model", t, func() {
		r := dragonflyrouting.Routing{}
		So(r.KnowsModels(), ShouldBeFalse)
		r = applyTable(r, second, dragonflytable.Table{Complete: true, Routes: routes(1)})
		So(r.KnowsModels(), ShouldBeFalse)
		So(applyTable(r, second, dragonflytable.Table{Complete: true, Term: 1, Revision: 1}).KnowsModels(), ShouldBeTrue)
		r = applyTable(dragonflyrouting.Routing{}, second, dragonflytable.Table{Complete: true, Term: 1, Revision: 1})
		So(r.KnowsModels(), ShouldBeFalse)
	})
	Convey("A group with a member in a zone that is out of service gets no request, also after an older configuration", t, func() {
		cfg := dragonflyconfig.Config{}.WithVersion(2).WithZone(dragonflyzone.Zone{}.WithName("zona-0").WithOut(true))
		r := applyTable(newRouting(1), second, dragonflytable.Table{Term: 1, Revision: 5, Config: cfg, HasConfig: true})
		assertWaits(r, second, dragonflyroutingaction.ReasonNoRoute)
		older := dragonflyconfig.Config{}.WithVersion(1)
		assertWaits(applyTable(r, second, dragonflytable.Table{Term: 1, Revision: 5, Config: older, HasConfig: true}), second, dragonflyroutingaction.ReasonNoRoute)
	})
	Convey("A silent route is used only if there is no ready one", t, func() {
		silent := route(1)
		silent.Ready, silent.Silent = false, true
		r := applyTable(newRouting(1), second, dragonflytable.Table{Term: 1, Revision: 6, Routes: []dragonflyroute.Route{silent}})
		assertUses(r, second, "g0")
		assertUses(applyTable(r, second, dragonflytable.Table{Term: 1, Revision: 7, Removed: []string{"g0"}}), second, "g1")
	})
	Convey("A group that spans several domains serves only classes that allow it", t, func() {
		wide := route(0)
		wide.CrossDomain = true
		cfg := dragonflyconfig.Config{}.WithVersion(2).WithClass(dragonflyclass.Class{}.WithName("bulk").WithCrossDomain(true))
		r := applyTable(dragonflyrouting.Routing{}, second, dragonflytable.Table{Complete: true, Term: 1, Revision: 5, Routes: []dragonflyroute.Route{wide}, Config: cfg, HasConfig: true})
		assertWaits(r, second, dragonflyroutingaction.ReasonNoRoute)
		_, a := selectRoute(r, second, dragonflyroutingevent.Event{Class: "bulk"})
		So(a.Kind, ShouldEqual, dragonflyroutingaction.Use)
	})
	Convey("The confirmation age counts from when the watch was sent, and an older confirmation doesn't change it", t, func() {
		r := newRouting(1)
		age, ok := r.ConfirmationAge(second + 5)
		So(ok, ShouldBeTrue)
		So(age, ShouldEqual, 5)
		r = applyTable(r, second, dragonflytable.Table{Term: 1, Revision: 5, ConfirmationAge: dragonflyduration.Second})
		age, _ = r.ConfirmationAge(second + 5)
		So(age, ShouldEqual, 5)
	})
	Convey("A route that is removed while in use is dropped after its last attempt", t, func() {
		r, _ := selectRoute(newRouting(1), second, dragonflyroutingevent.Event{})
		r = applyTable(r, second, dragonflytable.Table{Term: 1, Revision: 6, Removed: []string{"g0"}})
		So(r.InFlight("g0"), ShouldEqual, 1)
		r = step(r, second, dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Abandon, Route: "g0"})
		So(r.InFlight("g0"), ShouldEqual, 0)
		So(r.Routes(), ShouldEqual, 0)
	})
}

func TestPenalties(t *testing.T) {
	refuse := func(reason string, after dragonflyduration.Duration) dragonflyroutingevent.Event {
		return dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Refuse, Route: "g0", Reason: reason, RetryAfter: after}
	}
	Convey("An overloaded route gets no request during the retry delay that it sent", t, func() {
		r := step(newRouting(1), second, refuse(dragonflyframe.ReasonOverloaded, 300*dragonflyduration.Millisecond))
		assertWaits(r, second.Add(299*dragonflyduration.Millisecond), dragonflyroutingaction.ReasonNoRoute)
		assertUses(r, second.Add(300*dragonflyduration.Millisecond), "g0")
	})
	Convey("A refusal because of a request's deadline doesn't penalise the route", t, func() {
		assertUses(step(newRouting(1), second, refuse(dragonflyframe.ReasonDeadline, 0)), second, "g0")
	})
	Convey("The penalty grows with consecutive failures and is cleared by a new fencing token", t, func() {
		r := newRouting(1)
		fail := dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Fail, Route: "g0"}
		r = step(step(r, second, fail), second, fail)
		assertWaits(r, second.Add(499*dragonflyduration.Millisecond), dragonflyroutingaction.ReasonNoRoute)
		next := route(0)
		next.Fence = 9
		assertUses(applyTable(r, second, dragonflytable.Table{Term: 1, Revision: 6, Routes: []dragonflyroute.Route{next}}), second, "g0")
	})
	Convey("A sample of high load moves requests to another route", t, func() {
		r := newRouting(2)
		_, a := selectRoute(r, second, dragonflyroutingevent.Event{Affinity: "seda"})
		r = step(r, second, dragonflyroutingevent.Event{
			Kind: dragonflyroutingevent.Sample, Route: a.Route.Key, Load: dragonflyload.Load{InFlight: 4, Limit: 4, Queued: 3},
		})
		_, b := selectRoute(r, second, dragonflyroutingevent.Event{Affinity: "seda"})
		So(b.Route.Key, ShouldNotEqual, a.Route.Key)
	})
}

func TestRetryBudget(t *testing.T) {
	retry := dragonflyroutingevent.Event{Class: "fitting", Retry: true}
	spend := func(r dragonflyrouting.Routing, at dragonflyinstant.Instant) (dragonflyrouting.Routing, int) {
		for n := 0; ; n++ {
			next, a := selectRoute(r, at, retry)
			if a.Kind == dragonflyroutingaction.Wait {
				return r, n
			}
			r = next
		}
	}
	Convey("An empty budget blocks retries, but neither first attempts nor retries after a loss", t, func() {
		r, _ := spend(newRouting(1), second)
		_, a := selectRoute(r, second, retry)
		So(a.Reason, ShouldEqual, dragonflyroutingaction.ReasonRetryBudget)
		assertUses(r, second, "g0")
		forced := retry
		forced.Forced = true
		_, a = selectRoute(r, second, forced)
		So(a.Kind, ShouldEqual, dragonflyroutingaction.Use)
	})
	Convey("Retries stay within 10% of the requests plus one a second", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			r, burst := spend(newRouting(1), second)
			requests, retries := 0, 0
			at := second
			for range rapid.IntRange(1, 20).Draw(t, "steps") {
				at = at.Add(dragonflyduration.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * dragonflyduration.Millisecond)
				for range rapid.IntRange(0, 30).Draw(t, "requests") {
					r = step(r, at, dragonflyroutingevent.Event{Kind: dragonflyroutingevent.Arrive, Class: "fitting"})
					requests++
				}
				var n int
				r, n = spend(r, at)
				retries += n
			}
			allowed := float64(requests)/10 + at.Sub(second).Seconds()
			if float64(retries) > allowed+1 || float64(retries) < allowed-1-float64(burst) {
				t.Fatalf("%d retries for %d requests in %v ns", retries, requests, at.Sub(second))
			}
		})
	})
}
