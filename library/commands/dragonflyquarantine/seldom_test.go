package dragonflyquarantine_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyloss"
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

// probe lets a process ask for the key until it is permitted a request, at most for the given time,
// and reports whether it was.
func (l *leader) probe(id string, most dragonflyduration.Duration) (permitted bool) {
	for range most / (10 * second) {
		l.advance(10 * second)
		l.report("entry-1", dragonflypromptpart.Part{ID: id, Wanted: true})
		if l.part("entry-1", id).Grant != 0 {
			return true
		}
	}
	return false
}

// TestProbesEnd guards against probes that go on for as long as a key is asked for: each one ends
// a server, and callers are promised at most three.
func TestProbesEnd(t *testing.T) {
	for _, id := range []string{"dead", fingerprint("deadly")} {
		Convey("Two probes of "+id+" that crash a server are the last ones", t, func() {
			l := newLeader()
			l.loseAt(3, dragonflypromptpart.Part{ID: id})
			for range 2 {
				So(l.probe(id, hour), ShouldBeTrue)
				l.loseAt(1, dragonflypromptpart.Part{ID: id})
			}
			So(l.probe(id, 3*hour), ShouldBeFalse)
			So(l.state.Quarantines(id), ShouldBeTrue)
			So(l.part("", id).Exhausted, ShouldBeTrue)
			Convey("and those of another leader too, which receives the counts from an entry", func() {
				next := newLeader()
				next.state = next.state.WithKnown(next.now, l.state.Parts(l.now, "entry-1"))
				So(next.probe(id, 3*hour), ShouldBeFalse)
			})
			Convey("and an answer to a request that was sent before still ends the quarantine", func() {
				l.report("entry-2", answered(id, 0))
				So(l.state.Quarantines(id), ShouldBeFalse)
			})
		})
		Convey("A probe of "+id+" whose outcome is not known is no failed one", t, func() {
			l := newLeader()
			l.loseAt(3, dragonflypromptpart.Part{ID: id})
			for range 6 {
				So(l.probe(id, hour), ShouldBeTrue)
				l.advance(20 * second)
			}
		})
	}
	Convey("A part that six crashes preceded is probed twice at most", t, func() {
		l := newLeader()
		for range 3 {
			l.advance(16 * second)
			l.state = l.state.WithLosses(l.now, []dragonflyloss.Loss{{ID: fmt.Sprint("j-", l.next), Boot: 1, Parts: unanswered("dead")}})
			l.lose(unanswered("dead")...)
		}
		n := 0
		for l.probe("dead", 3*hour) {
			l.loseAt(1, unanswered("dead")...)
			n++
		}
		So(n, ShouldEqual, 2)
	})
}
