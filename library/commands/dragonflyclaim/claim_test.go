package dragonflyclaim_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyclaim"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyclaimaction"
	"dragonflyrelay.example/library/values/dragonflyclaimevent"
	"dragonflyrelay.example/library/values/dragonflyresult"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// driver applies events to a claim, one millisecond apart, and records the actions.
type driver struct {
	c    dragonflyclaim.Claim
	now  dragonflyinstant.Instant
	acts []dragonflyclaimaction.Action
}

func begin() *driver {
	d := &driver{c: dragonflyclaim.New(dragonflyclaim.Key("puebla", "orders", "k"), "fp", "r1")}
	return d.step(dragonflyclaimevent.Event{Kind: dragonflyclaimevent.Begin})
}

func (d *driver) step(ev dragonflyclaimevent.Event) *driver {
	d.now = d.now.Add(dragonflyduration.Millisecond)
	next, acts := d.c.Step(d.now, ev)
	d.c, d.acts = next, append(d.acts, acts...)
	return d
}

// result delivers res as the result of the last change.
func (d *driver) result(res dragonflyresult.Result) *driver {
	return d.step(dragonflyclaimevent.Event{Kind: dragonflyclaimevent.Proposed, Result: res})
}

// advance moves the clock by span and ticks.
func (d *driver) advance(span dragonflyduration.Duration) *driver {
	d.now = d.now.Add(span)
	return d.step(dragonflyclaimevent.Event{Kind: dragonflyclaimevent.Tick})
}

func (d *driver) count(kind uint8) (n int) {
	for _, a := range d.acts {
		if uint8(a.Kind) == kind {
			n++
		}
	}
	return n
}

func (d *driver) last() dragonflyclaimaction.Action { return d.acts[len(d.acts)-1] }

// assertNeverRuns asserts that a call that was refused as not run doesn't run later.
func assertNeverRuns(d *driver) {
	So(d.count(uint8(dragonflyclaimaction.Refuse)), ShouldEqual, 1)
	d.result(dragonflyresult.Result{Outcome: dragonflyresult.ClaimGranted})
	for range 10 {
		d.advance(5 * dragonflyduration.Second)
	}
	So(d.count(uint8(dragonflyclaimaction.Run)), ShouldEqual, 0)
	So(d.c.Ended(), ShouldBeTrue)
}

// assertProposes asserts that the last action proposes a change like change.
func assertProposes(d *driver, change dragonflychange.Change) {
	So(d.last().Kind, ShouldEqual, dragonflyclaimaction.Propose)
	So(d.last().Change.Kind, ShouldEqual, change.Kind)
	So(d.last().Change.Outcome, ShouldEqual, change.Outcome)
	So(d.last().Change.Owner, ShouldEqual, "r1")
}

var (
	granted     = dragonflyresult.Result{Outcome: dragonflyresult.ClaimGranted}
	accepted    = dragonflyresult.Result{Outcome: dragonflyresult.Accepted}
	unavailable = dragonflyresult.Result{Outcome: dragonflyresult.Unavailable}
	notRun      = dragonflyresult.Result{Outcome: dragonflyresult.NotRun}
)

func TestClaimBeforeRun(t *testing.T) {
	Convey("Without a quorum the call is refused and never runs", t, func() {
		d := begin().result(notRun)
		So(d.last().Reason, ShouldEqual, dragonflyclaim.ReasonNoQuorum)
		assertNeverRuns(d)
	})
	Convey("A claim whose result was lost is resent with the same id", t, func() {
		d := begin().result(unavailable).advance(dragonflyduration.Second)
		So(d.acts[0].Change.ID, ShouldEqual, d.last().Change.ID)
		So(d.result(granted).count(uint8(dragonflyclaimaction.Run)), ShouldEqual, 1)
	})
	Convey("A refusal after a lost result is ignored, because the first proposal may still take effect", t, func() {
		d := begin().result(unavailable).advance(dragonflyduration.Second).result(notRun)
		So(d.count(uint8(dragonflyclaimaction.Refuse)), ShouldEqual, 0)
	})
	Convey("A claim that is granted after the call was refused is released", t, func() {
		d := begin().advance(4 * dragonflyduration.Second)
		So(d.last().Kind, ShouldEqual, dragonflyclaimaction.Refuse)
		d.result(granted)
		assertProposes(d, dragonflychange.Change{Kind: dragonflychange.Release})
		assertNeverRuns(d)
	})
	Convey("A call whose key is already claimed is answered with the state of that claim and never runs", t, func() {
		for _, res := range []dragonflyresult.Result{
			{Outcome: dragonflyresult.ClaimStored, Status: 201}, {Outcome: dragonflyresult.ClaimInProgress},
			{Outcome: dragonflyresult.ClaimUnknown}, {Outcome: dragonflyresult.ClaimMismatch},
		} {
			d := begin().result(res)
			So(d.last(), ShouldResemble, dragonflyclaimaction.Action{Kind: dragonflyclaimaction.Replay, Result: res})
			So(d.result(granted).count(uint8(dragonflyclaimaction.Run)), ShouldEqual, 0)
		}
	})
	Convey("Different workspaces, services and idempotency keys give different claim keys", t, func() {
		So(dragonflyclaim.Key("a", "bc", "d"), ShouldNotEqual, dragonflyclaim.Key("ab", "c", "d"))
		So(dragonflyclaim.Key("a", "1:b", ""), ShouldNotEqual, dragonflyclaim.Key("a", "", "1:b"))
	})
}

func TestClaimAfterRun(t *testing.T) {
	answered := dragonflyclaimevent.Event{Kind: dragonflyclaimevent.Answered, Status: 201, Body: []byte("ok")}

	Convey("The claim of a call that was not sent is released before the caller is answered", t, func() {
		d := begin().result(granted).step(dragonflyclaimevent.Event{Kind: dragonflyclaimevent.NotRun})
		assertProposes(d, dragonflychange.Change{Kind: dragonflychange.Release})
		So(d.result(accepted).last().Kind, ShouldEqual, dragonflyclaimaction.Deliver)
		So(d.c.Ended(), ShouldBeTrue)
	})
	Convey("A call whose answer is lost is recorded as unknown", t, func() {
		d := begin().result(granted).step(dragonflyclaimevent.Event{Kind: dragonflyclaimevent.Unknown})
		assertProposes(d, dragonflychange.Change{Kind: dragonflychange.Complete, Outcome: "unknown"})
	})
	Convey("An answer is stored before the caller gets it", t, func() {
		d := begin().result(granted).step(answered)
		assertProposes(d, dragonflychange.Change{Kind: dragonflychange.Complete, Outcome: "done"})
		So(string(d.last().Change.Body), ShouldEqual, "ok")
		So(d.count(uint8(dragonflyclaimaction.Deliver)), ShouldEqual, 0)
		So(d.result(accepted).last().Kind, ShouldEqual, dragonflyclaimaction.Deliver)
	})
	Convey("An answer that is too large to store is recorded as unknown", t, func() {
		d := begin().result(granted).step(dragonflyclaimevent.Event{
			Kind: dragonflyclaimevent.Answered, Body: make([]byte, dragonflyclaim.MaxStoredBody+1),
		})
		assertProposes(d, dragonflychange.Change{Kind: dragonflychange.Complete, Outcome: "unknown"})
	})
	Convey("When control is unavailable, the caller is answered and the answer is stored later", t, func() {
		d := begin().result(granted).step(answered).result(unavailable).advance(3 * dragonflyduration.Second)
		So(d.count(uint8(dragonflyclaimaction.Deliver)), ShouldEqual, 1)
		assertProposes(d, dragonflychange.Change{Kind: dragonflychange.Complete, Outcome: "done"})
		d.result(accepted)
		So(d.c.Ended(), ShouldBeTrue)
		So(d.count(uint8(dragonflyclaimaction.Deliver)), ShouldEqual, 1)
	})
	Convey("A call never runs twice, nor after a refusal, under random failures", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			d := begin()
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				switch rapid.IntRange(0, 4).Draw(t, "step") {
				case 0:
					d.advance(dragonflyduration.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * dragonflyduration.Millisecond)
				case 1:
					d.step(dragonflyclaimevent.Event{Kind: dragonflyclaimevent.Unknown})
				case 2:
					d.step(answered)
				default:
					d.result(rapid.SampledFrom([]dragonflyresult.Result{granted, accepted, unavailable, notRun}).Draw(t, "result"))
				}
			}
			ran, refused := d.count(uint8(dragonflyclaimaction.Run)), d.count(uint8(dragonflyclaimaction.Refuse))
			if ran > 1 || ran+refused > 1 {
				t.Fatalf("ran %d times, refused %d times", ran, refused)
			}
			if n := d.count(uint8(dragonflyclaimaction.Deliver)); n > ran {
				t.Fatalf("delivered %d times after %d runs", n, ran)
			}
		})
	})
}
