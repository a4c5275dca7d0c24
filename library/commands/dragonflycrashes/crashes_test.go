package dragonflycrashes_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflycrashes"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyfingerprint"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyloss"
	"dragonflyrelay.example/library/values/dragonflypromptpart"
	"dragonflyrelay.example/library/values/dragonflysurvivors"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	second = dragonflyduration.Second
	hour   = 3600 * second
)

// evidence is the crashes of an instance on a clock of its own.
type evidence struct {
	now   dragonflyinstant.Instant
	state dragonflycrashes.Crashes
	next  int // number of the next server
}

func newEvidence(leads bool) *evidence {
	return &evidence{now: dragonflyinstant.Instant(1000 * second), state: dragonflycrashes.Crashes{}.WithLead(leads)}
}

// crash reports the loss of another server, which has stopped, with the keys, and lets time pass.
func (e *evidence) crash(after dragonflyduration.Duration, keys ...string) {
	e.next++
	l := dragonflyloss.Loss{ID: fmt.Sprint("i-", e.next), Boot: 1, Refused: true}
	for _, id := range keys {
		l.Parts = append(l.Parts, dragonflypromptpart.Part{ID: id})
	}
	e.state = e.state.WithLosses(e.now, []dragonflyloss.Loss{l})
	e.advance(after)
}

func (e *evidence) advance(d dragonflyduration.Duration) {
	e.now = e.now.Add(d)
	e.state = e.state.Confirmed(e.now, func(string, int64) bool { return false })
}

// answer reports an answer to the key now.
func (e *evidence) answer(id string) {
	e.state = e.state.WithServed(e.now, []dragonflypromptpart.Part{{ID: id, Served: true}})
}

// assertAgainst checks how many crashes speak against a key.
func assertAgainst(e *evidence, id string, want int) {
	n := 0
	for _, c := range e.state.Settled(e.now) {
		if e.state.SpeaksAgainst(c, id) {
			n++
		}
	}
	So(n, ShouldEqual, want)
}

// TestCrashes guards against evidence that ends without an answer, and against evidence that an
// answer does not end.
func TestCrashes(t *testing.T) {
	Convey("A leader keeps the keys of a crash until they are answered", t, func() {
		e := newEvidence(true)
		e.crash(hour, "dead", "s1")
		assertAgainst(e, "dead", 1)
		e.answer("s1")
		e.crash(hour, "dead")
		assertAgainst(e, "s1", 0)
		assertAgainst(e, "dead", 2)
		So(e.state.Has("s1"), ShouldBeFalse)
		e.answer("dead")
		e.advance(second)
		So(e.state.Len(), ShouldEqual, 0)
	})
	Convey("An answer before a crash does not speak for a key, and shows that it was answered", t, func() {
		e := newEvidence(true)
		e.crash(second, "s1")
		e.answer("s1")
		e.advance(second)
		e.crash(second, "s1")
		assertAgainst(e, "s1", 1)
		So(e.state.Answered("s1"), ShouldBeTrue)
	})
	Convey("An instance without the lead keeps crashes for half a minute", t, func() {
		e := newEvidence(false)
		e.crash(29*second, "dead")
		assertAgainst(e, "dead", 1)
		e.advance(2 * second)
		So(e.state.Len(), ShouldEqual, 0)
	})
	Convey("Crashes that say least make room, and those of a key that was lost twice stay", t, func() {
		e := newEvidence(true)
		e.crash(hour, "dead")
		e.crash(hour, "dead")
		for i := range 2000 {
			e.crash(second, fmt.Sprint("p", i))
		}
		assertAgainst(e, "dead", 2)
		So(e.state.Len(), ShouldBeLessThanOrEqualTo, 256)
	})
	Convey("All keys together are bounded", t, func() {
		e := newEvidence(true)
		for i := range 400 {
			var keys []string
			for j := range 128 {
				keys = append(keys, fmt.Sprintf("p%d-%d", i, j))
			}
			e.crash(second, keys...)
		}
		total := 0
		for _, c := range e.state.Settled(e.now) {
			total += c.Len()
		}
		So(total, ShouldBeBetween, 20_000, 24_577)
	})
	Convey("A server that lives on has not crashed", t, func() {
		e := newEvidence(true)
		e.state = e.state.WithLosses(e.now, []dragonflyloss.Loss{{ID: "i-1", Boot: 1, Parts: []dragonflypromptpart.Part{{ID: "s1"}}}})
		e.advance(7 * second)
		So(e.state.Len(), ShouldEqual, 0)
	})
}

// TestRecord guards against a part that is not recorded because many requests were lost with it.
func TestRecord(t *testing.T) {
	Convey("A record holds parts and requests within bounds of their own, those of most crashes first", t, func() {
		e := newEvidence(true)
		e.crash(second, "dead")
		keys := []string{"dead"}
		for i := range 100 {
			keys = append(keys, fmt.Sprint("p", i), dragonflyfingerprint.Of("POST", "h", "/", "t1", fmt.Append(nil, i)))
		}
		e.crash(3*second, keys...)
		losses := e.state.Record(e.now)
		So(losses, ShouldHaveLength, 2)
		var parts, requests int
		hasDead := false
		for _, p := range losses[1].Parts {
			hasDead = hasDead || p.ID == "dead"
			if dragonflyfingerprint.Is(p.ID) {
				requests++
			} else {
				parts++
			}
		}
		So([]int{parts, requests}, ShouldResemble, []int{32, 32})
		So(hasDead, ShouldBeTrue)
	})
}

// TestUnanswered guards against sound keys whose answers the leader does not ask for.
func TestUnanswered(t *testing.T) {
	Convey("The leader asks for the keys of crashes once most lost requests have been repeated", t, func() {
		e := newEvidence(true)
		e.crash(second/5, "s1", "s2")
		ids, _ := e.state.Unanswered(e.now)
		So(ids, ShouldBeEmpty)
		e.answer("s2")
		e.advance(second)
		ids, latest := e.state.Unanswered(e.now)
		So(ids, ShouldResemble, []string{"s1"})
		So(latest, ShouldEqual, dragonflyinstant.Instant(1000*second))
	})
	Convey("An instance without the lead asks for none", t, func() {
		e := newEvidence(false)
		e.crash(second, "s1")
		ids, _ := e.state.Unanswered(e.now)
		So(ids, ShouldBeEmpty)
	})
}

// TestSurvivors guards against servers of a domain that stopped which count apart, and servers of a
// burst that do not.
func TestSurvivors(t *testing.T) {
	apart := func(e *evidence, site string, livedOn bool) (n int) {
		e.state = e.state.WithSurvivors(e.now, dragonflysurvivors.Survivors{
			Site:    func(string) string { return site },
			LivedOn: func(at string, since dragonflyinstant.Instant) bool { return livedOn && at == site && since < e.now },
		})
		for _, c := range e.state.Settled(e.now) {
			if c.Alone() {
				n++
			}
		}
		return n
	}
	Convey("Crashes of one moment count apart if their site lived on, and not before it can have reported", t, func() {
		for _, livedOn := range []bool{true, false} {
			e := newEvidence(true)
			e.crash(second/100, "dead")
			e.crash(second, "dead")
			So(apart(e, "zone-a/rack-1", livedOn), ShouldEqual, 0)
			e.advance(second)
			So(apart(e, "zone-a/rack-1", livedOn) == 2, ShouldEqual, livedOn)
		}
	})
	Convey("A site that is not known, or known only while the server was, is what was first noted", t, func() {
		e := newEvidence(true)
		e.crash(second/100, "dead")
		e.crash(second, "dead")
		So(apart(e, "", true), ShouldEqual, 0)
		So(apart(e, "zone-a/rack-1", true), ShouldEqual, 0)
		e.advance(second)
		e.state = e.state.WithSurvivors(e.now, dragonflysurvivors.Survivors{
			Site:    func(string) string { return "" },
			LivedOn: func(at string, _ dragonflyinstant.Instant) bool { return at == "zone-a/rack-1" },
		})
		So(e.state.Settled(e.now)[0].Alone(), ShouldBeTrue)
	})
}
