package dragonflymodelshares_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflymodelshares"
	"dragonflyrelay.example/library/common/dragonflyduration"
	. "github.com/smartystreets/goconvey/convey"
)

// TestIntermittentEntry guards against a single entry that keeps all others from counting.
func TestIntermittentEntry(t *testing.T) {
	Convey("An entry whose reports have gaps does not delay the evidence for ever", t, func() {
		p := newPlay()
		for range 20 {
			p.shares = p.shares.WithReport(p.now, "intermittent", nil)
			p.run(dragonflymodelshares.ReportExpiry + second/2)
		}
		So(p.shares.Complete(), ShouldBeTrue)
	})
	Convey("Nor do entries that start one after the other", t, func() {
		p := newPlay()
		for i := range 20 {
			for range 8 {
				p.shares = p.shares.WithReport(p.now, fmt.Sprint("new", i), nil)
				p.run(second / 2)
			}
		}
		So(p.shares.Complete(), ShouldBeTrue)
	})
	Convey("Such entries are evidence after a limit, and not before", t, func() {
		p := newPlay()
		p.entries = 0
		for i := range 30 {
			p.shares = p.shares.WithReport(p.now, fmt.Sprint("new", i/6), nil)
			So(p.shares.Complete(), ShouldBeFalse)
			p.run(second / 2)
		}
		p.shares = p.shares.WithReport(p.now, "last", nil)
		p.run(second / 2)
		So(p.shares.Complete(), ShouldBeTrue)
	})
}

// TestAlternatingDemand guards against groups that move back and forth.
func TestAlternatingDemand(t *testing.T) {
	Convey("Shortages of 8 s of two models in turn change the shares once", t, func() {
		p := newPlay()
		p.run(30 * second)
		for range 20 {
			p.setShort()
			p.loads[0].Busy = 0.9
			p.run(8 * second)
			p.setServed()
			p.demands[0].Work, p.demands[0].Refused, p.loads[0].Busy = 60_000, 20_000, float64(p.loads[0].Groups)
			p.run(8 * second)
			p.loads[0].Busy = 0.9
			if len(p.changes)%2 == 1 {
				p.loads[0].Groups, p.loads[1].Groups = 2, 8
			} else {
				p.loads[0].Groups, p.loads[1].Groups = 3, 6
			}
		}
		for i := range p.at {
			t.Log(p.at[i].Sub(1).Seconds(), p.changes[i])
		}
		So(len(p.changes), ShouldBeLessThanOrEqualTo, 2)
	})
	Convey("Shortages that move groups back must last longer each time, to a bound", t, func() {
		p := newPlay()
		p.run(30 * second)
		p.setShort()
		p.run(10 * second)
		assertChanges(p, 1)
		// The groups move back after 12 s, 24 s and from then on 48 s.
		for i, need := range []dragonflyduration.Duration{12, 24, 48, 48} {
			short := p.setLargeShort
			if i%2 == 1 {
				short = p.setShort
			}
			p.setServed()
			p.loads[0].Busy = 0.9
			p.run(30 * second)
			short()
			p.run((need - 1) * second)
			assertChanges(p, i+1)
			p.run(3 * second)
			assertChanges(p, i+2)
		}
	})
	Convey("Without a change for long enough, a shortage counts as at first", t, func() {
		p := newPlay()
		p.run(30 * second)
		p.setShort()
		p.run(10 * second)
		p.setServed()
		p.run(dragonflymodelshares.RevertWindow)
		p.setLargeShort()
		p.run(9 * second)
		assertChanges(p, 2)
	})
}

// setLargeShort makes the large model refuse a third of its work while the small one has
// room.
func (p *play) setLargeShort() {
	p.demands = demands(0, 0.5)
	p.demands[0].Work, p.demands[0].Refused = 60_000, 20_000
	p.loads[0].Busy, p.loads[1].Busy = float64(p.loads[0].Groups), 1
}

// assertChanges asserts the number of changes of the shares so far.
func assertChanges(p *play, n int) { So(p.changes, ShouldHaveLength, n) }
