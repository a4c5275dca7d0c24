package dragonflyentrycore_test

import (
	"fmt"
	"strings"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyentrycore"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyentryaction"
	"dragonflyrelay.example/library/values/dragonflyentryevent"
	"dragonflyrelay.example/library/values/dragonflyframe"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"dragonflyrelay.example/library/values/dragonflyroute"
	"dragonflyrelay.example/library/values/dragonflytable"
	"dragonflyrelay.example/library/values/dragonflywork"
	. "github.com/smartystreets/goconvey/convey"
)

const ms = dragonflyduration.Millisecond

// driver steps one core on its own clock and records the resulting actions.
type driver struct {
	core  dragonflyentrycore.Core
	now   dragonflyinstant.Instant
	sends []dragonflyentryaction.Action
	ends  map[string][]dragonflyentryaction.Action
	acts  []dragonflyentryaction.Action
}

func newDriver(routes ...dragonflyroute.Route) *driver {
	d := &driver{now: dragonflyinstant.Instant(dragonflyduration.Second), ends: map[string][]dragonflyentryaction.Action{}}
	d.step(dragonflyentryevent.Event{Kind: dragonflyentryevent.ReceiveTable, SentAt: d.now, Table: dragonflytable.Table{
		Complete: true, Term: 1, Revision: 1, Routes: routes,
	}})
	return d
}

func (d *driver) step(ev dragonflyentryevent.Event) []dragonflyentryaction.Action {
	next, acts := d.core.Step(d.now, ev)
	d.core, d.acts = next, append(d.acts, acts...)
	for _, a := range acts {
		switch a.Kind {
		case dragonflyentryaction.Send:
			d.sends = append(d.sends, a)
		case dragonflyentryaction.End:
			d.ends[a.Request] = append(d.ends[a.Request], a)
		}
	}
	return acts
}

func (d *driver) begin(id string, set func(*dragonflyentryevent.Event)) {
	ev := dragonflyentryevent.Event{Kind: dragonflyentryevent.Begin, Request: id, Work: dragonflywork.Work{
		Kind: dragonflywork.Completion, Model: "sarta", Prompt: id, MaxTokens: 4, Idempotent: true, Workspace: "puebla", Class: "fitting",
	}}
	if set != nil {
		set(&ev)
	}
	d.step(ev)
}

// call turns a Begin event into that of a call that isn't idempotent.
func call(ev *dragonflyentryevent.Event) {
	ev.Work.Kind, ev.Work.Model, ev.Work.Service, ev.Work.Idempotent = dragonflywork.Call, "", "orders", false
}

func claimed(ev *dragonflyentryevent.Event) {
	call(ev)
	ev.ClaimKey, ev.Fingerprint = "6:puebla6:orders1:k", strings.Repeat("a", 64)
}

func (d *driver) frame(id string, f dragonflyframe.Frame) {
	d.step(dragonflyentryevent.Event{Kind: dragonflyentryevent.Frame, Request: id, Frame: f})
}

func (d *driver) proposed(id string, r dragonflyresult.Result) {
	d.step(dragonflyentryevent.Event{Kind: dragonflyentryevent.Proposed, Request: id, Result: r})
}

// advance moves the clock by span, with a tick every 50 ms.
func (d *driver) advance(span dragonflyduration.Duration) {
	for end := d.now.Add(span); d.now.Before(end); {
		d.now = d.now.Add(50 * ms)
		d.step(dragonflyentryevent.Event{Kind: dragonflyentryevent.Tick})
	}
}

func (d *driver) count(kind uint8) (n int) {
	for _, a := range d.acts {
		if uint8(a.Kind) == kind {
			n++
		}
	}
	return n
}

// refuseAll refuses all attempts, including those that the refusals cause, and
// returns their number.
func (d *driver) refuseAll() (n int) {
	for ; len(d.sends) > 0; n++ {
		s := d.sends[0]
		d.sends = d.sends[1:]
		d.frame(s.Request, dragonflyframe.Frame{Kind: dragonflyframe.Refused, Attempt: s.Attempt, Reason: "deadline"})
	}
	return n
}

// assertEnded asserts that the request has exactly one end, with the outcome and the
// reason of want, and that no state is left behind.
func assertEnded(d *driver, id string, want dragonflyentryaction.Action) {
	So(d.ends[id], ShouldHaveLength, 1)
	So(d.ends[id][0].Outcome, ShouldEqual, want.Outcome)
	So(d.ends[id][0].Reason, ShouldEqual, want.Reason)
	So(d.core.InFlight(), ShouldEqual, 0)
	So(d.count(uint8(dragonflyentryaction.Forget)), ShouldEqual, len(d.ends))
}

func group(i int) dragonflyroute.Route {
	return dragonflyroute.Route{Key: fmt.Sprint("g", i), Model: "sarta", Address: fmt.Sprint("a", i), Ready: true}
}

func service(i int) dragonflyroute.Route {
	return dragonflyroute.Route{Key: fmt.Sprint("i", i), Service: "orders", Address: fmt.Sprint("a", i), Ready: true}
}

func token(attempt, i int) dragonflyframe.Frame {
	return dragonflyframe.Frame{Kind: dragonflyframe.Token, Attempt: attempt, Index: i, Text: fmt.Sprint(i)}
}

func TestCompletion(t *testing.T) {
	Convey("When a group fails, another one generates the rest of the answer", t, func() {
		d := newDriver(group(1), group(2))
		d.begin("r", nil)
		d.frame("r", token(1, 0))
		d.frame("r", dragonflyframe.Frame{Kind: dragonflyframe.Failed, Attempt: 1, MayHaveRun: true, Reason: "connection-lost"})
		So(d.sends, ShouldHaveLength, 2)
		So(d.sends[1].Address, ShouldNotEqual, d.sends[0].Address)
		So(d.sends[1].Work.Delivered, ShouldResemble, []string{"0"})
		d.frame("r", token(1, 1)) // late frame of the first attempt
		d.frame("r", token(2, 1))
		d.frame("r", dragonflyframe.Frame{Kind: dragonflyframe.Done, Attempt: 2, Index: 2})
		assertEnded(d, "r", dragonflyentryaction.Action{Outcome: dragonflyentryaction.Completed})
		So(d.ends["r"][0].Tokens.Items(), ShouldResemble, []string{"0", "1"})
		So(d.core.Routing().InFlight("g1")+d.core.Routing().InFlight("g2"), ShouldEqual, 0)
	})
	Convey("A completion moves to another group when its group stops sending tokens", t, func() {
		d := newDriver(group(1), group(2))
		d.begin("r", nil)
		d.frame("r", dragonflyframe.Frame{Kind: dragonflyframe.Started, Attempt: 1})
		d.advance(9 * dragonflyduration.Second)
		So(d.sends, ShouldHaveLength, 1)
		d.frame("r", token(1, 0))
		d.advance(3200 * ms)
		So(d.sends, ShouldHaveLength, 2)
		So(d.count(uint8(dragonflyentryaction.Cancel)), ShouldEqual, 1)
	})
	Convey("A request that its group never starts moves after 8 first-token targets, or after 30 s without a target", t, func() {
		d := newDriver(group(1), group(2))
		d.begin("target", func(ev *dragonflyentryevent.Event) { ev.Work.FirstToken = 410 * ms })
		d.begin("none", nil)
		d.advance(3 * dragonflyduration.Second)
		So(d.sends, ShouldHaveLength, 2)
		d.advance(500 * ms)
		So(d.sends, ShouldHaveLength, 3)
		So(d.sends[2].Request, ShouldEqual, "target")
		d.advance(27 * dragonflyduration.Second)
		So(d.sends[len(d.sends)-1].Request, ShouldEqual, "none")
	})
	Convey("A request without a route waits a bounded time and ends as not run", t, func() {
		d := newDriver()
		d.begin("r", nil)
		d.advance(1400 * ms)
		So(d.ends["r"], ShouldBeEmpty)
		d.advance(200 * ms)
		assertEnded(d, "r", dragonflyentryaction.Action{Outcome: dragonflyentryaction.NotRun, Reason: "no-route"})
	})
	Convey("A route that becomes ready during the wait is used", t, func() {
		d := newDriver()
		d.begin("r", nil)
		d.advance(500 * ms)
		d.step(dragonflyentryevent.Event{Kind: dragonflyentryevent.ReceiveTable, Table: dragonflytable.Table{Term: 1, Revision: 2, Routes: []dragonflyroute.Route{group(1)}}})
		So(d.sends, ShouldHaveLength, 1)
	})
	Convey("A refused connection penalises the route, but an entry without a free worker does not", t, func() {
		for reason, sends := range map[string]int{"no-connection": 1, "entry-busy": 2} {
			d := newDriver(group(1))
			d.begin("r", nil)
			d.frame("r", dragonflyframe.Frame{Kind: dragonflyframe.Refused, Attempt: 1, Reason: reason})
			So(d.sends, ShouldHaveLength, sends)
		}
	})
	Convey("A request ends at its deadline and its attempt is cancelled", t, func() {
		d := newDriver(group(1))
		d.begin("r", func(ev *dragonflyentryevent.Event) { ev.Deadline = 200 * ms })
		d.advance(300 * ms)
		So(d.count(uint8(dragonflyentryaction.Cancel)), ShouldEqual, 1)
		assertEnded(d, "r", dragonflyentryaction.Action{Outcome: dragonflyentryaction.Failed, Reason: "deadline"})
	})
	Convey("A request beyond its workspace's limit of requests in progress is refused", t, func() {
		d := newDriver(group(1))
		bound := func(ev *dragonflyentryevent.Event) { ev.MaxInFlight = 1 }
		d.begin("r", bound)
		d.begin("s", bound)
		So(d.ends["s"][0].Reason, ShouldEqual, dragonflyentryaction.ReasonWorkspaceLimit)
		d.step(dragonflyentryevent.Event{Kind: dragonflyentryevent.Disconnect, Request: "r"})
		So(d.core.InFlight(), ShouldEqual, 0)
		d.begin("u", bound)
		So(d.sends, ShouldHaveLength, 2)
	})
}

// unbudgetedAttempts is the reference without a retry budget: it returns the attempts
// at one request if every route is tried in turn and refuses.
func unbudgetedAttempts(routes int) (attempts int) {
	for range routes {
		attempts++
	}
	return attempts
}

func TestRetries(t *testing.T) {
	Convey("Attempts stay within the retry budget when all groups refuse", t, func() {
		d := newDriver(group(1), group(2), group(3), group(4), group(5), group(6), group(7), group(8))
		const requests, seconds = 400, 20
		attempts := 0
		for i := range requests {
			d.begin(fmt.Sprint(i), nil)
			attempts += d.refuseAll()
			d.advance(50 * ms)
		}
		for range 40 {
			attempts += d.refuseAll()
			d.advance(50 * ms)
		}
		naive := requests * unbudgetedAttempts(8)
		t.Logf("%d requests in %d s that 8 groups refuse: %d attempts, %d without a budget", requests, seconds, attempts, naive)
		So(attempts, ShouldBeLessThanOrEqualTo, requests+requests/10+seconds+2+20)
		So(attempts, ShouldBeLessThan, naive)
		So(d.core.InFlight(), ShouldEqual, 0)
	})
}

func TestCall(t *testing.T) {
	Convey("A refused call is retried on another route, but a call that may have run is not", t, func() {
		d := newDriver(service(1), service(2))
		d.begin("r", call)
		d.frame("r", dragonflyframe.Frame{Kind: dragonflyframe.Refused, Attempt: 1, Reason: "not-ready"})
		So(d.sends, ShouldHaveLength, 2)
		d.frame("r", dragonflyframe.Frame{Kind: dragonflyframe.Failed, Attempt: 2, MayHaveRun: true, Reason: "connection-lost"})
		So(d.sends, ShouldHaveLength, 2)
		assertEnded(d, "r", dragonflyentryaction.Action{Outcome: dragonflyentryaction.Unknown, Reason: "connection-lost"})
	})
	Convey("A claimed call is sent after its claim is granted and answered after its answer is stored", t, func() {
		d := newDriver(service(1))
		d.begin("r", claimed)
		So(d.sends, ShouldBeEmpty)
		d.proposed("r", dragonflyresult.Result{Outcome: dragonflyresult.ClaimGranted})
		So(d.sends, ShouldHaveLength, 1)
		d.frame("r", dragonflyframe.Frame{Kind: dragonflyframe.Response, Attempt: 1, Status: 201, Body: []byte("ok")})
		So(d.ends["r"], ShouldBeEmpty)
		d.proposed("r", dragonflyresult.Result{Outcome: dragonflyresult.Accepted})
		assertEnded(d, "r", dragonflyentryaction.Action{Outcome: dragonflyentryaction.Completed})
		So(d.ends["r"][0].Status, ShouldEqual, 201)
	})
	Convey("A claimed call without a route releases its claim and ends as not run", t, func() {
		d := newDriver()
		d.begin("r", claimed)
		d.proposed("r", dragonflyresult.Result{Outcome: dragonflyresult.ClaimGranted})
		d.advance(1600 * ms)
		So(d.ends["r"], ShouldBeEmpty)
		d.proposed("r", dragonflyresult.Result{Outcome: dragonflyresult.Accepted})
		assertEnded(d, "r", dragonflyentryaction.Action{Outcome: dragonflyentryaction.NotRun, Reason: "no-route"})
	})
	Convey("A claimed call continues after its caller disconnects, so that a retry finds the answer", t, func() {
		d := newDriver(service(1))
		d.begin("r", claimed)
		d.proposed("r", dragonflyresult.Result{Outcome: dragonflyresult.ClaimGranted})
		d.step(dragonflyentryevent.Event{Kind: dragonflyentryevent.Disconnect, Request: "r"})
		So(d.count(uint8(dragonflyentryaction.Cancel)), ShouldEqual, 0)
		d.frame("r", dragonflyframe.Frame{Kind: dragonflyframe.Response, Attempt: 1, Status: 201})
		So(d.acts[len(d.acts)-1].Change.Outcome, ShouldEqual, "done")
		d.proposed("r", dragonflyresult.Result{Outcome: dragonflyresult.Accepted})
		So(d.core.InFlight(), ShouldEqual, 0)
		So(d.ends["r"], ShouldBeEmpty)
	})
	Convey("A claimed call is not sent if its caller disconnects before the claim is granted, and the claim is released", t, func() {
		d := newDriver()
		d.begin("r", claimed)
		d.step(dragonflyentryevent.Event{Kind: dragonflyentryevent.Disconnect, Request: "r"})
		d.proposed("r", dragonflyresult.Result{Outcome: dragonflyresult.ClaimGranted})
		So(d.sends, ShouldBeEmpty)
		d.proposed("r", dragonflyresult.Result{Outcome: dragonflyresult.Accepted})
		So(d.core.InFlight(), ShouldEqual, 0)
	})
}
