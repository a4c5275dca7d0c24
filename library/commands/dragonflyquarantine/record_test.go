package dragonflyquarantine_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyquarantine"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	. "github.com/smartystreets/goconvey/convey"
)

// restart returns the leader that starts with what l has recorded, on a clock of its own.
func (l *leader) restart() *leader {
	next := newLeader()
	next.now, next.next = dragonflyinstant.Instant(7*second), 1000
	next.state = dragonflyquarantine.Quarantine{}.WithRecord(next.now, l.state.Record(l.now)).WithLead(true)
	next.decide()
	return next
}

// TestRecord guards against evidence that is gone once all processes were killed, and against
// evidence that an answer has ended and a record brings back.
func TestRecord(t *testing.T) {
	deadly := fingerprint("deadly")
	Convey("Quarantined keys outlast all processes, with the probes that have failed", t, func() {
		l := newLeader()
		l.loseAt(3, unanswered("dead")...)
		l.loseAt(3, lost("deadly")...)
		So(l.probe("dead", hour), ShouldBeTrue)
		l.loseAt(1, unanswered("dead")...)
		next := l.restart()
		assertQuarantined(next, "dead", deadly)
		So(next.part("", "dead").FailedProbes, ShouldEqual, 1)
		So(next.probe("dead", hour), ShouldBeTrue)
		next.loseAt(1, unanswered("dead")...)
		So(next.restart().probe("dead", hour), ShouldBeFalse)
		Convey("and an answer ends them", func() {
			next.report("entry-1", answered("dead", 0))
			assertQuarantined(next, deadly)
			So(next.restart().state.Quarantines("dead"), ShouldBeFalse)
		})
	})
	Convey("Two crashes with a key outlast all processes, though others follow and time passes", t, func() {
		l := newLeader()
		l.loseAt(2, lost("deadly")...)
		l.loseAt(2, unanswered("dead")...)
		for i := range 300 {
			l.loseAt(1, lost(fmt.Sprint("left", i))...)
		}
		l.advance(hour)
		next := l.restart().restart()
		next.advance(hour)
		next.loseAt(1, unanswered("dead")...)
		assertQuarantined(next, "dead")
		next.loseAt(1, lost("deadly")...)
		assertQuarantined(next, "dead", deadly)
	})
	Convey("A record holds no key that was answered, and little of what all waiting requests leave", t, func() {
		l := newLeader()
		l.loseAt(2, lost("sound", "s1")...)
		l.advance(3 * second)
		So(l.state.Record(l.now).Losses, ShouldHaveLength, 2)
		l.report("entry-1", answered("s1", 0), answered(fingerprint("sound"), 0))
		So(l.state.Record(l.now).Empty(), ShouldBeTrue)
	})
	Convey("An instance without the lead drops what the leader no longer records", t, func() {
		l := newLeader()
		l.loseAt(3, unanswered("s1")...)
		follower := newLeader()
		follower.state = dragonflyquarantine.Quarantine{}.WithRecord(follower.now, l.state.Record(l.now))
		assertQuarantined(follower, "s1")
		l.report("entry-1", answered("s1", 0))
		follower.state = follower.state.WithRecord(follower.now, l.state.Record(l.now))
		assertQuarantined(follower, []string(nil)...)
	})
	Convey("An instance that has had a crash reported itself keeps it with the record, and leads with it", t, func() {
		l, follower := newLeader(), newLeader()
		follower.state = dragonflyquarantine.Quarantine{}
		for range 2 {
			l.loseAt(1, unanswered("dead", "s1")...)
			follower.loseAt(1, unanswered("dead", "s1")...)
		}
		l.advance(3 * second)
		l.report("entry-1", answered("s1", 0))
		follower.state = follower.state.WithRecord(follower.now, l.state.Record(l.now))
		follower.advance(hour)
		follower.state = follower.state.WithLead(true)
		follower.loseAt(1, unanswered("dead", "s1")...)
		assertQuarantined(follower, "dead")
	})
	Convey("An instance without the lead does not hold for long what the leader does not record", t, func() {
		follower := newLeader()
		follower.state = follower.state.WithLead(false)
		follower.loseAt(3, unanswered("s1")...)
		assertQuarantined(follower, "s1")
		follower.advance(61 * second)
		assertQuarantined(follower, []string(nil)...)
	})
	Convey("A key that an operator has released is held again after new crashes only", t, func() {
		l := newLeader()
		l.loseAt(3, unanswered("dead")...)
		l.state = l.state.WithoutKey("dead")
		l.advance(second)
		assertQuarantined(l, []string(nil)...)
		So(l.restart().state.Quarantines("dead"), ShouldBeFalse)
		l.loseAt(2, unanswered("dead")...)
		assertQuarantined(l, []string(nil)...)
		l.loseAt(1, unanswered("dead")...)
		assertQuarantined(l, "dead")
	})
	Convey("A record of many crashes is bounded", t, func() {
		l := newLeader()
		for i := range 300 {
			var keys []string
			for j := range 100 {
				keys = append(keys, fmt.Sprintf("p%d-%d", i, j))
			}
			l.loseAt(1, unanswered(keys...)...)
		}
		l.advance(3 * second)
		r := l.state.Record(l.now)
		So(len(r.Losses), ShouldBeLessThanOrEqualTo, 64)
		for _, loss := range r.Losses {
			So(len(loss.Parts), ShouldBeLessThanOrEqualTo, 64)
		}
	})
	Convey("A quarantine that is full drops the key that was not asked for for longest", t, func() {
		l := newLeader()
		for i := range 65 {
			l.loseAt(3, unanswered(fmt.Sprint("dead", i))...)
			l.advance(20 * second)
		}
		So(l.state.Quarantines("dead0"), ShouldBeFalse)
		So(l.state.Quarantines("dead1"), ShouldBeTrue)
		So(l.state.Quarantines("dead64"), ShouldBeTrue)
	})
}
