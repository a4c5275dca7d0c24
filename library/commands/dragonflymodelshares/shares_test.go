package dragonflymodelshares_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflymodelshares"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflymodeldemand"
	"dragonflyrelay.example/library/values/dragonflymodelload"
	. "github.com/smartystreets/goconvey/convey"
)

const second = dragonflyduration.Second

// play drives one Shares with entries that report twice a second.
type play struct {
	shares  dragonflymodelshares.Shares
	now     dragonflyinstant.Instant
	entries int
	loads   []dragonflymodelload.Load
	demands []dragonflymodeldemand.Demand // of each entry
	changes []string
	at      []dragonflyinstant.Instant // of the changes
}

func newPlay() *play {
	return &play{now: 1, entries: 3, loads: []dragonflymodelload.Load{
		{Model: "large", Share: 0.5, Size: 12, Pace: 1, Groups: 3, Busy: 0.9},
		{Model: "small", Share: 0.5, Size: 6, Pace: 0.6, Groups: 6, Busy: 4},
	}, demands: demands(0, 0.6)}
}

// demands returns the work of an entry of which the given part of that for the small model
// is refused.
func demands(refused, delay float64) []dragonflymodeldemand.Demand {
	return []dragonflymodeldemand.Demand{
		{Service: "llm", Model: "large", Rank: 1, Work: 15_000, Delay: 0.3},
		{Service: "llm", Model: "small", Work: 50_000, Refused: 50_000 * refused, Delay: delay},
		{Service: "other", Model: "small", Work: 50_000, Refused: 50_000},
	}
}

func (p *play) run(d dragonflyduration.Duration) {
	for i := range int(d / (second / 10)) {
		p.now = p.now.Add(second / 10)
		for e := range p.entries {
			if (i+e)%5 == 0 {
				p.shares = p.shares.WithReport(p.now, fmt.Sprint("e", e), p.demands)
			}
		}
		p.shares = p.shares.WithTime(p.now)
		change := ""
		if p.shares, change = p.shares.WithLoads(p.now, "llm", p.loads); change != "" {
			p.changes, p.at = append(p.changes, change), append(p.at, p.now)
		}
	}
}

// setShort makes the small model refuse a third of its work.
func (p *play) setShort() { p.demands, p.loads[1].Busy = demands(0.33, 0.65), 6 }

// setServed ends that.
func (p *play) setServed() { p.demands, p.loads[1].Busy = demands(0, 0.5), 4 }

func (p *play) assertConfigured() {
	So(p.changes, ShouldBeEmpty)
	So(p.shares.Planned("llm"), ShouldBeNil)
}

// TestShares guards against shares that change for a burst, without evidence, or back and
// forth, and against a lasting shortage that changes none.
func TestShares(t *testing.T) {
	Convey("Without a shortage the configured shares hold, however uneven the use is", t, func() {
		p := newPlay()
		p.run(60 * second)
		p.assertConfigured()
		So(p.shares.Complete(), ShouldBeTrue)
	})
	Convey("A shortage that lasts changes the shares in proportion to the needs, once", t, func() {
		p := newPlay()
		p.run(30 * second)
		since := p.now
		p.setShort()
		p.run(60 * second)
		So(p.changes, ShouldHaveLength, 1)
		So(p.at[0].Sub(since), ShouldBeBetween, 6*second, 9*second)
		planned := p.shares.Planned("llm")
		So(planned["large"]+planned["small"], ShouldAlmostEqual, 1, 1e-9)
		So(planned["small"], ShouldBeBetween, 0.75, 0.85) // 9 groups of 6 against 0.9 of 12
		So(p.shares.Short("llm"), ShouldResemble, map[string]bool{"small": true})
	})
	Convey("First events far beyond the objective are a shortage too", t, func() {
		p := newPlay()
		p.run(30 * second)
		p.demands, p.loads[1].Busy = demands(0, 1.2), 6
		p.run(10 * second)
		So(p.changes, ShouldHaveLength, 1)
	})
	Convey("Bursts that look 5 s long change nothing, nor do several with pauses", t, func() {
		p := newPlay()
		p.run(30 * second)
		for range 6 {
			p.setShort()
			p.run(5 * second)
			p.setServed()
			p.run(6 * second)
		}
		p.assertConfigured()
	})
	Convey("A burst of the model that has given groups away takes none back, a shortage does", t, func() {
		p := newPlay()
		p.run(30 * second)
		p.setShort()
		p.run(10 * second)
		p.setServed()
		p.loads[0].Groups, p.loads[1].Groups = 2, 8
		p.run(20 * second)
		burst := func(d dragonflyduration.Duration) {
			p.demands = demands(0, 0.5)
			p.demands[0].Work, p.demands[0].Refused, p.loads[0].Busy = 60_000, 20_000, 2
			p.run(d)
			p.setServed()
			p.loads[0].Busy = 0.9
			p.run(10 * second)
		}
		burst(7 * second)
		So(p.changes, ShouldHaveLength, 1)
		burst(16 * second)
		So(p.changes, ShouldHaveLength, 2)
		So(p.changes[1], ShouldStartWith, "large is short")
	})
	Convey("All models are short alike: the shares stay", t, func() {
		p := newPlay()
		p.loads[0].Busy, p.loads[1].Busy = 3, 6
		p.demands = demands(0.3, 0.65)
		p.demands[0].Refused = p.demands[0].Work * 0.3
		p.run(60 * second)
		p.assertConfigured()
	})
	Convey("A model without a group needs what its work has kept busy before", t, func() {
		p := newPlay()
		p.run(30 * second)
		p.loads[0].Groups, p.loads[0].Busy = 0, 0
		p.setShort()
		p.run(10 * second)
		So(p.shares.Planned("llm")["large"], ShouldBeBetween, 0.15, 0.25)
	})
	Convey("A document with other shares replaces the planned ones", t, func() {
		p := newPlay()
		p.run(30 * second)
		p.setShort()
		p.run(10 * second)
		So(p.shares.Planned("llm"), ShouldNotBeNil)
		p.setServed()
		p.loads[0].Share, p.loads[1].Share = 0.4, 0.6
		p.run(second)
		So(p.shares.Planned("llm"), ShouldBeNil)
	})
}

// TestEvidence guards against a decision on reports that are missing or old.
func TestEvidence(t *testing.T) {
	Convey("There is evidence once all entries have reported for long enough", t, func() {
		p := newPlay()
		p.run(3 * second)
		p.entries = 4
		p.run(dragonflymodelshares.EvidenceTime - second/2)
		So(p.shares.Complete(), ShouldBeFalse)
		p.run(second)
		So(p.shares.Complete(), ShouldBeTrue)
	})
	Convey("The report of an entry that is cut off expires, and the others suffice", t, func() {
		p := newPlay()
		p.run(10 * second)
		p.setShort()
		p.entries = 2
		p.run(10 * second)
		So(p.shares.Complete(), ShouldBeTrue)
		So(p.changes, ShouldHaveLength, 1)
	})
	Convey("Without any report the configured shares hold again", t, func() {
		p := newPlay()
		p.run(10 * second)
		p.setShort()
		p.run(10 * second)
		p.entries = 0
		p.run(dragonflymodelshares.ReportExpiry + second)
		So(p.shares.Complete(), ShouldBeFalse)
		So(p.shares.Planned("llm"), ShouldBeNil)
		So(p.changes[1], ShouldContainSubstring, "no entry reports")
	})
	Convey("Groups that an earlier plan has formed are taken over if the need explains them", t, func() {
		p := newPlay()
		p.loads[0].Groups, p.loads[1].Groups, p.loads[1].Busy = 2, 8, 7
		p.run(10 * second)
		So(p.changes, ShouldHaveLength, 1)
		So(p.shares.Planned("llm")["small"], ShouldAlmostEqual, 48.0/72, 1e-9)
	})
	Convey("Groups that losses have left are not", t, func() {
		p := newPlay()
		p.loads[1].Groups, p.loads[1].Busy = 3, 2
		p.run(10 * second)
		p.assertConfigured()
	})
}

// The smaller model refuses a third of its work while the larger one has room.
func ExampleShares() {
	p := newPlay()
	p.run(30 * second)
	p.setShort()
	p.run(10 * second)
	fmt.Printf("%.1f %.1f %v\n", p.shares.Planned("llm")["large"], p.shares.Planned("llm")["small"], p.shares.Short("llm"))
	// Output:
	// 0.2 0.8 map[small:true]
}
