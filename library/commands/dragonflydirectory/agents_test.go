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

// slot is an instance with the real group core of its agent and a fake engine.
type slot struct {
	id     string
	core   dragonflygroupcore.Core
	domain string

	incarnation                   uint64
	paused, dead, alone, isolated bool // alone: sends and receives no heartbeats; isolated: has no connection to control
	holds, loading                dragonflygrouporder.Order
	loadedAt                      dragonflyinstant.Instant
}

// platform is a fleet whose agents run the real group core, on one clock. The
// replicated state of the fleet is fake.
type platform struct {
	*fleet
	slots map[string]*slot
}

func newPlatform(size int, domains ...int) *platform {
	p := &platform{fleet: newFleet(size), slots: map[string]*slot{}}
	for d, n := range domains {
		for i := range n {
			id := fmt.Sprintf("d%d.%d", d, i)
			p.ids = append(p.ids, id)
			p.agents[id] = &agent{} // The fleet checks its invariants on these.
			p.slots[id] = &slot{id: id, domain: fmt.Sprint("d", d), incarnation: 1, core: dragonflygroupcore.Core{}.WithSelf(id).WithEpoch(1)}
		}
	}
	return p
}

// run advances the clock by d. It stops at the first broken invariant and returns
// its description.
func (p *platform) run(d dragonflyduration.Duration) string {
	for range int(d / tick) {
		p.now = p.now.Add(tick)
		for i, id := range p.ids {
			s := p.slots[id]
			if s.paused || s.dead {
				continue
			}
			s.engine(p.now)
			p.feed(s, dragonflygroupevent.Event{Kind: dragonflygroupevent.Busy, Closed: s.core.Leaving()})
			p.feed(s, dragonflygroupevent.Event{Kind: dragonflygroupevent.Tick})
			if (int64(p.now)/int64(tick)+int64(i))%10 == 0 {
				p.feed(s, dragonflygroupevent.Event{Kind: dragonflygroupevent.Announced, Announcement: s.announcement()})
				p.report(s)
			}
		}
		p.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Tick})
		if broken := p.broken(); broken != "" {
			return broken
		}
	}
	return ""
}

func (s *slot) engine(now dragonflyinstant.Instant) {
	if s.loading.Kind != 0 && !now.Before(s.loadedAt) {
		s.holds, s.loading = s.loading, dragonflygrouporder.Order{}
	}
}

func (s *slot) announcement() dragonflyannouncement.Announcement {
	a := dragonflyannouncement.Announcement{
		Instance: s.id, Kind: dragonflyannouncement.Engine, Zone: "za", Domain: s.domain, Accelerators: 1, Model: "m",
		State: dragonflyannouncement.Cold, Group: s.holds.Group, Fence: s.holds.Fence,
	}
	if s.loading.Kind != 0 {
		a.State = dragonflyannouncement.Warming
	}
	return a
}

// feed steps the core of s and carries out the resulting actions.
func (p *platform) feed(s *slot, ev dragonflygroupevent.Event) (answer dragonflygroupaction.Action) {
	var acts []dragonflygroupaction.Action
	s.core, acts = s.core.Step(p.now, ev)
	for _, a := range acts {
		settled := dragonflygroupevent.Event{Kind: dragonflygroupevent.Settled, Group: a.Order.Group, Fence: a.Order.Fence, Outcome: dragonflygroupevent.Done}
		switch a.Kind {
		case dragonflygroupaction.Load:
			s.holds, s.loading, s.loadedAt = dragonflygrouporder.Order{}, a.Order, p.now.Add(engineLoad)
			p.feed(s, settled)
		case dragonflygroupaction.Unload:
			s.holds, s.loading = dragonflygrouporder.Order{}, dragonflygrouporder.Order{}
			p.feed(s, settled)
		case dragonflygroupaction.Send:
			if to := p.slots[a.Member.Instance]; !s.alone && !to.alone && !to.dead && !to.paused {
				ack := p.feed(to, dragonflygroupevent.Event{Kind: dragonflygroupevent.Heard, Heartbeat: a.Heartbeat}).Ack
				p.feed(s, dragonflygroupevent.Event{Kind: dragonflygroupevent.Acked, Ack: ack})
			}
		case dragonflygroupaction.Answer:
			answer = a
		}
	}
	return answer
}

// report sends the report that the agent of s would send, and passes the order
// in the response to the core of s.
func (p *platform) report(s *slot) {
	if s.isolated {
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
	if l.Held() {
		r.LostMembers = l.Lost()
	}
	p.agents[s.id].report = r
	p.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Reported, Report: r})
	if o := p.d.Order(s.id); o.Kind != 0 {
		p.feed(s, dragonflygroupevent.Event{Kind: dragonflygroupevent.Ordered, Order: o})
	}
}

func (s *slot) restart(engineToo bool) {
	s.dead, s.paused = false, false
	s.incarnation++
	s.core = dragonflygroupcore.Core{}.WithSelf(s.id).WithEpoch(s.incarnation)
	if engineToo {
		s.holds, s.loading = dragonflygrouporder.Order{}, dragonflygrouporder.Order{}
	}
}

// broken returns a description of the first broken invariant, "" if there is
// none: no instance may be in two groups with a valid gate (I2), and those of
// the fleet must hold. The gate of a paused head counts until it expires,
// because the head may resume at any time.
func (p *platform) broken() string {
	of := map[string]uint64{}
	for _, id := range p.ids {
		s := p.slots[id]
		gate := s.core.Gate()
		if s.dead || !p.now.Before(gate.ValidUntil) {
			continue
		}
		for _, m := range s.core.Membership().Group().Members {
			if g, ok := of[m.Instance]; ok {
				return fmt.Sprintf("%s is in groups %d and %d", m.Instance, g, gate.Group)
			}
			of[m.Instance] = gate.Group
		}
	}
	return fmt.Sprint(p.faults)[1 : len(fmt.Sprint(p.faults))-1]
}

// assertServing asserts the ready groups, and that the gate of each head is open
// exactly for its ready group.
func (p *platform) assertServing(groups ...[]string) {
	So(p.ready(), ShouldResemble, groups)
	for _, r := range p.d.Routes() {
		So(p.slots[r.Instance].core.Gate().Group == r.Group, ShouldEqual, r.Ready)
	}
}

func TestAgents(t *testing.T) {
	newServing := func() *platform {
		p := newPlatform(3, 4)
		So(p.run(12*dragonflyduration.Second), ShouldBeBlank)
		p.assertServing([]string{"d0.0", "d0.1", "d0.2"})
		return p
	}
	Convey("Agents rejoin their group after a restart, a pause or a loss of the connection to control", t, func() {
		for name, fault := range map[string]func(s *slot) (end func()){
			"restart":        func(s *slot) func() { s.restart(false); return func() {} },
			"pause":          func(s *slot) func() { s.paused = true; return func() { s.paused = false } },
			"isolated":       func(s *slot) func() { s.isolated = true; return func() { s.isolated = false } },
			"engine restart": func(s *slot) func() { s.holds = dragonflygrouporder.Order{}; return func() {} },
		} {
			for _, id := range []string{"d0.0", "d0.1"} {
				Convey(name+" of "+id, func() {
					p := newServing()
					end := fault(p.slots[id])
					So(p.run(1500*dragonflyduration.Millisecond), ShouldBeBlank)
					end()
					So(p.run(12*dragonflyduration.Second), ShouldBeBlank)
					p.assertServing([]string{"d0.0", "d0.1", "d0.2"})
					So(p.fence, ShouldEqual, 1)
				})
			}
		}
	})
	Convey("A dead agent, or one that its head cannot reach, is replaced", t, func() {
		for name, fault := range map[string]func(s *slot){
			"dead": func(s *slot) { s.dead = true }, "alone": func(s *slot) { s.alone = true },
		} {
			Convey(name, func() {
				p := newServing()
				fault(p.slots["d0.1"])
				So(p.run(25*dragonflyduration.Second), ShouldBeBlank)
				p.assertServing([]string{"d0.0", "d0.3", "d0.2"})
			})
		}
	})
	Convey("No instance is ever in two groups, and after random faults all possible groups serve", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			size := rapid.IntRange(1, 3).Draw(t, "size")
			p := newPlatform(size, rapid.IntRange(1, 6).Draw(t, "first domain"), rapid.IntRange(0, 5).Draw(t, "second domain"))
			for range rapid.IntRange(1, 20).Draw(t, "faults") {
				p.breakSlot(t)
				if broken := p.run(dragonflyduration.Duration(rapid.IntRange(0, 60).Draw(t, "ticks")) * tick); broken != "" {
					t.Fatal(broken)
				}
			}
			for _, s := range p.slots {
				if s.paused, s.alone, s.isolated = false, false, false; s.dead {
					s.restart(true)
				}
			}
			want := 0
			for _, d := range []string{"d0", "d1"} {
				n := 0
				for _, s := range p.slots {
					if s.domain == d {
						n++
					}
				}
				want += n / size
			}
			for s := 0; s < 150 && (s == 0 || len(p.ready()) != want); s += 10 {
				if broken := p.run(10 * dragonflyduration.Second); broken != "" {
					t.Fatal(broken)
				}
			}
			if len(p.ready()) != want {
				t.Fatalf("%d groups ready of %d possible: %v", len(p.ready()), want, p.groups)
			}
		})
	})
}

// breakSlot injects a random fault into a random instance, or a change of leader.
func (p *platform) breakSlot(t *rapid.T) {
	s := p.slots[rapid.SampledFrom(slices.Clone(p.ids)).Draw(t, "instance")]
	switch rapid.IntRange(0, 6).Draw(t, "fault") {
	case 0:
		s.dead = true
	case 1:
		s.restart(rapid.Bool().Draw(t, "engine too"))
	case 2:
		s.paused = !s.paused
	case 3:
		s.alone = !s.alone
	case 4:
		s.isolated = !s.isolated
	case 5:
		s.holds = dragonflygrouporder.Order{}
	case 6:
		p.step(dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Led, Term: uint64(p.now)})
	}
}
