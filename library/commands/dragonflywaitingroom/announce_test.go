package dragonflywaitingroom_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflywaitingroom"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflywaitingevent"
	"dragonflyrelay.example/library/values/dragonflywaitingrequest"
	"dragonflyrelay.example/library/values/dragonflywaitingverdict"
	. "github.com/smartystreets/goconvey/convey"
)

// unrouted returns a request without a document, arrived at now.
func unrouted(id uint64, now dragonflyduration.Duration, size int64) dragonflywaitingrequest.Request {
	return dragonflywaitingrequest.Request{
		ID: id, Unrouted: true, Workspace: "w", Size: size, Began: at(now), Until: at(now + 1500*ms), Deadline: at(now + 6000*ms),
	}
}

// announce passes the announcement of q at now to the room.
func announce(r dragonflywaitingroom.Room, now dragonflyduration.Duration, q dragonflywaitingrequest.Request) (dragonflywaitingroom.Room, []dragonflywaitingverdict.Verdict) {
	return r.Step(at(now), dragonflywaitingevent.Event{Kind: dragonflywaitingevent.Announced, Request: q})
}

// assertRefused asserts that the verdicts are the refusal of the request with the id.
func assertRefused(verdicts []dragonflywaitingverdict.Verdict, id uint64) {
	So(verdicts, ShouldHaveLength, 1)
	So(verdicts[0].ID, ShouldEqual, id)
	So(verdicts[0].Released, ShouldBeFalse)
	So(verdicts[0].RetryAfter, ShouldBeGreaterThanOrEqualTo, 300*ms)
}

// TestAnnounced guards against bodies that are read for requests without hope or room.
func TestAnnounced(t *testing.T) {
	Convey("The room keeps the stated size until the request arrives", t, func() {
		r, verdicts := announce(dragonflywaitingroom.New(400<<10, 0), 0, unrouted(1, 0, 200<<10))
		assertReleased(verdicts, 1)
		So(r.Bytes(), ShouldBeGreaterThan, 200<<10)
		r, verdicts = arrive(r, 100*ms, unrouted(1, 0, 10<<10))
		So(verdicts, ShouldBeEmpty)
		So(r.Len(), ShouldEqual, 1)
		So(r.Bytes(), ShouldBeLessThan, 50<<10)
	})
	Convey("A request that does not fit is refused and evicts nobody", t, func() {
		r, _ := arrive(dragonflywaitingroom.New(400<<10, 0), 0, unrouted(1, 0, 300<<10))
		r, verdicts := announce(r, 0, unrouted(2, 0, 200<<10))
		assertRefused(verdicts, 2)
		So(r.Len(), ShouldEqual, 1)
	})
	Convey("A request without hope is refused", t, func() {
		r, _ := announce(dragonflywaitingroom.New(400<<10, 0), 0, unrouted(1, 0, 10))
		r, verdicts := announce(r, 4500*ms, unrouted(2, 4500*ms, 10))
		assertRefused(verdicts, 2)
		r, _ = r.Step(at(4500*ms), dragonflywaitingevent.Event{Kind: dragonflywaitingevent.Ticked})
		So(r.Len(), ShouldEqual, 0)
	})
	Convey("A request that can be routed meanwhile takes no room", t, func() {
		r, _ := served(dragonflywaitingroom.New(400<<10, 0), 1, 0, 1)
		r, verdicts := announce(r, 0, unrouted(1, 0, 10))
		assertReleased(verdicts, 1)
		So(r.Len(), ShouldEqual, 0)
	})
}
