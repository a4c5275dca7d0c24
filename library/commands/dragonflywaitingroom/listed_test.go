package dragonflywaitingroom_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflywaitingroom"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflywaitingevent"
	"dragonflyrelay.example/library/values/dragonflywaitingrequest"
	"dragonflyrelay.example/library/values/dragonflywaitingverdict"
	. "github.com/smartystreets/goconvey/convey"
)

// arrive passes the arrival of q at now to the room.
func arrive(r dragonflywaitingroom.Room, now dragonflyduration.Duration, q dragonflywaitingrequest.Request) (dragonflywaitingroom.Room, []dragonflywaitingverdict.Verdict) {
	return r.Step(at(now), dragonflywaitingevent.Event{Kind: dragonflywaitingevent.Arrived, Request: q})
}

// tick passes the time to the room.
func tick(r dragonflywaitingroom.Room, now dragonflyduration.Duration) (dragonflywaitingroom.Room, []dragonflywaitingverdict.Verdict) {
	return r.Step(at(now), dragonflywaitingevent.Event{Kind: dragonflywaitingevent.Ticked})
}

// assertReleased asserts that the verdicts release the requests with the given ids.
func assertReleased(verdicts []dragonflywaitingverdict.Verdict, ids ...uint64) {
	var released []uint64
	for _, v := range verdicts {
		So(v.Released, ShouldBeTrue)
		released = append(released, v.ID)
	}
	So(released, ShouldResemble, ids)
}

// TestListedEndpoints guards against endpoints that take no requests and count as capacity,
// and against an outage of listed endpoints that outlasts them.
func TestListedEndpoints(t *testing.T) {
	table := func(e dragonflyendpoint.Endpoint, outZones ...string) dragonflywaitingevent.Event {
		e.Service, e.Model = "s", "m"
		return dragonflywaitingevent.Event{
			Kind: dragonflywaitingevent.Followed, Sequence: 1, Ready: true, HasTable: true, Complete: true, Entries: 1,
			Endpoints: []dragonflyendpoint.Endpoint{e}, OutZones: outZones,
		}
	}
	Convey("Endpoints of a zone that is out serve once it is back", t, func() {
		r, _ := dragonflywaitingroom.New(1<<20, 1<<63).Step(at(0), table(dragonflyendpoint.Endpoint{Zone: "a"}, "a"))
		r, verdicts := arrive(r, 0, stale(1, 0))
		So(verdicts, ShouldBeEmpty)
		r, verdicts = r.Step(at(500*ms), dragonflywaitingevent.Event{Kind: dragonflywaitingevent.Followed, Sequence: 2, Ready: true, Complete: true, Entries: 1, OutZones: []string{"a"}})
		So(verdicts, ShouldBeEmpty)
		_, verdicts = r.Step(at(600*ms), dragonflywaitingevent.Event{Kind: dragonflywaitingevent.Followed, Sequence: 3, Ready: true, Complete: true, Entries: 1})
		assertReleased(verdicts, 1)
	})
	for name, ev := range map[string]dragonflywaitingevent.Event{
		"leave": table(dragonflyendpoint.Endpoint{Leaving: true}), "are in a zone that is out": table(dragonflyendpoint.Endpoint{Zone: "a"}, "b", "a"),
	} {
		Convey("Endpoints that "+name+" release nobody", t, func() {
			ev.Sequence = 2
			r, _ := served(dragonflywaitingroom.New(1<<20, 1<<63), 1, 0, 0)
			r, _ = arrive(r, 0, stale(1, 0))
			r, verdicts := r.Step(at(500*ms), ev)
			So(verdicts, ShouldBeEmpty)
			So(r.Len(), ShouldEqual, 1)
		})
	}
	// lost plays a request each second that finds the endpoints unreachable, for 7 s.
	lost := func() (r dragonflywaitingroom.Room, verdicts []dragonflywaitingverdict.Verdict) {
		r, _ = served(dragonflywaitingroom.New(1<<20, 1<<63), 1, 0, 1)
		for id := uint64(1); id <= 7; id++ {
			now := dragonflyduration.Duration(id) * 1000 * ms
			q := stale(id, now)
			q.RetryAt = at(now + 300*ms)
			r, verdicts = arrive(r, now, q)
			r, _ = tick(r, now+300*ms)
		}
		return r, verdicts
	}
	Convey("After a long outage a newer table does not let requests wait again", t, func() {
		r, verdicts := lost()
		So(verdicts, ShouldHaveLength, 1)
		r, _ = served(r, 2, 7500*ms, 1)
		q := stale(8, 8000*ms)
		q.Sequence, q.RetryAt = 2, at(8300*ms)
		_, verdicts = arrive(r, 8000*ms, q)
		So(verdicts, ShouldHaveLength, 1)
		So(verdicts[0].Released, ShouldBeFalse)
	})
	Convey("A request that was released and does not come back ends the outage", t, func() {
		r, _ := served(dragonflywaitingroom.New(1<<20, 1<<63), 1, 0, 1)
		for id := uint64(1); id <= 10; id++ {
			now := dragonflyduration.Duration(id) * 2500 * ms
			q := stale(id, now)
			q.RetryAt = at(now + 300*ms)
			var verdicts []dragonflywaitingverdict.Verdict
			r, verdicts = arrive(r, now, q)
			So(verdicts, ShouldBeEmpty)
			r, verdicts = tick(r, now+300*ms)
			assertReleased(verdicts, id)
		}
	})
	Convey("A request waits for its second attempt if there is time for it", t, func() {
		for patience, waits := range map[dragonflyduration.Duration]bool{450 * ms: true, 350 * ms: false} {
			r, _ := served(dragonflywaitingroom.New(1<<20, 1<<63), 1, 0, 1)
			q := stale(1, 0)
			q.RetryAt, q.Until = at(300*ms), at(patience)
			r, _ = arrive(r, 0, q)
			So(r.Len() == 1, ShouldEqual, waits)
		}
	})
	Convey("A request that comes back full ends the outage", t, func() {
		r, _ := lost()
		q := stale(8, 8000*ms)
		q.Stale, q.Busy = false, true
		r, _ = arrive(r, 8000*ms, q)
		r, verdicts := arrive(r, 8100*ms, stale(9, 8100*ms))
		assertReleased(verdicts, 8)
		So(r.Len(), ShouldEqual, 1)
	})
	Convey("Requests wait again 5 s after the latest one that lacked endpoints", t, func() {
		r, _ := lost()
		_, verdicts := arrive(r, 12100*ms, stale(8, 12100*ms))
		So(verdicts, ShouldBeEmpty)
	})
}
