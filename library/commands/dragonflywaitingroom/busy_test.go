package dragonflywaitingroom_test

import (
	"strconv"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflywaitingroom"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflywaitingevent"
	"dragonflyrelay.example/library/values/dragonflywaitingrequest"
	"dragonflyrelay.example/library/values/dragonflywaitingverdict"
	. "github.com/smartystreets/goconvey/convey"
)

// served returns a room whose table has n endpoints of the model m.
func served(r dragonflywaitingroom.Room, sequence uint64, now dragonflyduration.Duration, n int) (dragonflywaitingroom.Room, []dragonflywaitingverdict.Verdict) {
	ev := dragonflywaitingevent.Event{
		Kind: dragonflywaitingevent.Followed, Sequence: sequence, Ready: true, HasTable: true, Complete: true, Entries: 1,
	}
	for range n {
		ev.Endpoints = append(ev.Endpoints, dragonflyendpoint.Endpoint{Service: "s", Model: "m"})
	}
	return r.Step(at(now), ev)
}

// stale returns a call of 3 s, arrived at now, that found only endpoints that are taken out.
func stale(id uint64, now dragonflyduration.Duration) dragonflywaitingrequest.Request {
	return dragonflywaitingrequest.Request{
		ID: id, Service: "s", Model: "m", Workspace: "w", Work: 10 * ms, Objective: 300 * ms, Sequence: 1, Stale: true,
		Began: at(now), Until: at(now + 2700*ms), Deadline: at(now + 3000*ms),
	}
}

// TestBusyWithoutWork guards against requests that leave and return without a pause while
// their endpoints are full.
func TestBusyWithoutWork(t *testing.T) {
	for _, work := range []dragonflyduration.Duration{0, ms} {
		Convey("A request that has found its endpoints full stays for 10 ms at least, with work of "+strconv.FormatInt(work.Milliseconds(), 10)+" ms", t, func() {
			r, _ := served(dragonflywaitingroom.New(1<<20, 1<<63), 1, 0, 6)
			q := stale(1, 1000*ms)
			q.Stale, q.Busy, q.Work = false, true, work
			r, verdicts := r.Step(at(1000*ms), dragonflywaitingevent.Event{Kind: dragonflywaitingevent.Arrived, Request: q})
			So(verdicts, ShouldBeEmpty)
			next, ok := r.Next()
			So(ok, ShouldBeTrue)
			So(next, ShouldBeGreaterThanOrEqualTo, at(1010*ms))
		})
	}
}
