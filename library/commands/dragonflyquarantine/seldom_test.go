package dragonflyquarantine_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflypromptpart"
	. "github.com/smartystreets/goconvey/convey"
)

const hour = 3600 * second

// assertHeldAfter checks that a key is quarantined with the third of its crashes, which come at
// the given interval.
func assertHeldAfter(l *leader, interval dragonflyduration.Duration, id string, keys ...dragonflypromptpart.Part) {
	for i := range 3 {
		So(l.state.Quarantines(id), ShouldBeFalse)
		if i > 0 {
			l.advance(interval)
		}
		l.lose(keys...)
	}
	So(l.state.Quarantines(id), ShouldBeTrue)
}

// TestSeldomCrashes guards against evidence that is forgotten because time has passed, though no
// answer has spoken for the key.
func TestSeldomCrashes(t *testing.T) {
	for _, interval := range []dragonflyduration.Duration{second, 16 * second, 61 * second, 10 * 60 * second, hour} {
		Convey(fmt.Sprintf("A part and a request that crash a server every %g s are quarantined with the third crash", interval.Seconds()), t, func() {
			assertHeldAfter(newLeader(), interval, "dead", unanswered("dead")...)
			assertHeldAfter(newLeader(), interval, fingerprint("deadly"), lost("deadly")...)
		})
	}
	Convey("Two parts that crash servers in turn are both quarantined", t, func() {
		l := newLeader()
		for range 3 {
			for _, id := range []string{"dead", "grim"} {
				l.advance(16 * second)
				l.lose(unanswered(id)...)
			}
		}
		assertQuarantined(l, "dead", "grim")
	})
	Convey("Two crashes with a part outlast many others that have one key each", t, func() {
		l := newLeader()
		l.loseAt(2, unanswered("dead")...)
		for i := range 1000 {
			l.loseAt(1, lost(fmt.Sprint("left", i))...)
		}
		l.advance(hour)
		l.loseAt(1, unanswered("dead")...)
		assertQuarantined(l, "dead")
	})
	Convey("A key that is answered after each of its crashes is never quarantined", t, func() {
		for _, interval := range []dragonflyduration.Duration{16 * second, 10 * 60 * second} {
			l := newLeader()
			for range 12 {
				l.advance(interval)
				l.lose(lost("sound", "s1")...)
				l.advance(second)
				ids, _ := l.state.Watched()
				So(ids, ShouldContain, "s1")
				l.report("entry-2", answered("s1", second/10), answered(fingerprint("sound"), second/10))
			}
			assertQuarantined(l, []string(nil)...)
		}
	})
	Convey("Entries are asked again for answers to a key that was lost again", t, func() {
		l := newLeader()
		l.loseAt(1, unanswered("s1")...)
		l.advance(second)
		_, first := l.state.Watched()
		l.report("entry-2", answered("s1", second/10))
		l.loseAt(1, unanswered("s1")...)
		l.advance(second)
		_, second := l.state.Watched()
		So(second, ShouldBeGreaterThan, first)
	})
	Convey("Keys stop being asked for once they are answered", t, func() {
		l := newLeader()
		l.loseAt(1, unanswered("s1", "s2", "s3")...)
		l.advance(second)
		l.report("entry-2", answered("s1", 0), answered("s2", 0), answered("s3", 0))
		ids, _ := l.state.Watched()
		So(ids, ShouldBeEmpty)
	})
	Convey("A leader that begins anew keeps the recent crashes for good", t, func() {
		l := newLeader()
		l.state = l.state.WithLead(false)
		l.loseAt(2, unanswered("dead")...)
		l.state = l.state.WithLead(true)
		l.advance(hour)
		l.loseAt(1, unanswered("dead")...)
		assertQuarantined(l, "dead")
	})
}
