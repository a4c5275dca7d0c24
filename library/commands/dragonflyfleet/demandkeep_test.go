package dragonflyfleet_test

import (
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	. "github.com/smartystreets/goconvey/convey"
)

// leadAgain makes the instance follow and then lead the term.
func leadAgain(l *demandLoad, term uint64) {
	l.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Followed})
	l.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Led, Term: term})
}

// assertNothingMoves asserts that no group is drained, ended or formed within the time of
// several plans.
func assertNothingMoves(l *demandLoad) {
	l.clear()
	l.run(60 * second)
	So(l.details("group-closing", "group-ending", "group-ended", "group-formed"), ShouldBeEmpty)
}

// afterMove returns a load whose plan has moved groups to the small model.
func afterMove() *demandLoad {
	l := played("move", usualLoad())
	assertGroups(l, 2, 8)
	return l
}

// afterReturn returns a load whose plan has moved groups to the large model.
func afterReturn() *demandLoad {
	l := played("return", scaled(scaled(usualLoad(), "large", 6), "small", 0.3))
	assertGroups(l, 4, 4)
	return l
}

// states holds the loads that played copies, by name.
var states = map[string]*demandLoad{}

// played returns a load whose groups have formed and that was then played for a minute, and
// until no engine carried out an order.
func played(name string, kinds []requestKind) *demandLoad {
	if states[name] == nil {
		l := started(true, kinds)
		l.run(60 * second)
		for range 600 {
			if len(l.doneAt) > 0 {
				l.run(tickTime)
			}
		}
		states[name] = l
	}
	l := states[name].clone()
	l.kinds = kinds
	return l
}

// TestPlanByDemandKeepsGroups guards against groups that end although no model is short.
func TestPlanByDemandKeepsGroups(t *testing.T) {
	for name, factors := range map[string][2]float64{"low": {1.5, 0.3}, "no": {0, 0}} {
		after := func() *demandLoad {
			l := afterReturn()
			l.kinds = scaled(scaled(usualLoad(), "large", factors[0]), "small", factors[1])
			l.run(20 * second)
			return l
		}
		Convey("A new leader ends no group that an earlier plan has formed: "+name+" demand", t, func() {
			l := after()
			leadAgain(l, 2)
			assertNothingMoves(l)
		})
		Convey("A leader that stands still for 3 s ends no group: "+name+" demand", t, func() {
			l := after()
			l.now = l.now.Add(3 * second)
			assertNothingMoves(l)
		})
		Convey("Entries that are cut off for 3 s end no group: "+name+" demand", t, func() {
			l := after()
			l.mute = true
			l.run(3 * second)
			l.mute = false
			assertNothingMoves(l)
		})
	}
}

// TestPlanByDemandDrains guards against streams that are broken off for a move.
func TestPlanByDemandDrains(t *testing.T) {
	Convey("The engines of a group are taken by a drain, also if the demand is very uneven", t, func() {
		l := started(true, scaled(scaled(usualLoad(), "large", 0.05), "small", 3))
		l.clear()
		l.run(60 * second)
		assertGroups(l, 2, 8)
		So(l.details("group-ending"), ShouldBeEmpty)
	})
}

// TestPlanByDemandLostHead guards against groups that are drained for a group that comes
// back, or that the free engines replace.
func TestPlanByDemandLostHead(t *testing.T) {
	play := func(d, member int, lose func(e *engine, lost bool)) *demandLoad {
		l := afterMove()
		l.kinds = scaled(usualLoad(), "small", 0.3)
		l.run(20 * second)
		g := l.groupsOf("large")[0]
		l.clear()
		for _, e := range l.engines {
			if e.obs.Group.Name == g && e.obs.Group.Rank == member {
				lose(e, true)
			}
		}
		l.run(dragonflyduration.Duration(d) * second)
		for _, e := range l.engines {
			lose(e, false)
		}
		l.run(30 * second)
		return l
	}
	unreachable := func(e *engine, lost bool) { e.unreachable = lost }
	Convey("A head that is cut off for 12 s", t, func() {
		l := play(12, 0, func(e *engine, lost bool) { e.cut = lost })
		So(l.details("group-closing"), ShouldBeEmpty)
	})
	Convey("A head that is unreachable for 5 s", t, func() {
		l := play(5, 0, unreachable)
		So(l.details("group-closing"), ShouldBeEmpty)
	})
	Convey("A head that is lost", t, func() {
		l := play(40, 0, unreachable)
		So(l.details("group-closing"), ShouldBeEmpty)
	})
	Convey("A member that is lost", t, func() {
		l := play(40, 3, unreachable)
		So(l.details("group-closing"), ShouldBeEmpty)
	})
}

// TestPlanByDemandOutZone guards against a zone out of service that leaves a model without
// two groups, and against groups that end when the zone returns.
func TestPlanByDemandOutZone(t *testing.T) {
	Convey("A zone is taken out and returned", t, func() {
		l := afterMove()
		doc := newDemandLoad(true, nil).document
		for _, zone := range []string{"a", "b", "c"} {
			l.clear()
			l.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.DocumentReceived, Document: doc, OutZones: []string{zone}})
			l.run(40 * second)
			So(l.serving()["large"], ShouldBeGreaterThanOrEqualTo, 2)
			l.clear()
			l.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.DocumentReceived, Document: doc})
			l.run(40 * second)
			So(l.details("group-ending"), ShouldBeEmpty)
		}
	})
}
