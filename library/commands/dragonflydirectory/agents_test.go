package dragonflydirectory_test

import (
	"fmt"
	"slices"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflygroupcore"
	"dragonflyrelay.example/library/commands/dragonflymembership"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflydirectoryevent"
	"dragonflyrelay.example/library/values/dragonflygroupaction"
	"dragonflyrelay.example/library/values/dragonflygroupevent"
	"dragonflyrelay.example/library/values/dragonflygrouporder"
	"dragonflyrelay.example/library/values/dragonflyreport"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const (
	tick       = 100 * dragonflyduration.Millisecond
	engineLoad = 3 * dragonflyduration.Second
)

// testInstance is an instance with the real group core of its agent and a fake
// engine.
type testInstance struct {
	id     string
	core   dragonflygroupcore.Core
	domain string

	incarnation                             uint64
	paused, dead, unreachable, disconnected bool // unreachable: by heartbeats; disconnected: from control
	loaded, loading                         dragonflygrouporder.Order
	loadedAt                                dragonflyinstant.Instant
}

// agentFleet is a fleet whose agents run the real group core, on one clock. The
// replicated state of the fleet is fake.
type agentFleet struct {
	*fleet
	instances map[string]*testInstance
}

func newAgentFleet(size int, domains ...int) *agentFleet {
	f := &agentFleet{fleet: newFleet(size), instances: map[string]*testInstance{}}
	for d, n := range domains {
		for i := range n {
			id := fmt.Sprintf("d%d.%d", d, i)
			f.ids = append(f.ids, id)
			f.agents[id] = &agent{} // The fleet checks its invariants on these.
			f.instances[id] = &testInstance{id: id, domain: fmt.Sprint("d", d), incarnation: 1, core: dragonflygroupcore.Core{}.WithSelf(id).WithEpoch(1)}
		}
	}
	return f
}

// run advances the clock by d. It stops at the first broken invariant and returns
// its description.
func (f *agentFleet) run(d dragonflyduration.Duration) string {
	for range int(d / tick) {
		f.now = f.now.Add(tick)
		for i, id := range f.ids {
			s := f.instances[id]
			if s.paused || s.dead {
				continue
			}
			s.advanceEngine(f.now)
			f.stepInstance(s, dragonflygroupevent.Event{Kind: dragonflygroupevent.RequestsCounted, Closed: s.core.Leaving()})
			f.stepInstance(s, dragonflygroupevent.Event{Kind: dragonflygroupevent.Tick})
			if (int64(f.now)/int64(tick)+int64(i))%10 == 0 {
				f.stepInstance(s, dragonflygroupevent.Event{Kind: dragonflygroupevent.Announced, Announcement: s.announcement()})
				f.report(s)
			}
		}
		f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Tick})
		if violation := f.violation(); violation != "" {
			return violation
		}
	}
	return ""
}

func (s *testInstance) advanceEngine(now dragonflyinstant.Instant) {
	if s.loading.Kind != 0 && !now.Before(s.loadedAt) {
		s.loaded, s.loading = s.loading, dragonflygrouporder.Order{}
	}
}

func (s *testInstance) announcement() dragonflyannouncement.Announcement {
	a := dragonflyannouncement.Announcement{
		Instance: s.id, Kind: dragonflyannouncement.Engine, Zone: "za", Domain: s.domain, Accelerators: 1, Model: "m",
		State: dragonflyannouncement.Cold, Group: s.loaded.Group, Fence: s.loaded.Fence,
	}
	if s.loading.Kind != 0 {
		a.State = dragonflyannouncement.Warming
	}
	return a
}

// stepInstance steps the core of s and carries out the resulting actions.
func (f *agentFleet) stepInstance(s *testInstance, ev dragonflygroupevent.Event) (answer dragonflygroupaction.Action) {
	var acts []dragonflygroupaction.Action
	s.core, acts = s.core.Step(f.now, ev)
	for _, a := range acts {
		settled := dragonflygroupevent.Event{Kind: dragonflygroupevent.OrderResolved, Group: a.Order.Group, Fence: a.Order.Fence, Outcome: dragonflygroupevent.Done}
		switch a.Kind {
		case dragonflygroupaction.Load:
			s.loaded, s.loading, s.loadedAt = dragonflygrouporder.Order{}, a.Order, f.now.Add(engineLoad)
			f.stepInstance(s, settled)
		case dragonflygroupaction.Unload:
			s.loaded, s.loading = dragonflygrouporder.Order{}, dragonflygrouporder.Order{}
			f.stepInstance(s, settled)
		case dragonflygroupaction.Send:
			if to := f.instances[a.Member.Instance]; !s.unreachable && !to.unreachable && !to.dead && !to.paused {
				ack := f.stepInstance(to, dragonflygroupevent.Event{Kind: dragonflygroupevent.HeartbeatReceived, Heartbeat: a.Heartbeat}).Ack
				f.stepInstance(s, dragonflygroupevent.Event{Kind: dragonflygroupevent.Acked, Ack: ack})
			}
		case dragonflygroupaction.Answer:
			answer = a
		}
	}
	return answer
}

// report sends the report that the agent of s would send, and passes the order
// in the response to the core of s.
func (f *agentFleet) report(s *testInstance) {
	if s.disconnected {
		return
	}
	m, l := s.core.Membership(), s.core.Lease()
	r := dragonflyreport.Report{
		Incarnation: s.incarnation, Announcement: m.Upstream(), Alive: m.Alive(), Group: m.Group().Group, Fence: m.Group().Fence,
		GroupReady: l.Ready(), Membership: dragonflyreport.Unknown,
	}
	switch m.State() {
	case dragonflymembership.Free:
		r.Membership = dragonflyreport.Free
	case dragonflymembership.Joining:
		r.Membership = dragonflyreport.Joining
	case dragonflymembership.Member:
		r.Membership = dragonflyreport.Member
	case dragonflymembership.Releasing:
		r.Membership = dragonflyreport.Releasing
	}
	if l.HasGroup() {
		r.LostMembers = l.LostMembers()
	}
	f.agents[s.id].report = r
	f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Reported, Report: r})
	if o := f.d.Order(s.id); o.Kind != 0 {
		f.stepInstance(s, dragonflygroupevent.Event{Kind: dragonflygroupevent.Ordered, Order: o})
	}
}

func (s *testInstance) restart(engineToo bool) {
	s.dead, s.paused = false, false
	s.incarnation++
	s.core = dragonflygroupcore.Core{}.WithSelf(s.id).WithEpoch(s.incarnation)
	if engineToo {
		s.loaded, s.loading = dragonflygrouporder.Order{}, dragonflygrouporder.Order{}
	}
}

// violation returns a description of the first broken invariant, "" if there is
// none: no instance may be in two groups with a valid gate, and the invariants of
// the fleet must hold. The gate of a paused head counts until it expires,
// because the head may resume at any time.
func (f *agentFleet) violation() string {
	of := map[string]uint64{}
	for _, id := range f.ids {
		s := f.instances[id]
		gate := s.core.Gate()
		if s.dead || !f.now.Before(gate.ValidUntil) {
			continue
		}
		for _, m := range s.core.Membership().Group().Members {
			if g, ok := of[m.Instance]; ok {
				return fmt.Sprintf("%s is in groups %d and %d", m.Instance, g, gate.Group)
			}
			of[m.Instance] = gate.Group
		}
	}
	return fmt.Sprint(f.violations)[1 : len(fmt.Sprint(f.violations))-1]
}

// assertServing asserts the ready groups, and that the gate of each head is open
// exactly for its ready group.
func (f *agentFleet) assertServing(groups ...[]string) {
	So(f.ready(), ShouldResemble, groups)
	for _, r := range f.d.Routes() {
		So(f.instances[r.Instance].core.Gate().Group == r.Group, ShouldEqual, r.Ready)
	}
}

func TestAgents(t *testing.T) {
	newServing := func() *agentFleet {
		f := newAgentFleet(3, 4)
		So(f.run(12*dragonflyduration.Second), ShouldBeBlank)
		f.assertServing([]string{"d0.0", "d0.1", "d0.2"})
		return f
	}
	Convey("Agents rejoin their group after a restart, a pause or a loss of the connection to control", t, func() {
		for name, fault := range map[string]func(s *testInstance) (end func()){
			"restart":        func(s *testInstance) func() { s.restart(false); return func() {} },
			"pause":          func(s *testInstance) func() { s.paused = true; return func() { s.paused = false } },
			"isolated":       func(s *testInstance) func() { s.disconnected = true; return func() { s.disconnected = false } },
			"engine restart": func(s *testInstance) func() { s.loaded = dragonflygrouporder.Order{}; return func() {} },
		} {
			for _, id := range []string{"d0.0", "d0.1"} {
				Convey(name+" of "+id, func() {
					f := newServing()
					end := fault(f.instances[id])
					So(f.run(1500*dragonflyduration.Millisecond), ShouldBeBlank)
					end()
					So(f.run(12*dragonflyduration.Second), ShouldBeBlank)
					f.assertServing([]string{"d0.0", "d0.1", "d0.2"})
					So(f.fence, ShouldEqual, 1)
				})
			}
		}
	})
	Convey("A dead agent, or one that its head cannot reach, is replaced", t, func() {
		for name, fault := range map[string]func(s *testInstance){
			"dead": func(s *testInstance) { s.dead = true }, "alone": func(s *testInstance) { s.unreachable = true },
		} {
			Convey(name, func() {
				f := newServing()
				fault(f.instances["d0.1"])
				So(f.run(25*dragonflyduration.Second), ShouldBeBlank)
				f.assertServing([]string{"d0.0", "d0.3", "d0.2"})
			})
		}
	})
	Convey("No instance is ever in two groups, and after random faults all possible groups serve", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			size := rapid.IntRange(1, 3).Draw(t, "size")
			f := newAgentFleet(size, rapid.IntRange(1, 6).Draw(t, "first domain"), rapid.IntRange(0, 5).Draw(t, "second domain"))
			for range rapid.IntRange(1, 20).Draw(t, "faults") {
				f.injectInstanceFault(t)
				if violation := f.run(dragonflyduration.Duration(rapid.IntRange(0, 60).Draw(t, "ticks")) * tick); violation != "" {
					t.Fatal(violation)
				}
			}
			for _, s := range f.instances {
				if s.paused, s.unreachable, s.disconnected = false, false, false; s.dead {
					s.restart(true)
				}
			}
			want := 0
			for _, d := range []string{"d0", "d1"} {
				n := 0
				for _, s := range f.instances {
					if s.domain == d {
						n++
					}
				}
				want += n / size
			}
			for s := 0; s < 150 && (s == 0 || len(f.ready()) != want); s += 10 {
				if violation := f.run(10 * dragonflyduration.Second); violation != "" {
					t.Fatal(violation)
				}
			}
			if len(f.ready()) != want {
				t.Fatalf("%d groups ready of %d possible: %v", len(f.ready()), want, f.groups)
			}
		})
	})
}

// injectInstanceFault injects a random fault into a random instance, or a change
// of leader.
func (f *agentFleet) injectInstanceFault(t *rapid.T) {
	s := f.instances[rapid.SampledFrom(slices.Clone(f.ids)).Draw(t, "instance")]
	switch rapid.IntRange(0, 6).Draw(t, "fault") {
	case 0:
		s.dead = true
	case 1:
		s.restart(rapid.Bool().Draw(t, "engine too"))
	case 2:
		s.paused = !s.paused
	case 3:
		s.unreachable = !s.unreachable
	case 4:
		s.disconnected = !s.disconnected
	case 5:
		s.loaded = dragonflygrouporder.Order{}
	case 6:
		f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Led, Term: uint64(f.now)})
	}
}

// joinedElsewhere returns a description of the first member of a group with a valid gate that
// has joined another one, whether that one serves yet or not, "" if there is none.
func (f *agentFleet) joinedElsewhere() string {
	for _, id := range f.ids {
		gate := f.instances[id].core.Gate()
		if !f.now.Before(gate.ValidUntil) {
			continue
		}
		for _, m := range f.instances[id].core.Membership().Group().Members {
			if g := f.instances[m.Instance].core.Membership().Group(); g.Kind != 0 && g.Group != gate.Group {
				return fmt.Sprintf("%s has joined group %d while the head of group %d is at work", m.Instance, g.Group, gate.Group)
			}
		}
	}
	return ""
}

// TestCutOffHead guards against members of a group that join another one while their head,
// of which control has not heard for long, is still at work.
func TestCutOffHead(t *testing.T) {
	for name, cut := range map[string]func(f *agentFleet, head *testInstance){
		"cut off from control":                  func(_ *agentFleet, head *testInstance) { head.disconnected = true },
		"cut off from control and from members": func(_ *agentFleet, head *testInstance) { head.disconnected, head.unreachable = true, true },
		"standing still":                        func(_ *agentFleet, head *testInstance) { head.paused = true },
		"cut off from a new leader": func(f *agentFleet, head *testInstance) {
			head.disconnected = true
			f.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Led, Term: 9})
		},
	} {
		for _, length := range []dragonflyduration.Duration{2, 4, 20, 40} {
			Convey(fmt.Sprintf("A head that is %s for %d s", name, length), t, func() {
				f := newAgentFleet(3, 7)
				run := func(d dragonflyduration.Duration) {
					for range int(d / tick) {
						So(f.run(tick)+f.joinedElsewhere(), ShouldBeBlank)
					}
				}
				run(12 * dragonflyduration.Second)
				So(f.ready(), ShouldHaveLength, 2)
				head := f.instances["d0.0"]
				So(head.core.Gate().ValidUntil, ShouldBeGreaterThan, f.now)
				cut(f, head)
				run(length * dragonflyduration.Second)
				// The head of a second group follows before the first one is back.
				cut(f, f.instances["d0.3"])
				run(length * dragonflyduration.Second)
				head.disconnected, head.unreachable, head.paused = false, false, false
				run(length * dragonflyduration.Second)
				f.instances["d0.3"].disconnected, f.instances["d0.3"].unreachable, f.instances["d0.3"].paused = false, false, false
				run(90 * dragonflyduration.Second)
				So(f.ready(), ShouldHaveLength, 2)
			})
		}
	}
}
