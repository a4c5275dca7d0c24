package dragonflyquarantine_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyquarantine"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyloss"
	"dragonflyrelay.example/library/values/dragonflypromptpart"
	"dragonflyrelay.example/library/values/dragonflyquarantinedpart"
	. "github.com/smartystreets/goconvey/convey"
)

const second = dragonflyduration.Second

// reportTime is a time in which all entries have reported a loss.
const reportTime = second / 4

// leader is a quarantine on a clock of its own. All upstreams have stopped, except those
// that run.
type leader struct {
	now   dragonflyinstant.Instant
	state dragonflyquarantine.Quarantine
	runs  map[string]bool
	next  int // number of the next engine
}

func newLeader() *leader {
	return &leader{now: dragonflyinstant.Instant(1000 * second), runs: map[string]bool{}, state: dragonflyquarantine.Quarantine{}.WithLead(true)}
}

func unanswered(ids ...string) (parts []dragonflypromptpart.Part) {
	for depth, id := range ids {
		parts = append(parts, dragonflypromptpart.Part{ID: id, Depth: depth})
	}
	return parts
}

func answered(id string, age dragonflyduration.Duration) dragonflypromptpart.Part {
	return dragonflypromptpart.Part{ID: id, Served: true, ServedAge: age}
}

// lose reports the loss of another engine with the given parts, and decides.
func (l *leader) lose(parts ...dragonflypromptpart.Part) (engine string) {
	l.next++
	engine = fmt.Sprintf("i-%d", l.next)
	l.state = l.state.WithLosses(l.now, []dragonflyloss.Loss{{ID: engine, Boot: 1, Parts: parts}})
	l.advance(reportTime)
	return engine
}

func (l *leader) decide() {
	l.state, _ = l.state.Decide(l.now, func(id string, _ int64) bool { return !l.runs[id] })
}

func (l *leader) advance(d dragonflyduration.Duration) {
	l.now = l.now.Add(d)
	l.decide()
}

// report passes on what a process has seen of quarantined parts.
func (l *leader) report(process string, parts ...dragonflypromptpart.Part) {
	l.state, _ = l.state.WithParts(l.now, 7, process, parts)
	l.decide()
}

// loseAt loses an engine with the parts at each of n moments, a second apart.
func (l *leader) loseAt(n int, parts ...dragonflypromptpart.Part) {
	for range n {
		l.advance(second - reportTime)
		l.lose(parts...)
	}
}

func (l *leader) part(process, id string) (p dragonflyquarantinedpart.Part) {
	for _, p := range l.state.Parts(l.now, process) {
		if p.ID == id {
			return p
		}
	}
	return p
}

func assertQuarantined(l *leader, ids ...string) {
	var got []string
	for _, p := range l.state.Parts(l.now, "") {
		got = append(got, p.ID)
	}
	So(got, ShouldResemble, ids)
}

func TestSuspicion(t *testing.T) {
	none := []string(nil)
	Convey("A part that was in a request without an answer at three crashes is quarantined", t, func() {
		l := newLeader()
		l.loseAt(2, unanswered("a1", "dead")...)
		assertQuarantined(l, none...)
		l.loseAt(1, unanswered("a1", "dead")...)
		assertQuarantined(l, "dead")
	})
	Convey("A first part that is answered in between is not suspected, wherever the deadly one stands", t, func() {
		l := newLeader()
		for range 3 {
			l.advance(second)
			l.lose(dragonflypromptpart.Part{ID: "dead"}, dragonflypromptpart.Part{ID: "a1", Depth: 1, Served: true, ServedAge: second / 10})
		}
		assertQuarantined(l, "dead")
	})
	Convey("Crashes that a quarantined part explains accuse no other part", t, func() {
		l := newLeader()
		l.loseAt(8, append(unanswered("a1", "dead"), unanswered("waiting")...)...)
		assertQuarantined(l, "dead")
	})
	Convey("Several deadly parts are all quarantined", t, func() {
		l := newLeader()
		for range 4 {
			l.loseAt(1, append(unanswered("a1", "dead"), answered("a1", 30*second))...)
			l.loseAt(1, append(unanswered("b1", "grim"), answered("b1", 30*second))...)
			l.loseAt(1, append(unanswered("a1", "fell"), answered("a1", 30*second))...)
		}
		assertQuarantined(l, "dead", "fell", "grim")
	})
	Convey("Engines of a domain that stop at one moment accuse no part", t, func() {
		l := newLeader()
		var losses []dragonflyloss.Loss
		for i := range 12 {
			losses = append(losses, dragonflyloss.Loss{ID: fmt.Sprintf("i-%d", i), Age: second / 200 * dragonflyduration.Duration(i), Parts: unanswered("a1")})
		}
		l.state = l.state.WithLosses(l.now, losses)
		l.advance(reportTime)
		assertQuarantined(l, none...)
	})
	Convey("Connections that break without a crash accuse no part", t, func() {
		l := newLeader()
		for i := range 12 {
			l.runs[fmt.Sprintf("i-%d", i+1)] = true
		}
		l.loseAt(12, unanswered("a1")...)
		assertQuarantined(l, none...)
		l.runs = map[string]bool{} // Later ends of the engines have another cause.
		l.advance(7 * second)
		assertQuarantined(l, none...)
	})
	Convey("A part that was answered before its model was away for four crashes is not accused, one that never is answered again is", t, func() {
		l := newLeader()
		for i := range 5 {
			assertQuarantined(l, none...)
			l.loseAt(1, answered("a1", dragonflyduration.Duration(i+5)*second))
		}
		assertQuarantined(l, "a1")
	})
	Convey("A part that occurs at the crashes of another one is not accused before all entries have reported", t, func() {
		l := newLeader()
		l.loseAt(2, append(unanswered("a1", "dead"), unanswered("waiting")...)...)
		l.advance(second)
		l.state = l.state.WithLosses(l.now, []dragonflyloss.Loss{{ID: "i-late", Boot: 1, Parts: unanswered("waiting")}})
		l.advance(second / 20)
		assertQuarantined(l, none...)
		l.state = l.state.WithLosses(l.now, []dragonflyloss.Loss{{ID: "i-late", Boot: 1, Parts: unanswered("a1", "dead")}})
		l.advance(second)
		assertQuarantined(l, "dead")
	})
	Convey("A deadly part stays quarantined if another one occurs at all of its crashes", t, func() {
		l := newLeader()
		l.loseAt(3, append(unanswered("a1", "dead"), dragonflypromptpart.Part{ID: "grim"})...)
		assertQuarantined(l, "dead")
		l.loseAt(3, dragonflypromptpart.Part{ID: "grim"})
		assertQuarantined(l, "dead", "grim")
	})
	Convey("Crashes of half a minute ago are forgotten by an instance without the lead, which receives no answers", t, func() {
		l := newLeader()
		l.state = l.state.WithLead(false)
		l.loseAt(2, unanswered("dead")...)
		l.advance(31 * second)
		l.loseAt(1, unanswered("dead")...)
		assertQuarantined(l, none...)
	})
}

func TestRelease(t *testing.T) {
	quarantined := func() *leader {
		l := newLeader()
		l.loseAt(3, append(unanswered("a1", "dead"), answered("a1", second/2))...)
		assertQuarantined(l, "dead")
		return l
	}
	Convey("An answer at another entry since the crashes, or before them, releases a part at once", t, func() {
		for _, age := range []dragonflyduration.Duration{second, 100 * second} {
			l := quarantined()
			l.report("entry-2", answered("dead", age))
			assertQuarantined(l, []string(nil)...)
		}
	})
	Convey("One process may probe a part that is wanted after 15 s", t, func() {
		l := quarantined()
		wanted := dragonflypromptpart.Part{ID: "dead", Wanted: true}
		l.advance(14 * second)
		l.report("entry-1", wanted)
		So(l.part("entry-1", "dead").Grant, ShouldEqual, 0)
		l.advance(2 * second)
		l.report("entry-1", wanted)
		l.report("entry-2", wanted)
		So(l.part("entry-1", "dead").Grant, ShouldNotEqual, 0)
		So(l.part("entry-2", "dead").Grant, ShouldEqual, 0)
		Convey("and the answer releases the part", func() {
			l.report("entry-1", answered("dead", 0))
			assertQuarantined(l, []string(nil)...)
		})
		Convey("and another crash doubles the time to the next probe", func() {
			l.loseAt(1, unanswered("a1", "dead")...)
			So(l.part("entry-1", "dead").ProbeIn, ShouldEqual, 30*second)
			So(l.part("entry-1", "dead").Grant, ShouldEqual, 0)
		})
		Convey("and another process may probe it if the outcome is not known", func() {
			first := l.part("entry-1", "dead").Grant
			l.advance(11 * second)
			l.report("entry-2", wanted)
			So(l.part("entry-2", "dead").Grant, ShouldBeGreaterThan, first)
			So(l.part("entry-1", "dead").Grant, ShouldEqual, 0)
		})
	})
	Convey("A quarantine does not end while nothing speaks for the part", t, func() {
		l := quarantined()
		for range 60 {
			l.advance(60 * second)
		}
		assertQuarantined(l, "dead")
	})
	Convey("A new leader takes the quarantine over from entries", t, func() {
		l := quarantined()
		l.advance(5 * second)
		next := newLeader()
		next.state = next.state.WithKnown(next.now, l.state.Parts(l.now, "entry-1"))
		assertQuarantined(next, "dead")
		So(next.part("", "dead").ProbeIn, ShouldEqual, 10*second)
		next.report("entry-2", answered("dead", second/2))
		assertQuarantined(next, []string(nil)...)
	})
}

func TestBounds(t *testing.T) {
	Convey("Losses and parts without end stay within bounds", t, func() {
		l := newLeader()
		for i := range 500 {
			parts := unanswered("dead")
			for j := range 400 {
				parts = append(parts, dragonflypromptpart.Part{ID: fmt.Sprintf("p%d-%d", i, j)})
			}
			l.lose(parts...)
		}
		var known []dragonflyquarantinedpart.Part
		for i := range 500 {
			known = append(known, dragonflyquarantinedpart.Part{ID: fmt.Sprint(i), ProbeIn: second})
		}
		l.state = l.state.WithKnown(l.now, known)
		So(len(l.state.Parts(l.now, "")), ShouldBeLessThanOrEqualTo, 64)
		So(l.state.Quarantines("dead"), ShouldBeTrue)
	})
}
