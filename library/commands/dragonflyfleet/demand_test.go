package dragonflyfleet_test

import (
	"math"
	"testing"

	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	. "github.com/smartystreets/goconvey/convey"
)

// scaled returns the kinds with the rates of a model multiplied by factor.
func scaled(kinds []requestKind, model string, factor float64) (all []requestKind) {
	for _, k := range kinds {
		if k.model == model {
			k.rate *= factor
		}
		all = append(all, k)
	}
	return all
}

// assertQuiet asserts that no group has been drained, ended or formed, and no share changed.
func assertQuiet(l *demandLoad) {
	So(l.details("shares-planned", "group-closing", "group-ending", "group-ended", "group-formed"), ShouldBeEmpty)
}

// TestPlanByDemand guards against groups of one model that stand idle while another model
// refuses requests, and against groups that move for a burst or back and forth.
func TestPlanByDemand(t *testing.T) {
	Convey("A lasting shortage moves the engines of one large group within 12 s, and nothing moves after that", t, func() {
		l := started(true, usualLoad())
		assertGroups(l, 3, 6)
		l.clear()
		l.run(12 * second)
		assertGroups(l, 2, 8)
		So(l.count("shares-planned"), ShouldEqual, 1)
		So(l.count("group-closing"), ShouldEqual, 1)
		So(l.count("group-ending"), ShouldEqual, 0)
		So(l.details("shares-planned"), ShouldContainSubstring, "small is short: large 0.50 to 0.")
		So(l.details("shares-planned"), ShouldContainSubstring, "15 entries, reports up to 0.")
		l.clear()
		l.run(60 * second)
		assertGroups(l, 2, 8)
		assertQuiet(l)
	})
	Convey("Without the setting nothing moves", t, func() {
		l := started(false, usualLoad())
		l.clear()
		l.run(40 * second)
		assertGroups(l, 3, 6)
		assertQuiet(l)
	})
	Convey("A burst of 3 s moves nothing, nor do bursts that return every 10 s", t, func() {
		l := started(true, balancedLoad())
		l.clear()
		for range 6 {
			l.kinds = scaled(balancedLoad(), "small", 2.6)
			l.run(3 * second)
			l.kinds = balancedLoad()
			l.run(7 * second)
		}
		So(l.refused["small"], ShouldBeGreaterThan, 100)
		assertGroups(l, 3, 6)
		assertQuiet(l)
	})
	Convey("A demand that returns is followed once, with both small groups of a domain drained at a time", t, func() {
		l := afterMove()
		assertGroups(l, 2, 8)
		l.clear()
		l.kinds = scaled(scaled(usualLoad(), "large", 3.2), "small", 0.55)
		l.run(40 * second)
		assertGroups(l, 3, 6)
		So(l.count("group-closing"), ShouldEqual, 2)
		So(l.count("group-ending"), ShouldEqual, 0)
		l.clear()
		l.run(30 * second)
		assertQuiet(l)
	})
	Convey("A demand that only falls moves nothing back", t, func() {
		l := afterMove()
		l.clear()
		l.kinds = scaled(usualLoad(), "small", 0.3)
		l.run(60 * second)
		assertGroups(l, 2, 8)
		assertQuiet(l)
	})
	Convey("Swings, and bursts of either model of up to 7 s, cause one move and none back", t, func() {
		l := started(true, nil)
		l.clear()
		for i := range 150 {
			swing := 0.2 * math.Sin(2*math.Pi*float64(i)/11)
			large, small := 1+swing, 1-swing
			switch at := i % 40; {
			case at >= 15 && at < 22:
				large *= 2.6
			case at >= 32 && at < 37:
				small *= 2.6
			}
			l.kinds = scaled(scaled(usualLoad(), "large", large), "small", small)
			l.run(second)
		}
		assertGroups(l, 2, 8)
		So(l.count("group-closing"), ShouldEqual, 1)
		So(l.count("group-ending"), ShouldEqual, 0)
	})
	Convey("A model never has fewer than two groups", t, func() {
		l := started(true, scaled(scaled(usualLoad(), "large", 0.05), "small", 3))
		for range 60 {
			l.run(second)
			So(l.serving()["large"], ShouldBeGreaterThanOrEqualTo, 2)
		}
		assertGroups(l, 2, 8)
	})
}

// TestPlanByDemandLosses guards against losses that leave the overloaded model with few
// groups while another one keeps all of its own.
func TestPlanByDemandLosses(t *testing.T) {
	Convey("Losses in groups of the overloaded model are made up from the other one", t, func() {
		l := started(true, scaled(usualLoad(), "small", 0.6))
		l.run(10 * second)
		assertGroups(l, 3, 6)
		for _, g := range l.groupsOf("small")[:3] {
			l.lose(g, 4)
		}
		l.clear()
		l.run(60 * second)
		So(l.serving()["small"], ShouldBeGreaterThanOrEqualTo, 5)
		So(l.serving()["large"], ShouldEqual, 2)
		So(l.count("group-closing"), ShouldEqual, 1)
		l.clear()
		l.run(60 * second)
		assertQuiet(l)
	})
	Convey("Losses after a move are repaired by the plan that it follows", t, func() {
		l := afterMove()
		l.lose(l.groupsOf("small")[0], 1)
		l.run(30 * second)
		assertGroups(l, 2, 8)
	})
	Convey("With a demand as the configured shares say, losses have the same effect as without the setting", t, func() {
		play := func(byDemand bool) string {
			l := started(byDemand, balancedLoad())
			l.run(10 * second)
			l.lose(l.groupsOf("small")[1], 2)
			l.run(10 * second)
			l.lose(l.groupsOf("large")[0], 3)
			l.run(20 * second)
			return l.details("group-formed", "group-ended", "group-ending", "group-closing", "weights-staged", "spare-warmed", "groups-missing")
		}
		without := play(false)
		So(without, ShouldNotBeEmpty)
		So(play(true), ShouldEqual, without)
	})
}

// TestPlanByDemandLeader guards against a new leader that moves groups back because it has
// no evidence yet, or acts on a part of it.
func TestPlanByDemandLeader(t *testing.T) {
	lead := func(l *demandLoad, term uint64) {
		l.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Followed})
		l.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.Led, Term: term})
	}
	Convey("A new leader keeps the groups that exist, and plans by them once all entries have reported", t, func() {
		l := afterMove()
		assertGroups(l, 2, 8)
		lead(l, 2)
		l.clear()
		l.run(60 * second)
		assertGroups(l, 2, 8)
		So(l.count("group-closing")+l.count("group-ending")+l.count("group-formed"), ShouldEqual, 0)
		So(l.details("shares-planned"), ShouldContainSubstring, "groups of an earlier plan serve")
	})
	Convey("A new leader ends no group that the configured shares have no place for", t, func() {
		l := afterReturn()
		l.kinds = scaled(scaled(usualLoad(), "large", 4), "small", 0.3)
		assertGroups(l, 4, 4)
		lead(l, 2)
		l.clear()
		for range 40 {
			l.run(second)
			assertGroups(l, 4, 4)
		}
		l.mute = true
		l.run(20 * second)
		assertGroups(l, 4, 4)
		So(l.count("group-closing")+l.count("group-ending")+l.count("group-formed"), ShouldEqual, 0)
	})
	Convey("A group that a new leader loses is formed again as the earlier plan had it", t, func() {
		l := afterMove()
		lead(l, 2)
		l.run(20 * second)
		l.lose(l.groupsOf("small")[0], 1)
		l.run(20 * second)
		assertGroups(l, 2, 8)
	})
	Convey("Groups stay while no entry reports", t, func() {
		l := afterMove()
		l.mute = true
		l.clear()
		l.run(60 * second)
		assertGroups(l, 2, 8)
		So(l.count("group-closing")+l.count("group-ending")+l.count("group-formed"), ShouldEqual, 0)
		So(l.details("shares-planned"), ShouldContainSubstring, "no entry reports")
	})
	Convey("An entry that joins delays the first plan by demand until it has reported for long enough", t, func() {
		l := started(true, usualLoad())
		lead(l, 2)
		l.clear()
		l.run(4 * second)
		l.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.EntryConnected, Process: "late"})
		for range 40 {
			l.run(tickTime)
			l.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.EntryConnected, Process: "late"})
		}
		assertQuiet(l)
		l.run(10 * second)
		So(l.count("shares-planned"), ShouldEqual, 1)
	})
}

// TestPlanByDemandLoads guards against a move that loads weights faster than is permitted,
// or that drains a group before others can use its engines.
func TestPlanByDemandLoads(t *testing.T) {
	Convey("Engines whose hosts lack the weights load them at the permitted rate before a group is drained", t, func() {
		l := started(true, usualLoad())
		for _, e := range l.engines {
			e.obs.Staged = nil
			if e.obs.Model != "" {
				e.obs.Staged = []string{e.obs.Model}
			}
		}
		l.clear()
		var staged []int
		for range 120 {
			before := l.count("weights-staged")
			l.run(second)
			staged = append(staged, l.count("weights-staged")-before)
			if l.count("group-closing") > 0 {
				break
			}
		}
		So(l.count("group-closing"), ShouldEqual, 1)
		for i := range staged {
			sum := 0
			for _, n := range staged[i:min(i+5, len(staged))] {
				sum += n
			}
			So(sum, ShouldBeLessThanOrEqualTo, maxLoads)
		}
		l.run(40 * second)
		assertGroups(l, 2, 8)
	})
}
