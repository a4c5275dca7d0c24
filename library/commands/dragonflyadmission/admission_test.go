package dragonflyadmission_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyadmission"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyadmissionevent"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflyconditions"
	"dragonflyrelay.example/library/values/dragonflypiece"
	"dragonflyrelay.example/library/values/dragonflyzone"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// assertRefusal guards against work that is taken, or refused for another
// reason, under conditions that exclude it.
func assertRefusal(p *simulation, reason string) {
	before := p.refused[reason]
	id := p.offer(work("live", "a"))
	So(p.decisions[id], ShouldEqual, 1)
	So(p.refused[reason], ShouldEqual, before+1)
}

// assertStarts guards against work that is refused or kept although there is room.
func assertStarts(p *simulation) {
	before := p.started["a"]
	p.offer(work("live", "a"))
	So(p.started["a"], ShouldEqual, before+1)
}

// newWarmSimulation returns a plant that has found its limit under steady demand.
func newWarmSimulation() *simulation {
	p := newSimulation()
	p.run(20*dragonflyduration.Second, p.fillQueue)
	return p
}

// fillQueue keeps the queue from running empty.
func (p *simulation) fillQueue() {
	for p.core.Load().Queued < 8 {
		p.offer(work("live", "a"))
	}
}

func TestConditions(t *testing.T) {
	type change = func(c *dragonflyconditions.Conditions)
	for name, c := range map[string]struct {
		reason string
		change change
	}{
		"a zone that was taken out": {dragonflypiece.ReasonZoneOut, nil},
		"the zone of another member": {dragonflypiece.ReasonZoneOut, func(c *dragonflyconditions.Conditions) {
			c.Zones = []string{"zona-b", "zona-c"}
			c.Config = c.Config.WithZone(dragonflyzone.Zone{}.WithName("zona-c").WithOut(true))
		}},
		"an agent that leaves":             {dragonflypiece.ReasonLeaving, func(c *dragonflyconditions.Conditions) { c.Leaving = true }},
		"a silent upstream":                {dragonflypiece.ReasonNotReady, func(c *dragonflyconditions.Conditions) { c.Alive = false }},
		"an incomplete group":              {dragonflypiece.ReasonNotReady, func(c *dragonflyconditions.Conditions) { c.Gate.ValidUntil = 0 }},
		"a lease that is over":             {dragonflypiece.ReasonNoLease, func(c *dragonflyconditions.Conditions) { c.Gate.ValidUntil = 5 }},
		"another group":                    {dragonflypiece.ReasonWrongGroup, func(c *dragonflyconditions.Conditions) { c.Gate.Group = 8 }},
		"another fencing number":           {dragonflypiece.ReasonWrongGroup, func(c *dragonflyconditions.Conditions) { c.Gate.Fence = 7 }},
		"a configuration nobody confirmed": {dragonflypiece.ReasonStaleConfig, func(c *dragonflyconditions.Conditions) { c.ConfirmedAt = 7_000_000_000 }},
		"a cold upstream that bears no request": {dragonflypiece.ReasonNotReady, func(c *dragonflyconditions.Conditions) {
			c.Announcement.State, c.Announcement.Bearable = dragonflyannouncement.Cold, 0
		}},
	} {
		Convey("New and waiting work is refused for "+name, t, func() {
			p := newSimulation()
			assertStarts(p)
			p.offer(work("live", "a"))
			p.offer(work("live", "a"))
			So(p.core.Load().Queued, ShouldEqual, 1)
			if c.change == nil {
				p.takeZoneOut()
			} else {
				p.change(c.change)
			}
			p.jobs = nil
			for id := uint64(1); id <= 2; id++ {
				p.step(dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.Finished, ID: id})
			}
			assertRefusal(p, c.reason)
			So(p.started["a"], ShouldEqual, 2)
		})
	}
	Convey("A confirmation of the work itself replaces the agent's own", t, func() {
		p := newSimulation()
		p.change(func(c *dragonflyconditions.Conditions) { c.ConfirmedAt = 0 })
		assertRefusal(p, dragonflypiece.ReasonStaleConfig)
		w := work("live", "a")
		w.ConfirmationAge = 2900 * ms
		p.offer(w)
		So(p.started["a"], ShouldEqual, 1)
		p.change(func(c *dragonflyconditions.Conditions) { c.ServeWithoutControl = true })
		assertStarts(p)
	})
	Convey("Work of the wrong kind is refused", t, func() {
		p := newSimulation()
		p.change(func(c *dragonflyconditions.Conditions) {
			c.Announcement.Kind, c.Announcement.Service = dragonflyannouncement.Service, "floor"
		})
		assertRefusal(p, dragonflypiece.ReasonWrongGroup)
	})
}

func TestAdmission(t *testing.T) {
	Convey("The limit settles where the gap between tokens meets the target", t, func() {
		p := newWarmSimulation()
		// The gap of 25 ms is reached with 15 requests; half of them would strand
		// the upstream.
		So(p.core.Load().Limit, ShouldBeBetweenOrEqual, 8, 15)
		p.missed, p.measured = 0, 0
		p.run(20*dragonflyduration.Second, p.fillQueue)
		So(p.measured, ShouldBeGreaterThan, 1000)
		So(p.missed*100, ShouldBeLessThanOrEqualTo, p.measured*5)
	})
	Convey("A cold upstream gets what it announced until it says that it is ready", t, func() {
		p := newSimulation()
		p.cold = true
		p.change(func(c *dragonflyconditions.Conditions) { c.Announcement.State = dragonflyannouncement.Cold })
		p.run(10*dragonflyduration.Second, p.fillQueue)
		So(p.peak, ShouldEqual, 2)
		p.cold = false
		p.change(func(c *dragonflyconditions.Conditions) { c.Announcement.State = dragonflyannouncement.Ready })
		p.run(10*dragonflyduration.Second, p.fillQueue)
		So(p.core.Load().Limit, ShouldBeGreaterThanOrEqualTo, 8)
	})
	Convey("The ramp does not climb without work that uses the limit up", t, func() {
		p := newSimulation()
		p.run(20*dragonflyduration.Second, func() {
			if p.core.Load().InFlight == 0 {
				p.offer(work("live", "a"))
			}
		})
		So(p.core.Load().Limit, ShouldEqual, 2)
	})
	Convey("A group or an upstream that is new starts at the bearable value", t, func() {
		p := newWarmSimulation()
		p.change(func(c *dragonflyconditions.Conditions) { c.Alive = false })
		p.change(func(c *dragonflyconditions.Conditions) { c.Alive = true })
		So(p.core.Load().Limit, ShouldEqual, 2)
		p = newWarmSimulation()
		p.change(func(c *dragonflyconditions.Conditions) { c.Gate.Group, c.Gate.Fence = 8, 7 })
		So(p.core.Load().Limit, ShouldEqual, 2)
	})
	for name, turn := range map[string]func(p *simulation){
		"turns cold":            func(p *simulation) { p.cold = true },
		"stops answering":       func(p *simulation) { p.stalled = true },
		"is three times slower": func(p *simulation) { p.base, p.slope = 4*p.base, 4*p.slope },
	} {
		Convey("The limit falls to the bearable value within a second when an upstream "+name, t, func() {
			p := newWarmSimulation()
			turn(p)
			p.run(dragonflyduration.Second, p.fillQueue)
			So(p.core.Load().Limit, ShouldEqual, 2)
		})
	}
	Convey("An upstream that turned cold ramps up again once it is warm", t, func() {
		p := newWarmSimulation()
		p.cold = true
		p.run(5*dragonflyduration.Second, p.fillQueue)
		So(p.core.Load().Limit, ShouldBeLessThanOrEqualTo, 3)
		p.cold = false
		p.run(15*dragonflyduration.Second, p.fillQueue)
		So(p.core.Load().Limit, ShouldBeGreaterThanOrEqualTo, 8)
	})
	Convey("A large workspace neither delays nor displaces a small one", t, func() {
		p := newSimulation()
		p.run(30*dragonflyduration.Second, func() {
			for range 5 {
				p.offer(work("live", "large"))
			}
			if p.rng.Intn(10) == 0 {
				p.offer(work("live", "small"))
			}
		})
		offered, started := 0, p.started["small"]
		for _, w := range p.works {
			if w.Workspace == "small" {
				offered++
			}
		}
		So(p.refused[dragonflypiece.ReasonOverloaded], ShouldBeGreaterThan, 100)
		So(float64(started), ShouldBeGreaterThan, 0.4*float64(started+p.started["large"]))
		So(started, ShouldBeLessThan, offered)
	})
	Convey("A class of lower priority gets only what the others leave, and all of that", t, func() {
		p := newWarmSimulation()
		n := 0
		p.run(5*dragonflyduration.Second, func() {
			if n++; n%4 == 0 {
				p.offer(work("live", "l"))
				p.offer(work("batch", "b"))
			}
		})
		So(p.started["l"], ShouldBeGreaterThan, 20)
		So(p.started["b"], ShouldEqual, 0)
		p.run(15*dragonflyduration.Second, nil)
		So(p.started["b"], ShouldBeGreaterThan, 20)
	})
	Convey("A request that would wait beyond its deadline is refused at once", t, func() {
		p := newWarmSimulation()
		w := work("live", "a")
		w.Deadline = 5 * ms
		id := p.offer(w)
		So(p.decisions[id], ShouldEqual, 1)
		So(p.refused[dragonflypiece.ReasonDeadline], ShouldEqual, 1)
		w.Deadline = 30 * dragonflyduration.Second
		id = p.offer(w)
		So(p.decisions[id], ShouldEqual, 0)
	})
	Convey("A withdrawn request is not sent, and its place is free", t, func() {
		p := newSimulation()
		p.offer(work("live", "a"))
		p.offer(work("live", "a"))
		waiting := p.offer(work("live", "a"))
		p.step(dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.Cancelled, ID: waiting})
		p.step(dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.Cancelled, ID: 1})
		So(p.core.Load().InFlight, ShouldEqual, 1)
		So(p.core.Load().Queued, ShouldEqual, 0)
		So(p.decisions[waiting], ShouldEqual, 0)
	})
	Convey("Random events give every request one decision and never exceed the limit", t, func() {
		rapid.Check(t, checkDecisions)
	})
}

// checkDecisions guards against a request that is forgotten, decided on twice or
// started beyond the limit.
func checkDecisions(t *rapid.T) {
	p := newSimulation()
	p.tokens = rapid.IntRange(1, 30).Draw(t, "tokens")
	withdrawn := map[uint64]bool{}
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		running := p.core.Load().InFlight
		started := len(p.jobs)
		switch rapid.IntRange(0, 5).Draw(t, "action") {
		case 0:
			p.change(func(c *dragonflyconditions.Conditions) {
				c.Leaving = rapid.Bool().Draw(t, "leaving")
				c.Alive = rapid.Bool().Draw(t, "alive")
				c.Announcement.Bearable = rapid.IntRange(0, 9).Draw(t, "bearable")
			})
		case 1:
			if p.next > 0 {
				id := rapid.Uint64Range(1, p.next).Draw(t, "id")
				if p.decisions[id] == 0 {
					withdrawn[id] = true
					p.step(dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.Cancelled, ID: id})
				}
			}
		case 2:
			p.run(dragonflyduration.Duration(rapid.IntRange(10, 900).Draw(t, "ms"))*ms, nil)
			continue
		default:
			for range rapid.IntRange(1, 80).Draw(t, "burst") {
				p.offer(work(rapid.SampledFrom([]string{"live", "batch"}).Draw(t, "class"), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")))
			}
		}
		l := p.core.Load()
		if len(p.jobs) > started && l.InFlight > max(l.Limit, running) {
			t.Fatalf("%d run, limit %d", l.InFlight, l.Limit)
		}
		if l.Queued > 256 || l.InFlight != len(p.jobs) {
			t.Fatalf("load %+v with %d jobs", l, len(p.jobs))
		}
	}
	p.change(func(c *dragonflyconditions.Conditions) { c.Leaving = true })
	for id := uint64(1); id <= p.next; id++ {
		if want := 1; p.decisions[id] != want && !withdrawn[id] {
			t.Fatalf("request %d has %d decisions", id, p.decisions[id])
		}
	}
}

func ExampleAdmission_Step() {
	p := newSimulation()
	a := dragonflyadmission.Admission{}
	a, _ = a.Step(p.now, dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.Changed, Conditions: p.cond})
	for id := uint64(1); id <= 3; id++ {
		next, acts := a.Step(p.now, dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.Offered, ID: id, Work: work("live", "puebla")})
		a = next
		fmt.Println(len(acts), a.Load())
	}
	a, acts := a.Step(p.now, dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.Finished, ID: 1})
	fmt.Println(acts[0].ID, a.Load())
	// Output:
	// 1 {1 2 0}
	// 1 {2 2 0}
	// 0 {2 2 1}
	// 3 {2 2 0}
}
