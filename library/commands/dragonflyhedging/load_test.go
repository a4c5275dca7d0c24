package dragonflyhedging_test

import (
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	. "github.com/smartystreets/goconvey/convey"
)

const testShare = 0.05

// slowed returns the factors of upstreams of which those from the first time on are slower by
// factor: only the upstream i, or all if i is negative.
func slowed(i int, from dragonflyduration.Duration, factor float64) func(int, dragonflyduration.Duration) float64 {
	return func(j int, at dragonflyduration.Duration) float64 {
		if at >= from && (i < 0 || i == j) {
			return factor
		}
		return 1
	}
}

func plainLoad() load {
	return load{
		upstreams: 6, slots: 6, rate: 40, time: 60 * millisecond, objective: 300 * millisecond, length: 200 * second, factor: slowed(0, 0, 1),
	}
}

func groupLoad() load {
	return load{
		model: "m", upstreams: 9, slots: 48, rate: 100, time: 80 * millisecond, stream: 1500 * millisecond, objective: 300 * millisecond,
		length: 100 * second, factor: slowed(0, 0, 1),
	}
}

// both returns the outcomes of a load with requests that are sent once and with testShare. It
// checks that neither the sendings nor the work exceed the share, and that the median stays.
func both(l load) (once, twice outcome) {
	once = run(l)
	l.share = testShare
	twice = run(l)
	So(once.hedges, ShouldEqual, 0)
	So(float64(twice.hedges), ShouldBeLessThanOrEqualTo, testShare*float64(twice.requests))
	So(float64(twice.work)/float64(twice.requests), ShouldBeLessThanOrEqualTo, (1+testShare)*float64(once.work)/float64(once.requests))
	So(float64(twice.quantile(0.5)), ShouldBeLessThanOrEqualTo, 1.05*float64(once.quantile(0.5)))
	So(float64(twice.quantile(0.99)), ShouldBeLessThanOrEqualTo, 1.02*float64(once.quantile(0.99)))
	return once, twice
}

// late returns the share of the requests without an answer within the objective.
func (o outcome) late(objective dragonflyduration.Duration) float64 {
	n := o.refused
	for _, took := range o.sorted {
		if took > objective {
			n++
		}
	}
	return float64(n) / float64(o.requests)
}

// TestSlowUpstreams guards against a few slow upstreams that spoil the answers of requests
// which another one would have answered in time.
func TestSlowUpstreams(t *testing.T) {
	Convey("With one of six plain upstreams at ten times the latency, 99 of 100 callers have an answer in time", t, func() {
		l := plainLoad()
		l.factor = slowed(0, 0, 10)
		once, twice := both(l)
		So(once.quantile(0.99), ShouldBeGreaterThan, l.objective)
		So(twice.quantile(0.99), ShouldBeLessThan, l.objective)
	})
	Convey("With one of three, a third of the second copies make an answer timely", t, func() {
		l := plainLoad()
		l.upstreams, l.factor = 3, slowed(1, 0, 10)
		once, twice := both(l)
		So(twice.late(l.objective), ShouldBeLessThan, once.late(l.objective)-testShare/3)
	})
	Convey("With one of six that becomes slow at an entry with few requests, too", t, func() {
		l := plainLoad()
		l.rate, l.length, l.factor = 3, 1000*second, slowed(4, 300*second, 10)
		once, twice := both(l)
		So(twice.late(l.objective), ShouldBeLessThan, once.late(l.objective)-testShare/3)
	})
	Convey("With one of nine groups that is slow", t, func() {
		l := groupLoad()
		l.factor = slowed(0, 0, 10)
		once, twice := both(l)
		So(twice.late(l.objective), ShouldBeLessThan, once.late(l.objective)-testShare/3)
	})
}

// TestNoSecondSending guards against second copies that add load while no upstream can answer
// them in time.
func TestNoSecondSending(t *testing.T) {
	assertHedges := func(l load, most int) {
		_, twice := both(l)
		So(twice.hedges, ShouldBeLessThanOrEqualTo, most)
	}
	Convey("No upstream is slow", t, func() { assertHedges(plainLoad(), 0) })
	Convey("No group is slow", t, func() { assertHedges(groupLoad(), 0) })
	Convey("All plain upstreams are slow", t, func() {
		l := plainLoad()
		l.factor = slowed(-1, 0, 10)
		assertHedges(l, 0)
	})
	Convey("All plain upstreams become slow: only until their times are known", t, func() {
		l := plainLoad()
		l.factor = slowed(-1, 100*second, 4)
		assertHedges(l, 10)
	})
	Convey("All groups are slow", t, func() {
		l := groupLoad()
		l.factor = slowed(-1, 0, 10)
		assertHedges(l, 0)
	})
	Convey("The plain upstreams are overloaded", t, func() {
		l := plainLoad()
		l.rate, l.length = 700, 30*second
		assertHedges(l, 0)
	})
	Convey("The groups are overloaded", t, func() {
		l := groupLoad()
		l.rate = 400
		assertHedges(l, 0)
	})
	Convey("The groups are overloaded and one is slow: only until the overload is known", t, func() {
		l := groupLoad()
		l.rate, l.factor, l.share = 400, slowed(3, 0, 3), testShare
		twice := run(l)
		So(float64(twice.hedges), ShouldBeLessThanOrEqualTo, testShare*float64(twice.requests))
		for _, at := range twice.hedgedAt {
			So(at, ShouldBeLessThan, 2*second)
		}
	})
}
