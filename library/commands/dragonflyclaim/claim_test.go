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

// driver steps a claim through events, one millisecond apart, and collects actions.
type driver struct {
	c    dragonflyclaim.Claim
	now  dragonflyinstant.Instant
	acts []dragonflyclaimaction.Action
}

func begin() *driver {
	r := &driver{c: dragonflyclaim.New(dragonflyclaim.Key("puebla", "orders", "k"), "fp", "r1")}
	return r.step(dragonflyclaimevent.Event{Kind: dragonflyclaimevent.Begin})
}

func (r *driver) step(ev dragonflyclaimevent.Event) *driver {
	r.now = r.now.Add(dragonflyduration.Millisecond)
	next, acts := r.c.Step(r.now, ev)
	r.c, r.acts = next, append(r.acts, acts...)
	return r
}

// result delivers the result of the last change.
func (r *driver) result(res dragonflyresult.Result) *driver {
	return r.step(dragonflyclaimevent.Event{Kind: dragonflyclaimevent.Proposed, Result: res})
}

// advance lets d pass and ticks.
func (r *driver) advance(d dragonflyduration.Duration) *driver {
	r.now = r.now.Add(d)
	return r.step(dragonflyclaimevent.Event{Kind: dragonflyclaimevent.Tick})
}

func (r *driver) count(kind uint8) (n int) {
	for _, a := range r.acts {
		if uint8(a.Kind) == kind {
			n++
		}
	}
	return n
}

func (r *driver) last() dragonflyclaimaction.Action { return r.acts[len(r.acts)-1] }

// assertNeverRuns guards against a call that runs after its caller was told
// that it has not.
func assertNeverRuns(r *driver) {
	So(r.count(uint8(dragonflyclaimaction.Refuse)), ShouldEqual, 1)
	r.result(dragonflyresult.Result{Outcome: dragonflyresult.ClaimGranted})
	for range 10 {
		r.advance(5 * dragonflyduration.Second)
	}
	So(r.count(uint8(dragonflyclaimaction.Run)), ShouldEqual, 0)
	So(r.c.Ended(), ShouldBeTrue)
}

// assertProposes guards against a claim that is left as it is.
func assertProposes(r *driver, change dragonflychange.Change) {
	So(r.last().Kind, ShouldEqual, dragonflyclaimaction.Propose)
	So(r.last().Change.Kind, ShouldEqual, change.Kind)
	So(r.last().Change.Outcome, ShouldEqual, change.Outcome)
	So(r.last().Change.Owner, ShouldEqual, "r1")
}

var (
	granted     = dragonflyresult.Result{Outcome: dragonflyresult.ClaimGranted}
	accepted    = dragonflyresult.Result{Outcome: dragonflyresult.Accepted}
	unavailable = dragonflyresult.Result{Outcome: dragonflyresult.Unavailable}
	notRun      = dragonflyresult.Result{Outcome: dragonflyresult.NotRun}
)

func TestClaimBeforeRun(t *testing.T) {
	Convey("Without a quorum the call is refused and never runs", t, func() {
		r := begin().result(notRun)
		So(r.last().Reason, ShouldEqual, dragonflyclaim.ReasonNoQuorum)
		assertNeverRuns(r)
	})
	Convey("A lost result is asked for again under the same id", t, func() {
		r := begin().result(unavailable).advance(dragonflyduration.Second)
		So(r.acts[0].Change.ID, ShouldEqual, r.last().Change.ID)
		So(r.result(granted).count(uint8(dragonflyclaimaction.Run)), ShouldEqual, 1)
	})
	Convey("A refusal after a lost result does not count, as the first sending may take effect", t, func() {
		r := begin().result(unavailable).advance(dragonflyduration.Second).result(notRun)
		So(r.count(uint8(dragonflyclaimaction.Refuse)), ShouldEqual, 0)
	})
	Convey("A claim that is granted too late is released", t, func() {
		r := begin().advance(4 * dragonflyduration.Second)
		So(r.last().Kind, ShouldEqual, dragonflyclaimaction.Refuse)
		r.result(granted)
		assertProposes(r, dragonflychange.Change{Kind: dragonflychange.Release})
		assertNeverRuns(r)
	})
	Convey("A key that is taken is answered and never runs", t, func() {
		for _, res := range []dragonflyresult.Result{
			{Outcome: dragonflyresult.ClaimStored, Status: 201}, {Outcome: dragonflyresult.ClaimInProgress},
			{Outcome: dragonflyresult.ClaimUnknown}, {Outcome: dragonflyresult.ClaimMismatch},
		} {
			r := begin().result(res)
			So(r.last(), ShouldResemble, dragonflyclaimaction.Action{Kind: dragonflyclaimaction.Replay, Result: res})
			So(r.result(granted).count(uint8(dragonflyclaimaction.Run)), ShouldEqual, 0)
		}
	})
	Convey("No two triples share a key", t, func() {
		So(dragonflyclaim.Key("a", "bc", "d"), ShouldNotEqual, dragonflyclaim.Key("ab", "c", "d"))
		So(dragonflyclaim.Key("a", "1:b", ""), ShouldNotEqual, dragonflyclaim.Key("a", "", "1:b"))
	})
}

func TestClaimAfterRun(t *testing.T) {
	answered := dragonflyclaimevent.Event{Kind: dragonflyclaimevent.Answered, Status: 201, Body: []byte("ok")}

	Convey("A call that was not sent gives its claim back before the caller is told", t, func() {
		r := begin().result(granted).step(dragonflyclaimevent.Event{Kind: dragonflyclaimevent.NotRun})
		assertProposes(r, dragonflychange.Change{Kind: dragonflychange.Release})
		So(r.result(accepted).last().Kind, ShouldEqual, dragonflyclaimaction.Settled)
		So(r.c.Ended(), ShouldBeTrue)
	})
	Convey("A call whose answer is lost is recorded as unknown", t, func() {
		r := begin().result(granted).step(dragonflyclaimevent.Event{Kind: dragonflyclaimevent.Unknown})
		assertProposes(r, dragonflychange.Change{Kind: dragonflychange.Complete, Outcome: "unknown"})
	})
	Convey("An answer is stored before the caller gets it", t, func() {
		r := begin().result(granted).step(answered)
		assertProposes(r, dragonflychange.Change{Kind: dragonflychange.Complete, Outcome: "done"})
		So(string(r.last().Change.Body), ShouldEqual, "ok")
		So(r.count(uint8(dragonflyclaimaction.Settled)), ShouldEqual, 0)
		So(r.result(accepted).last().Kind, ShouldEqual, dragonflyclaimaction.Settled)
	})
	Convey("An answer that is too large to store is recorded as unknown", t, func() {
		r := begin().result(granted).step(dragonflyclaimevent.Event{
			Kind: dragonflyclaimevent.Answered, Body: make([]byte, dragonflyclaim.MaxStoredBody+1),
		})
		assertProposes(r, dragonflychange.Change{Kind: dragonflychange.Complete, Outcome: "unknown"})
	})
	Convey("Without control the caller gets its answer, and storing goes on", t, func() {
		r := begin().result(granted).step(answered).result(unavailable).advance(3 * dragonflyduration.Second)
		So(r.count(uint8(dragonflyclaimaction.Settled)), ShouldEqual, 1)
		assertProposes(r, dragonflychange.Change{Kind: dragonflychange.Complete, Outcome: "done"})
		r.result(accepted)
		So(r.c.Ended(), ShouldBeTrue)
		So(r.count(uint8(dragonflyclaimaction.Settled)), ShouldEqual, 1)
	})
	Convey("Random failures never run a call twice, nor after a refusal", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			r := begin()
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				switch rapid.IntRange(0, 4).Draw(t, "step") {
				case 0:
					r.advance(dragonflyduration.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * dragonflyduration.Millisecond)
				case 1:
					r.step(dragonflyclaimevent.Event{Kind: dragonflyclaimevent.Unknown})
				case 2:
					r.step(answered)
				default:
					r.result(rapid.SampledFrom([]dragonflyresult.Result{granted, accepted, unavailable, notRun}).Draw(t, "result"))
				}
			}
			ran, refused := r.count(uint8(dragonflyclaimaction.Run)), r.count(uint8(dragonflyclaimaction.Refuse))
			if ran > 1 || ran+refused > 1 {
				t.Fatalf("ran %d times, refused %d times", ran, refused)
			}
			if n := r.count(uint8(dragonflyclaimaction.Settled)); n > ran {
				t.Fatalf("settled %d times after %d runs", n, ran)
			}
		})
	})
}
