package dragonflywaitingroom_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflywaitingroom"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflymodelreturn"
	"dragonflyrelay.example/library/values/dragonflywaitingevent"
	"dragonflyrelay.example/library/values/dragonflywaitingverdict"
	. "github.com/smartystreets/goconvey/convey"
)

// estimate returns a state without a table in which the model is expected after the given
// time, or without an estimate if that is negative.
func estimate(sequence uint64, in dragonflyduration.Duration) dragonflywaitingevent.Event {
	ev := dragonflywaitingevent.Event{Kind: dragonflywaitingevent.Followed, Sequence: sequence, Ready: true, Complete: true, Entries: 1}
	if in >= 0 {
		ev.Returns = []dragonflymodelreturn.Return{{Service: "s", Model: "m", In: in}}
	}
	return ev
}

// releases returns the number of verdicts that release requests.
func releases(verdicts []dragonflywaitingverdict.Verdict) (n int) {
	for _, v := range verdicts {
		if v.Released {
			n++
		}
	}
	return n
}

// TestFirstAllowance guards against entries that all release their share at the same time.
func TestFirstAllowance(t *testing.T) {
	for _, c := range []struct {
		seed     uint64
		released int
	}{{0, 0}, {1 << 63, 3}, {1<<64 - 1, 7}} {
		Convey("The seed of an entry decides how much of the first allowance it releases at once", t, func() {
			r, _ := served(dragonflywaitingroom.New(8<<20, c.seed), 1, 0, 0)
			for id := uint64(1); id <= 20; id++ {
				r, _ = arrive(r, 0, stale(id, 0))
			}
			_, verdicts := served(r, 2, 500*ms, 1)
			So(releases(verdicts), ShouldEqual, c.released)
		})
	}
}

// TestIncompleteTable guards against an outage that is assumed because a new leader does not
// know all endpoints yet.
func TestIncompleteTable(t *testing.T) {
	Convey("Endpoints that an incomplete table lacks still count", t, func() {
		r, _ := served(dragonflywaitingroom.New(1<<20, 1<<63), 1, 0, 1)
		r, _ = r.Step(at(ms), dragonflywaitingevent.Event{Kind: dragonflywaitingevent.Followed, Sequence: 2, Ready: true, HasTable: true, Entries: 1})
		q := stale(1, 2*ms)
		q.Stale, q.Busy = false, true
		r, _ = arrive(r, 2*ms, q)
		_, verdicts := tick(r, 100*ms)
		assertReleased(verdicts, 1)
	})
	Convey("Endpoints that an incomplete table adds count, and a complete one removes them", t, func() {
		r, _ := served(dragonflywaitingroom.New(1<<20, 1<<63), 1, 0, 0)
		r, _ = arrive(r, 0, stale(1, 0))
		r, verdicts := r.Step(at(ms), dragonflywaitingevent.Event{
			Kind: dragonflywaitingevent.Followed, Sequence: 2, Ready: true, HasTable: true, Entries: 1,
			Endpoints: []dragonflyendpoint.Endpoint{{Service: "s", Model: "m"}},
		})
		assertReleased(verdicts, 1)
		r, _ = served(r, 3, 2*ms, 0)
		q := stale(2, 3*ms)
		q.Stale, q.Busy = false, true
		r, _ = arrive(r, 3*ms, q)
		r, verdicts = tick(r, 200*ms)
		So(verdicts, ShouldBeEmpty)
		So(r.Len(), ShouldEqual, 1)
	})
}

// TestEstimate guards against estimates of control that hold although control does not send
// them any more, and against requests that are held by an estimate that is long over.
func TestEstimate(t *testing.T) {
	Convey("A state without the estimate of a model withdraws it", t, func() {
		r, _ := served(dragonflywaitingroom.New(1<<20, 0), 1, 0, 0)
		r, _ = r.Step(at(0), estimate(2, 20000*ms))
		r, verdicts := arrive(r, 0, stale(1, 0))
		assertRefused(verdicts, 1)
		r, _ = r.Step(at(100*ms), estimate(3, -1))
		_, verdicts = arrive(r, 200*ms, stale(2, 200*ms))
		So(verdicts, ShouldBeEmpty)
	})
	// overdue returns the verdicts on a request that arrives the given time after control has
	// expected the model.
	overdue := func(by dragonflyduration.Duration) []dragonflywaitingverdict.Verdict {
		r, _ := served(dragonflywaitingroom.New(1<<20, 0), 1, 0, 0)
		r, _ = r.Step(at(0), estimate(2, 500*ms))
		_, verdicts := arrive(r, 500*ms+by, stale(1, 500*ms+by))
		return verdicts
	}
	Convey("An estimate holds for 2 s after it was due", t, func() {
		So(overdue(1900*ms), ShouldBeEmpty)
		assertRefused(overdue(2100*ms), 1)
	})
	Convey("Requests that wait by it are refused then", t, func() {
		r, _ := served(dragonflywaitingroom.New(1<<20, 0), 1, 0, 0)
		r, _ = r.Step(at(0), estimate(2, 500*ms))
		r, _ = arrive(r, 0, stale(1, 0))
		next, ok := r.Next()
		So(ok, ShouldBeTrue)
		So(next, ShouldEqual, at(2500*ms))
		_, verdicts := tick(r, 2500*ms)
		So(verdicts, ShouldHaveLength, 1)
		So(verdicts[0].Released, ShouldBeFalse)
	})
}

// TestUnroutedOutage guards against requests that wait for a document for too long or too
// short a time after the first one that lacked it.
func TestUnroutedOutage(t *testing.T) {
	for now, waits := range map[dragonflyduration.Duration]bool{2300 * ms: true, 3900 * ms: true, 4100 * ms: false} {
		Convey("Requests wait for a document up to 4 s after the first one without", t, func() {
			r, _ := arrive(dragonflywaitingroom.New(1<<20, 0), 0, unrouted(1, 0, 10))
			r, _ = tick(r, 1500*ms)
			r, verdicts := arrive(r, now, unrouted(2, now, 10))
			So(r.Len() == 1, ShouldEqual, waits)
			So(len(verdicts) == 0, ShouldEqual, waits)
		})
	}
}

// TestRetryAfter guards against a Retry-After that the caller does not honour, or that is
// shorter than it would.
func TestRetryAfter(t *testing.T) {
	for left, want := range map[dragonflyduration.Duration]dragonflyduration.Duration{
		6000 * ms: 2000 * ms, 3000 * ms: 1000 * ms, 600 * ms: 200 * ms,
	} {
		Convey("A refusal by a far estimate names a third of the caller's time", t, func() {
			r, _ := served(dragonflywaitingroom.New(1<<20, 0), 1, 0, 0)
			r, _ = r.Step(at(0), estimate(2, 20000*ms))
			q := stale(1, 0)
			q.Deadline = at(left)
			_, verdicts := arrive(r, 0, q)
			So(verdicts, ShouldHaveLength, 1)
			So(verdicts[0].RetryAfter, ShouldEqual, want)
		})
	}
}
