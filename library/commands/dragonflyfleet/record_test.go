package dragonflyfleet_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyfleet"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflyquarantinerecord"
	. "github.com/smartystreets/goconvey/convey"
)

// receive lets the fleet apply a record from the log.
func (s *simulation) receive(r dragonflyquarantinerecord.Record, term uint64) {
	s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.WithdrawalsReceived, Withdrawals: s.withdrawals, Opened: s.opened, Record: r, Term: term})
}

// crashHeads lets three heads stop, one after the other, under a part.
func (s *simulation) crashHeads(part string) {
	for range 3 {
		head := s.firstHead()
		s.loseHead(head, "a1", part)
		head.unreachable = true
		s.advance(2 * second)
	}
}

func assertDue(s *simulation, want bool) (r dragonflyquarantinerecord.Record) {
	r, isDue := s.fleet.DueRecord(s.now)
	So(isDue, ShouldEqual, want)
	return r
}

// TestQuarantineRecord guards against a quarantine that the log does not hold, and against one that is
// recorded again and again.
func TestQuarantineRecord(t *testing.T) {
	Convey("Given a leader that quarantines a part", t, func() {
		s := newSimulation(12)
		s.advance(4 * second)
		assertDue(s, false)
		s.crashHeads("dead")
		So(s.quarantined(), ShouldResemble, []string{"dead"})
		r := assertDue(s, true)
		So(r.Term, ShouldEqual, 1)

		Convey("the quarantine is due until the log holds it", func() {
			s.receive(r, 1)
			assertDue(s, false)
			s.advance(60 * second)
			assertDue(s, false)
		})
		Convey("an instance that starts with the log refuses the part, without a leader and as the leader", func() {
			f, _ := dragonflyfleet.Fleet{}.Step(1, dragonflyfleetevent.Event{Kind: dragonflyfleetevent.WithdrawalsReceived, Record: r, Term: 1})
			So(f.Quarantined(1), ShouldHaveLength, 1)
			f, _ = f.Step(2, dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Led, Term: 2})
			So(f.Quarantined(2), ShouldHaveLength, 1)
			_, isDue := f.DueRecord(3)
			So(isDue, ShouldBeFalse)
		})
		Convey("an operator releases it", func() {
			s.receive(r, 1)
			s.receive(r.WithoutKey("dead"), 1)
			So(s.quarantined(), ShouldBeEmpty)
			s.advance(second)
			So(s.quarantined(), ShouldBeEmpty)
		})
		Convey("a leader that is new keeps what it holds when it reads an older record", func() {
			s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Followed})
			s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Led, Term: 2})
			s.receive(r, 2)
			So(s.quarantined(), ShouldResemble, []string{"dead"})
		})
	})
}
