package dragonflyadmission_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyadmission"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyadmissionevent"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflyconditions"
	"dragonflyrelay.example/library/values/dragonflyframe"
	"dragonflyrelay.example/library/values/dragonflyzone"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// assertRefusal checks that new work is refused once, for the given reason.
func assertRefusal(s *simulation, reason string) {
	before := s.refused[reason]
	id := s.offer(work("live", "a"))
	So(s.decisions[id], ShouldEqual, 1)
	So(s.refused[reason], ShouldEqual, before+1)
}

// assertStarts checks that new work is sent at once when the limit allows it.
func assertStarts(s *simulation) {
	before := s.started["a"]
	s.offer(work("live", "a"))
	So(s.started["a"], ShouldEqual, before+1)
}

// newWarmSimulation returns a simulation whose limit has settled under steady
// demand.
func newWarmSimulation() *simulation {
	s := newSimulation()
	s.run(20*dragonflyduration.Second, s.fillQueue)
	return s
}

// fillQueue offers requests until 8 are queued.
func (s *simulation) fillQueue() {
	for s.core.Load().Queued < 8 {
		s.offer(work("live", "a"))
	}
}

func TestConditions(t *testing.T) {
	type change = func(c *dragonflyconditions.Conditions)
	for name, c := range map[string]struct {
		reason string
		change change
	}{
		"a zone that is out of service": {dragonflyframe.ReasonZoneOut, nil},
		"the zone of another member being out of service": {dragonflyframe.ReasonZoneOut, func(c *dragonflyconditions.Conditions) {
			c.Zones = []string{"zona-b", "zona-c"}
			c.Config = c.Config.WithZone(dragonflyzone.Zone{}.WithName("zona-c").WithOut(true))
		}},
		"a leaving agent":              {dragonflyframe.ReasonLeaving, func(c *dragonflyconditions.Conditions) { c.Leaving = true }},
		"a silent upstream":            {dragonflyframe.ReasonNotReady, func(c *dragonflyconditions.Conditions) { c.Alive = false }},
		"an incomplete group":          {dragonflyframe.ReasonNotReady, func(c *dragonflyconditions.Conditions) { c.Gate.ValidUntil = 0 }},
		"an expired lease":             {dragonflyframe.ReasonNoLease, func(c *dragonflyconditions.Conditions) { c.Gate.ValidUntil = 5 }},
		"another group":                {dragonflyframe.ReasonWrongGroup, func(c *dragonflyconditions.Conditions) { c.Gate.Group = 8 }},
		"another fencing token":        {dragonflyframe.ReasonWrongGroup, func(c *dragonflyconditions.Conditions) { c.Gate.Fence = 7 }},
		"an unconfirmed configuration": {dragonflyframe.ReasonStaleConfig, func(c *dragonflyconditions.Conditions) { c.ConfirmedAt = 7_000_000_000 }},
		"a cold upstream whose cold limit is 0": {dragonflyframe.ReasonNotReady, func(c *dragonflyconditions.Conditions) {
			c.Announcement.State, c.Announcement.ColdLimit = dragonflyannouncement.Cold, 0
		}},
	} {
		Convey("New and queued work is refused because of "+name, t, func() {
			s := newSimulation()
			assertStarts(s)
			s.offer(work("live", "a"))
			s.offer(work("live", "a"))
			So(s.core.Load().Queued, ShouldEqual, 1)
			if c.change == nil {
				s.takeZoneOut()
			} else {
				s.change(c.change)
			}
			s.jobs = nil
			for id := uint64(1); id <= 2; id++ {
				s.step(dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.Finished, ID: id})
			}
			assertRefusal(s, c.reason)
			So(s.started["a"], ShouldEqual, 2)
		})
	}
	Convey("A recent confirmation in the work replaces the agent's own", t, func() {
		s := newSimulation()
		s.change(func(c *dragonflyconditions.Conditions) { c.ConfirmedAt = 0 })
		assertRefusal(s, dragonflyframe.ReasonStaleConfig)
		w := work("live", "a")
		w.ConfirmationAge = 2900 * ms
		s.offer(w)
		So(s.started["a"], ShouldEqual, 1)
		s.change(func(c *dragonflyconditions.Conditions) { c.ServeWithoutControl = true })
		assertStarts(s)
	})
	Convey("Work for another kind of upstream is refused", t, func() {
		s := newSimulation()
		s.change(func(c *dragonflyconditions.Conditions) {
			c.Announcement.Kind, c.Announcement.Service = dragonflyannouncement.Service, "floor"
		})
		assertRefusal(s, dragonflyframe.ReasonWrongGroup)
	})
}

func TestAdmission(t *testing.T) {
	Convey("The limit settles where 95 percent of the gaps between tokens meet the target", t, func() {
		s := newWarmSimulation()
		// The gap reaches the target of 25 ms at 15 requests. A limit of half of that
		// would leave the upstream underused.
		So(s.core.Load().Limit, ShouldBeBetweenOrEqual, 8, 15)
		s.missed, s.measured = 0, 0
		s.run(20*dragonflyduration.Second, s.fillQueue)
		So(s.measured, ShouldBeGreaterThan, 1000)
		So(s.missed*100, ShouldBeLessThanOrEqualTo, s.measured*5)
	})
	Convey("A cold upstream receives no more than its announced cold limit until it announces that it is ready", t, func() {
		s := newSimulation()
		s.cold = true
		s.change(func(c *dragonflyconditions.Conditions) { c.Announcement.State = dragonflyannouncement.Cold })
		s.run(10*dragonflyduration.Second, s.fillQueue)
		So(s.peak, ShouldEqual, 2)
		s.cold = false
		s.change(func(c *dragonflyconditions.Conditions) { c.Announcement.State = dragonflyannouncement.Ready })
		s.run(10*dragonflyduration.Second, s.fillQueue)
		So(s.core.Load().Limit, ShouldBeGreaterThanOrEqualTo, 8)
	})
	Convey("The limit does not rise while it is not used up", t, func() {
		s := newSimulation()
		s.run(20*dragonflyduration.Second, func() {
			if s.core.Load().InFlight == 0 {
				s.offer(work("live", "a"))
			}
		})
		So(s.core.Load().Limit, ShouldEqual, 2)
	})
	Convey("A new group or a recovered upstream starts at the cold limit", t, func() {
		s := newWarmSimulation()
		s.change(func(c *dragonflyconditions.Conditions) { c.Alive = false })
		s.change(func(c *dragonflyconditions.Conditions) { c.Alive = true })
		So(s.core.Load().Limit, ShouldEqual, 2)
		s = newWarmSimulation()
		s.change(func(c *dragonflyconditions.Conditions) { c.Gate.Group, c.Gate.Fence = 8, 7 })
		So(s.core.Load().Limit, ShouldEqual, 2)
	})
	for name, turn := range map[string]func(s *simulation){
		"turns cold":                         func(s *simulation) { s.cold = true },
		"stops answering":                    func(s *simulation) { s.stalled = true },
		"takes four times as long per token": func(s *simulation) { s.base, s.slope = 4*s.base, 4*s.slope },
	} {
		Convey("The limit falls to the cold limit within a second when an upstream "+name, t, func() {
			s := newWarmSimulation()
			turn(s)
			s.run(dragonflyduration.Second, s.fillQueue)
			So(s.core.Load().Limit, ShouldEqual, 2)
		})
	}
	Convey("The limit rises again once an upstream that turned cold is warm", t, func() {
		s := newWarmSimulation()
		s.cold = true
		s.run(5*dragonflyduration.Second, s.fillQueue)
		So(s.core.Load().Limit, ShouldBeLessThanOrEqualTo, 3)
		s.cold = false
		s.run(15*dragonflyduration.Second, s.fillQueue)
		So(s.core.Load().Limit, ShouldBeGreaterThanOrEqualTo, 8)
	})
	Convey("A workspace with few requests gets more than 40% of the capacity beside one with many", t, func() {
		s := newSimulation()
		s.run(30*dragonflyduration.Second, func() {
			for range 5 {
				s.offer(work("live", "large"))
			}
			if s.rng.Intn(10) == 0 {
				s.offer(work("live", "small"))
			}
		})
		offered, started := 0, s.started["small"]
		for _, w := range s.works {
			if w.Workspace == "small" {
				offered++
			}
		}
		So(s.refused[dragonflyframe.ReasonOverloaded], ShouldBeGreaterThan, 100)
		So(float64(started), ShouldBeGreaterThan, 0.4*float64(started+s.started["large"]))
		So(started, ShouldBeLessThan, offered)
	})
	Convey("A class of lower priority receives only the capacity that the others leave unused", t, func() {
		s := newWarmSimulation()
		n := 0
		s.run(5*dragonflyduration.Second, func() {
			if n++; n%4 == 0 {
				s.offer(work("live", "l"))
				s.offer(work("batch", "b"))
			}
		})
		So(s.started["l"], ShouldBeGreaterThan, 20)
		So(s.started["b"], ShouldEqual, 0)
		s.run(15*dragonflyduration.Second, nil)
		So(s.started["b"], ShouldBeGreaterThan, 20)
	})
	Convey("A request that would wait beyond its deadline is refused immediately", t, func() {
		s := newWarmSimulation()
		w := work("live", "a")
		w.Deadline = 5 * ms
		id := s.offer(w)
		So(s.decisions[id], ShouldEqual, 1)
		So(s.refused[dragonflyframe.ReasonDeadline], ShouldEqual, 1)
		w.Deadline = 30 * dragonflyduration.Second
		id = s.offer(w)
		So(s.decisions[id], ShouldEqual, 0)
	})
	Convey("A cancelled request is not sent and no longer counts against the limit", t, func() {
		s := newSimulation()
		s.offer(work("live", "a"))
		s.offer(work("live", "a"))
		waiting := s.offer(work("live", "a"))
		s.step(dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.Cancelled, ID: waiting})
		s.step(dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.Cancelled, ID: 1})
		So(s.core.Load().InFlight, ShouldEqual, 1)
		So(s.core.Load().Queued, ShouldEqual, 0)
		So(s.decisions[waiting], ShouldEqual, 0)
	})
	Convey("Every request gets one decision and the limit is never exceeded, for random events", t, func() {
		rapid.Check(t, checkDecisions)
	})
}

// checkDecisions checks that no request is lost, decided on twice or started
// beyond the limit.
func checkDecisions(t *rapid.T) {
	s := newSimulation()
	s.tokens = rapid.IntRange(1, 30).Draw(t, "tokens")
	cancelled := map[uint64]bool{}
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		running := s.core.Load().InFlight
		started := len(s.jobs)
		switch rapid.IntRange(0, 5).Draw(t, "action") {
		case 0:
			s.change(func(c *dragonflyconditions.Conditions) {
				c.Leaving = rapid.Bool().Draw(t, "leaving")
				c.Alive = rapid.Bool().Draw(t, "alive")
				c.Announcement.ColdLimit = rapid.IntRange(0, 9).Draw(t, "bearable")
			})
		case 1:
			if s.next > 0 {
				id := rapid.Uint64Range(1, s.next).Draw(t, "id")
				if s.decisions[id] == 0 {
					cancelled[id] = true
					s.step(dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.Cancelled, ID: id})
				}
			}
		case 2:
			s.run(dragonflyduration.Duration(rapid.IntRange(10, 900).Draw(t, "ms"))*ms, nil)
			continue
		default:
			for range rapid.IntRange(1, 80).Draw(t, "burst") {
				s.offer(work(rapid.SampledFrom([]string{"live", "batch"}).Draw(t, "class"), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")))
			}
		}
		l := s.core.Load()
		if len(s.jobs) > started && l.InFlight > max(l.Limit, running) {
			t.Fatalf("%d run, limit %d", l.InFlight, l.Limit)
		}
		if l.Queued > 256 || l.InFlight != len(s.jobs) {
			t.Fatalf("load %+v with %d jobs", l, len(s.jobs))
		}
	}
	s.change(func(c *dragonflyconditions.Conditions) { c.Leaving = true })
	for id := uint64(1); id <= s.next; id++ {
		if want := 1; s.decisions[id] != want && !cancelled[id] {
			t.Fatalf("request %d has %d decisions", id, s.decisions[id])
		}
	}
}

func ExampleAdmission_Step() {
	s := newSimulation()
	a := dragonflyadmission.Admission{}
	a, _ = a.Step(s.now, dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.ConditionsChanged, Conditions: s.cond})
	for id := uint64(1); id <= 3; id++ {
		next, acts := a.Step(s.now, dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.Offered, ID: id, Work: work("live", "puebla")})
		a = next
		fmt.Println(len(acts), a.Load())
	}
	a, acts := a.Step(s.now, dragonflyadmissionevent.Event{Kind: dragonflyadmissionevent.Finished, ID: 1})
	fmt.Println(acts[0].ID, a.Load())
	// Output:
	// 1 {1 2 0}
	// 1 {2 2 0}
	// 0 {2 2 1}
	// 3 {2 2 0}
}
