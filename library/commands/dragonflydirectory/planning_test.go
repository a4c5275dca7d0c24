package dragonflydirectory_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/queries/dragonflyloadlimit"
	"dragonflyrelay.example/library/values/dragonflydirectoryevent"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// loading returns the number of groups that are not ready.
func (f *fleet) loading() int { return len(f.groups) - len(f.ready()) }

// assertBoundedUntilReady asserts that all groups become ready, and that there
// are never more loads at a time than the weight store can serve.
func assertBoundedUntilReady(f *fleet, groups int) {
	for range 400 {
		f.advance(1)
		So(f.loading(), ShouldBeLessThanOrEqualTo, dragonflyloadlimit.MaxLoads)
		if len(f.ready()) == groups {
			So(f.violations, ShouldBeEmpty)
			return
		}
	}
	So(len(f.ready()), ShouldEqual, groups)
}

// assertStable asserts that plans do not flap: no change is requested any more.
func assertStable(f *fleet) {
	So(f.advance(240), ShouldBeEmpty)
	So(f.violations, ShouldBeEmpty)
}

func TestRepair(t *testing.T) {
	newSpare := func() *fleet {
		f := newFleet(3)
		f.addDomain(4, "za", "d")
		f.add("x", "za", "e")
		f.advance(14)
		assertReady(f, []string{"d.0", "d.1", "d.2"})
		return f
	}
	Convey("A dead member is replaced at its rank by an instance of its fabric domain", t, func() {
		f := newSpare()
		f.agents["d.1"].dead = true
		f.advance(20)
		assertReady(f, []string{"d.0", "d.3", "d.2"})
		Convey("and a second loss after the repair dissolves the group when no spare is left", func() {
			f.agents["d.2"].dead = true
			f.advance(20)
			assertReady(f)
			f.agents["d.1"].restart()
			f.advance(20)
			assertReady(f, []string{"d.0", "d.3", "d.1"})
		})
	})
	Convey("A second loss before the repair starts is replaced as well", t, func() {
		f := newSpare()
		f.add("d.4", "za", "d")
		f.agents["d.1"].dead = true
		f.advance(4)
		So(f.groups, ShouldBeEmpty)
		f.agents["d.0"].dead = true
		f.advance(30)
		assertReady(f, []string{"d.4", "d.3", "d.2"})
	})
	Convey("A member that pauses for a short time is not replaced", t, func() {
		f := newSpare()
		f.agents["d.1"].dead = true
		So(f.advance(1), ShouldBeEmpty)
		f.agents["d.1"].dead = false
		assertStable(f)
		assertReady(f, []string{"d.0", "d.1", "d.2"})
	})
	Convey("An agent that left its group gets the same rank in the next one", t, func() {
		f := newSpare()
		f.agents["d.1"].leave()
		So(f.advance(20), ShouldNotBeEmpty)
		assertReady(f, []string{"d.0", "d.1", "d.2"})
	})
	Convey("A domain that becomes unreachable and returns keeps its groups without a load", t, func() {
		f := newSpare()
		for _, a := range f.agents {
			a.dead = true
		}
		So(f.advance(60), ShouldBeEmpty)
		assertReady(f)
		for _, a := range f.agents {
			a.dead = false
		}
		So(f.advance(2), ShouldBeEmpty)
		assertReady(f, []string{"d.0", "d.1", "d.2"})
	})
	Convey("Groups that fail together are repaired from their survivors, a few at a time", t, func() {
		f := newFleet(3)
		for i := range 10 {
			f.addDomain(9, "za", fmt.Sprint("d", i))
		}
		assertBoundedUntilReady(f, 30)
		for i := range 10 {
			for _, n := range []int{0, 4, 8} {
				f.agents[fmt.Sprintf("d%d.%d", i, n)].dead = true
			}
		}
		f.advance(10)
		assertBoundedUntilReady(f, 20)
		assertStable(f)
	})
}

// Guards against loads and moves that wait for groups which have lost all members and
// cannot become ready.
func TestLostLoads(t *testing.T) {
	// newLost returns a fleet whose first two groups have lost all members while they
	// loaded.
	newLost := func() *fleet {
		f := newFleet(1)
		f.addDomain(2, "za", "a")
		f.loadSteps = 40
		f.advance(10)
		So(len(f.groups), ShouldEqual, 2)
		f.agents["a.0"].dead, f.agents["a.1"].dead = true, true
		f.loadSteps = 4
		f.advance(8)
		So(len(f.groups), ShouldEqual, 2)
		return f
	}
	Convey("A group that has lost all members does not delay the loads of others", t, func() {
		f := newLost()
		f.addDomain(3, "zb", "b")
		f.advance(20)
		assertReady(f, []string{"b.0"}, []string{"b.1"}, []string{"b.2"})
	})
	Convey("A group that has lost all members does not delay a change of the group size", t, func() {
		f := newLost()
		f.addDomain(2, "zb", "b")
		f.advance(20)
		f.configure(f.d.Config().WithGroupSize(2))
		f.advance(60)
		assertReady(f, []string{"b.0", "b.1"})
	})
	Convey("A group with a live member counts as loading", t, func() {
		f := newFleet(1)
		f.addDomain(4, "za", "a")
		f.loadSteps = 40
		f.advance(20)
		So(len(f.groups), ShouldEqual, 2)
	})
}

func TestZones(t *testing.T) {
	newZones := func() *fleet {
		f := newFleet(2)
		for _, z := range []string{"za", "zb", "zc"} {
			f.addDomain(40, z, "d"+z)
		}
		assertBoundedUntilReady(f, 60)
		return f
	}
	Convey("A zone that is taken out loses its groups, and the other zones keep theirs", t, func() {
		f := newZones()
		f.zone("zb", true, 0)
		So(len(f.ready()), ShouldEqual, 40)
		f.advance(6)
		So(len(f.groups), ShouldEqual, 40)
		assertStable(f)
		Convey("and forms them again a few at a time when it is back in service", func() {
			f.zone("zb", false, 0)
			f.advance(1)
			So(len(f.groups), ShouldBeGreaterThan, 40)
			assertBoundedUntilReady(f, 60)
			assertStable(f)
		})
	})
	Convey("Groups load in all zones in turn", t, func() {
		f := newFleet(2)
		for _, z := range []string{"za", "zb", "zc"} {
			f.addDomain(20, z, "d"+z)
		}
		f.advance(60)
		zones := map[string]int{}
		for i, g := range f.groups {
			zones[f.agents[g.Members[0].Instance].report.Announcement.Zone]++
			least, most := len(f.groups), 0
			for _, z := range []string{"za", "zb", "zc"} {
				least, most = min(least, zones[z]), max(most, zones[z])
			}
			So(most-least, ShouldBeLessThanOrEqualTo, 1)
			So(i, ShouldBeLessThan, 30)
		}
	})
	Convey("During a notice period, spares in other zones form groups before the zone is taken out", t, func() {
		f := newFleet(2)
		f.addDomain(2, "za", "a")
		f.addDomain(3, "zb", "b")
		f.add("c.0", "zb", "c")
		f.advance(20)
		f.agents["b.0"].dead = true // The domain keeps a spare after the loss.
		f.advance(20)
		f.agents["b.0"].restart()
		f.allowCrossDomain(true)
		f.advance(60)
		assertReady(f, []string{"a.0", "a.1"}, []string{"b.2", "b.1"})
		f.zone("za", false, dragonflyduration.Minute)
		f.advance(60)
		assertReady(f, []string{"a.0", "a.1"}, []string{"b.2", "b.1"}, []string{"b.0", "c.0"})
		f.advance(66)
		assertReady(f, []string{"b.2", "b.1"}, []string{"b.0", "c.0"})
	})
}

func TestMoves(t *testing.T) {
	newCross := func() *fleet {
		f := newFleet(2)
		f.allowCrossDomain(true)
		f.add("a.0", "za", "a")
		f.add("b.0", "za", "b")
		f.advance(60)
		assertReady(f, []string{"a.0", "b.0"})
		So(f.d.Routes()[0].CrossDomain, ShouldBeTrue)
		return f
	}
	Convey("A group across two domains is dissolved for one inside a domain, but only after a minute", t, func() {
		f := newCross()
		f.add("a.1", "za", "a")
		So(f.advance(119), ShouldBeEmpty)
		f.advance(20)
		assertReady(f, []string{"a.0", "a.1"})
		assertStable(f)
	})
	Convey("An instance that repeatedly joins and leaves causes no move", t, func() {
		f := newCross()
		a := f.add("a.1", "za", "a")
		for range 6 {
			So(f.advance(100), ShouldBeEmpty)
			a.dead = true
			So(f.advance(10), ShouldBeEmpty)
			a.restart()
		}
	})
	Convey("Groups across domains are dissolved when no class allows them any more", t, func() {
		f := newCross()
		f.allowCrossDomain(false)
		f.advance(130)
		So(f.groups, ShouldBeEmpty)
		assertStable(f)
	})
	Convey("While the group size changes from 2 to 4, at least 6 of 16 groups stay ready", t, func() {
		f := newFleet(2)
		for i := range 4 {
			f.addDomain(8, "za", fmt.Sprint("d", i))
		}
		assertBoundedUntilReady(f, 16)
		f.configure(f.d.Config().WithGroupSize(4))
		least := 16
		for range 1000 {
			f.advance(1)
			least = min(least, len(f.ready()))
		}
		So(least, ShouldBeGreaterThanOrEqualTo, 6)
		So(len(f.ready()), ShouldEqual, 8)
		assertStable(f)
	})
}

// possible returns the number of groups inside one domain that the live agents in
// zones in service can form.
func (f *fleet) possible(size int) (n int) {
	free := map[string]int{}
	for _, a := range f.agents {
		if p := a.report.Announcement; !a.dead && !f.d.Config().ZoneOut(p.Zone) {
			free[p.Zone+p.Domain]++
		}
	}
	for _, k := range free {
		n += k / size
	}
	return n
}

func TestRandomFaults(t *testing.T) {
	Convey("After any faults the fleet has every possible group and requests no more changes", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			size := rapid.IntRange(1, 3).Draw(t, "size")
			f := newFleet(size)
			for _, z := range []string{"za", "zb"} {
				for i := range 2 {
					f.addDomain(rapid.IntRange(0, 7).Draw(t, "instances"), z, fmt.Sprint(z, i))
				}
			}
			f.advance(20)
			for range rapid.IntRange(1, 25).Draw(t, "faults") {
				f.injectFault(t)
				f.advance(rapid.IntRange(0, 12).Draw(t, "half seconds"))
			}
			for _, a := range f.agents {
				a.disconnected = false
			}
			f.stepTime = dragonflyduration.Second
			f.advance(200)
			acts := f.advance(30)
			want := f.possible(f.d.Config().GroupSize())
			if len(f.violations) > 0 || len(acts) > 0 || len(f.ready()) != want {
				t.Fatalf("broken invariants %v, later actions %v, %d groups ready of %d possible in %v", f.violations, acts, len(f.ready()), want, f.groups)
			}
		})
	})
}

// injectFault injects a random fault or change.
func (f *fleet) injectFault(t *rapid.T) {
	fault := rapid.SampledFrom([]string{"kill", "revive", "pause", "cut", "leave", "zone", "notice", "leader", "size"}).Draw(t, "fault")
	var a *agent
	if len(f.ids) > 0 {
		a = f.agents[rapid.SampledFrom(f.ids).Draw(t, "instance")]
	}
	zone := rapid.SampledFrom([]string{"za", "zb"}).Draw(t, "zone")
	switch {
	case fault == "zone":
		f.zone(zone, rapid.Bool().Draw(t, "out"), 0)
	case fault == "size":
		f.configure(f.d.Config().WithGroupSize(rapid.IntRange(1, 3).Draw(t, "new size")))
	case fault == "notice":
		f.zone(zone, false, 5*dragonflyduration.Second)
	case fault == "leader":
		f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Followed})
		f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Led, Term: 1 + f.index})
	case a == nil:
	case fault == "kill":
		a.dead = true
	case fault == "revive" && a.dead:
		a.restart()
	case fault == "pause":
		a.dead = !a.dead
	case fault == "cut":
		a.disconnected = !a.disconnected
	case fault == "leave" && !a.dead && a.report.Group != 0:
		a.leave()
	}
}

// newLarge returns a fleet of the target size with all groups ready: 3,600
// instances in 8 zones, in fabric domains of 36.
func newLarge() *fleet {
	f := newFleet(8)
	f.loadSteps = 1
	for i := range 100 {
		f.addDomain(36, fmt.Sprint("z", i%8), fmt.Sprintf("d%02d", i))
	}
	for range 400 {
		if f.advance(1); len(f.ready()) == 400 {
			break
		}
	}
	return f
}

func BenchmarkStep(b *testing.B) {
	f := newLarge()
	b.Run("report", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			r := f.agents[f.ids[i%len(f.ids)]].report
			r.GroupReady = true
			f.d, _ = f.d.Step(f.now, dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Reported, Report: r})
		}
	})
	b.Run("plan", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			f.d.Step(f.now.Add(halfSecond), dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Tick})
		}
	})
	b.Run("plan with every group broken", func(b *testing.B) {
		d := f.d
		for _, id := range f.ids {
			r := f.agents[id].report
			r.Group, r.Fence = 0, 0
			d, _ = d.Step(f.now, dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Reported, Report: r})
		}
		b.ReportAllocs()
		for b.Loop() {
			d.Step(f.now.Add(halfSecond), dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Tick})
		}
	})
	b.Run("groups", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			f.index++
			f.d, _ = f.d.Step(f.now, dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Groups, Index: f.index, Groups: f.groups, Fence: f.fence})
		}
	})
}
