package dragonflyquarantine_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyloss"
	"dragonflyrelay.example/library/values/dragonflypromptpart"
	"dragonflyrelay.example/library/values/dragonflysurvivors"
	. "github.com/smartystreets/goconvey/convey"
)

// loseTogether loses n engines within some milliseconds, each with the keys, and returns once the
// servers that live on have reported.
func (l *leader) loseTogether(n int, livedOn bool, keys ...dragonflypromptpart.Part) {
	for range n {
		l.next++
		l.state = l.state.WithLosses(l.now, []dragonflyloss.Loss{{ID: fmt.Sprintf("i-%d", l.next), Boot: 1, Parts: keys}})
		l.now = l.now.Add(second / 200)
	}
	for range 8 {
		l.state = l.state.WithSurvivors(l.now, dragonflysurvivors.Survivors{
			Site: func(string) string { return "zone-a/" }, LivedOn: func(string, dragonflyinstant.Instant) bool { return livedOn },
		})
		l.advance(second / 4)
	}
}

// TestBursts guards against a burst of deadly requests that counts as one crash, and against sound
// keys that are held because a domain stopped.
func TestBursts(t *testing.T) {
	none := []string(nil)
	deadly := fingerprint("deadly")
	Convey("Five servers that crash at one moment with a part, while their domains live on, quarantine it within three seconds", t, func() {
		l := newLeader()
		begin := l.now
		l.loseTogether(5, true, append(unanswered("a1", "dead"), answered("a1", second/10))...)
		assertQuarantined(l, "dead")
		So(l.now.Sub(begin), ShouldBeLessThan, 3*second)
	})
	Convey("Fewer do not, nor does one domain that stops with all of its servers", t, func() {
		l := newLeader()
		l.loseTogether(4, true, unanswered("s1")...)
		assertQuarantined(l, none...)
		l = newLeader()
		l.loseTogether(12, false, append(unanswered("s1"), lost("sound")...)...)
		assertQuarantined(l, none...)
	})
	Convey("Four at one moment and one after it quarantine a part", t, func() {
		l := newLeader()
		l.loseTogether(4, true, unanswered("dead")...)
		l.lose(unanswered("dead")...)
		assertQuarantined(l, "dead")
	})
	Convey("A part that is answered within the time in which the other servers report is not held", t, func() {
		l := newLeader()
		for range 6 {
			l.next++
			l.state = l.state.WithLosses(l.now, []dragonflyloss.Loss{{ID: fmt.Sprintf("i-%d", l.next), Boot: 1, Parts: unanswered("s1")}})
		}
		l.advance(second)
		l.report("entry-2", answered("s1", second/2))
		l.loseTogether(0, true)
		assertQuarantined(l, none...)
	})
	Convey("Copies of one request that crash three servers at one moment quarantine it", t, func() {
		l := newLeader()
		l.loseTogether(3, true, lost("deadly", "a1")...)
		assertQuarantined(l, deadly)
	})
	Convey("A part is quarantined though each of the requests of a burst was lost three times", t, func() {
		l := newLeader()
		begin := l.now
		for i := range 7 {
			l.now = l.now.Add(second / 50)
			keys := unanswered("a1", "dead")
			for j := i / 2; j < i/2+3; j++ {
				keys = append(keys, dragonflypromptpart.Part{ID: fingerprint(fmt.Sprint("b", j))})
			}
			l.state = l.state.WithLosses(l.now, []dragonflyloss.Loss{{ID: fmt.Sprint("b-", i), Boot: 1, Parts: append(keys, answered("a1", second/100))}})
		}
		l.loseTogether(0, true)
		So(l.state.Quarantines("dead"), ShouldBeTrue)
		So(l.state.Quarantines("a1"), ShouldBeFalse)
		So(l.now.Sub(begin), ShouldBeLessThan, 3*second)
	})
	Convey("A domain that stops again and again holds no key that is answered in between", t, func() {
		for _, interval := range []dragonflyduration.Duration{3 * second, 16 * second, 600 * second} {
			l := newLeader()
			for range 10 {
				l.loseTogether(9, false, append(unanswered("s1"), lost("sound", "s2")...)...)
				l.report("entry-1", answered("s1", 0), answered("s2", 0), answered(fingerprint("sound"), 0))
				l.advance(interval)
			}
			assertQuarantined(l, none...)
		}
	})
}
