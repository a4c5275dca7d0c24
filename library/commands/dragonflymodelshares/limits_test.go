package dragonflymodelshares_test

import (
	"testing"

	"dragonflyrelay.example/library/commands/dragonflymodelshares"
	. "github.com/smartystreets/goconvey/convey"
)

// TestLimits guards against limits that no longer hold back what they are for.
func TestLimits(t *testing.T) {
	Convey("Reports expire after 2 s", t, func() {
		p := newPlay()
		p.run(10 * second)
		p.entries = 0
		p.run(3 * second / 2)
		So(p.shares.Complete(), ShouldBeTrue)
		p.run(second)
		So(p.shares.Complete(), ShouldBeFalse)
	})
	Convey("Refused work increases the need for groups to the triple at most", t, func() {
		p := newPlay()
		p.run(30 * second)
		p.setShort()
		p.demands, p.loads[0].Busy = demands(0.95, 0.65), 3
		p.run(60 * second)
		assertChanges(p, 1)
		So(p.shares.Planned("llm")["small"], ShouldBeBetween, 0.7, 0.78) // the triple of 6 groups of 6 against 3 of 12
	})
	Convey("What has been in use for a second hardly changes the shares", t, func() {
		p := newPlay()
		p.run(30 * second)
		p.setShort()
		p.run(6 * second)
		p.loads[0].Busy = 3
		p.run(2 * second)
		assertChanges(p, 1)
		So(p.shares.Planned("llm")["small"], ShouldBeBetween, 0.72, 0.77)
	})
	Convey("A tenth of the work that is refused is a shortage", t, func() {
		p := newPlay()
		p.run(30 * second)
		p.demands, p.loads[1].Busy = demands(0.1, 0.65), 6
		p.run(10 * second)
		assertChanges(p, 1)
	})
	Convey("Groups of which a model has only one are not those of an earlier plan", t, func() {
		p := newPlay()
		p.loads[0].Groups, p.loads[1].Groups, p.loads[1].Busy = 1, 8, 7
		p.run(10 * second)
		p.assertConfigured()
	})
	Convey("Groups that moved back long ago do not delay the next return", t, func() {
		p := newPlay()
		p.run(30 * second)
		for i, short := range []func(){p.setShort, p.setLargeShort} {
			short()
			p.run(16 * second)
			assertChanges(p, i+1)
			p.setServed()
			p.run(20 * second)
		}
		p.run(dragonflymodelshares.RevertWindow)
		for i, short := range []func(){p.setShort, p.setLargeShort} {
			short()
			p.run(14 * second)
			assertChanges(p, i+3)
			p.setServed()
			p.loads[0].Busy = 0.9
			p.run(20 * second)
		}
	})
}
