package dragonflycontrolcore_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/commands/dragonflyconsensus"
	"dragonflyrelay.example/library/commands/dragonflycontrolcore"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyconsensusaction"
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	"dragonflyrelay.example/library/values/dragonflyconsensusmessage"
	"dragonflyrelay.example/library/values/dragonflycontrolaction"
	"dragonflyrelay.example/library/values/dragonflycontrolevent"
	"dragonflyrelay.example/library/values/dragonflydirectoryevent"
	"dragonflyrelay.example/library/values/dragonflygrouporder"
	"dragonflyrelay.example/library/values/dragonflylogrecord"
	"dragonflyrelay.example/library/values/dragonflyreport"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"dragonflyrelay.example/library/values/dragonflysnapshot"
	"dragonflyrelay.example/library/values/dragonflywatch"
	. "github.com/smartystreets/goconvey/convey"
)

const round = 50 * dragonflyduration.Millisecond

// instance is a control instance with a fake disk.
type instance struct {
	core    dragonflycontrolcore.Core
	records []dragonflylogrecord.Record
	down    bool
	watch   dragonflywatch.Watch
}

// simulation runs control instances and agents on a simulated clock.
type simulation struct {
	now       dragonflyinstant.Instant
	names     []string
	instances map[string]*instance
	network   []dragonflyconsensusmessage.Message
	results   map[uint64]dragonflyresult.Result
	agents    map[string]*dragonflyreport.Report
}

func newSimulation(agents int) *simulation {
	s := &simulation{
		now: 1, names: []string{"n0", "n1", "n2"}, instances: map[string]*instance{},
		results: map[uint64]dragonflyresult.Result{}, agents: map[string]*dragonflyreport.Report{},
	}
	for _, name := range s.names {
		s.instances[name] = &instance{core: dragonflycontrolcore.New(s.now, dragonflyconsensus.New(name, s.names))}
	}
	for i := range agents {
		name := fmt.Sprint("i", i)
		s.agents[name] = &dragonflyreport.Report{
			Incarnation: 1, AgentAddress: fmt.Sprint("127.0.0.1:", i+1), Alive: true, Membership: dragonflyreport.Free,
			Announcement: dragonflyannouncement.Announcement{
				Instance: name, Kind: dragonflyannouncement.Engine, Address: "127.0.0.1:9", Region: "sicilia", Zone: "palermo",
				Domain: "d1", Accelerators: 1, Model: "lots", State: dragonflyannouncement.Ready,
			},
		}
	}
	return s
}

func (s *simulation) step(name string, ev dragonflycontrolevent.Event) {
	n := s.instances[name]
	if n.down {
		return
	}
	next, acts := n.core.Step(s.now, ev)
	n.core = next
	for _, a := range acts {
		switch {
		case a.Kind == dragonflycontrolaction.Answer:
			s.results[a.Request] = a.Result
		case a.Consensus.Kind == dragonflyconsensusaction.Send:
			s.network = append(s.network, a.Consensus.Message)
		default:
			n.records = append(n.records, a.Consensus.Record)
			s.stepConsensus(name, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Persisted, Sequence: a.Consensus.Sequence})
		}
	}
}

func (s *simulation) stepConsensus(name string, ev dragonflyconsensusevent.Event) {
	s.step(name, dragonflycontrolevent.Event{Kind: dragonflycontrolevent.Consensus, Consensus: ev, Wall: int64(s.now)})
}

func (s *simulation) stepDirectory(name string, ev dragonflydirectoryevent.Event) {
	s.step(name, dragonflycontrolevent.Event{Kind: dragonflycontrolevent.Directory, Directory: ev, Wall: int64(s.now)})
}

// run runs rounds for the duration d. Messages arrive in the round after the one
// in which they were sent.
func (s *simulation) run(d dragonflyduration.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(round)
		sent := s.network
		s.network = nil
		for _, m := range sent {
			s.stepConsensus(m.To, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Received, Message: m})
		}
		for i, name := range s.names {
			s.stepConsensus(name, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Tick, Seed: uint64(s.now) * uint64(i+1) * 40503})
			s.stepDirectory(name, dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Tick})
		}
		if int64(s.now)%int64(dragonflyduration.Second) < int64(round) {
			s.report()
		}
		if int64(s.now)%int64(500*dragonflyduration.Millisecond) < int64(round) {
			s.pull()
		}
	}
}

// report sends the report of every agent to one control instance, which relays it
// to the leader, and applies the order that the instance returns.
func (s *simulation) report() {
	i := 0
	for _, name := range sortedAgents(s.agents) {
		at := s.names[i%len(s.names)]
		if s.instances[at].down {
			at = s.names[(i+1)%len(s.names)]
		}
		i++
		r := s.agents[name]
		ev := dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Reported, Report: *r}
		s.stepDirectory(at, ev)
		if leader := s.leader(); leader != "" && leader != at {
			s.stepDirectory(leader, ev)
		}
		applyOrder(r, s.instances[at].core.Directory().Order(name))
	}
}

// applyOrder applies the order o to the state that the agent reports.
func applyOrder(r *dragonflyreport.Report, o dragonflygrouporder.Order) {
	switch {
	case o.Kind == dragonflygrouporder.Form && o.Fence > r.Fence:
		r.Group, r.Fence, r.Membership, r.GroupReady = o.Group, o.Fence, dragonflyreport.Member, true
	case o.Kind == dragonflygrouporder.Dissolve && o.Group == r.Group:
		r.Group, r.Membership, r.GroupReady = 0, dragonflyreport.Free, false
	}
	r.Announcement.Group, r.Announcement.Fence = r.Group, r.Fence
}

// pull updates the route tables of the followers from that of the leader.
func (s *simulation) pull() {
	leader := s.leader()
	for _, name := range s.names {
		n := s.instances[name]
		if leader == "" || name == leader || n.down {
			continue
		}
		t := s.instances[leader].core.Directory().Table(n.watch)
		n.watch.Term, n.watch.Revision = t.Term, t.Revision
		s.stepDirectory(name, dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Pulled, Table: t})
	}
}

func (s *simulation) leader() (name string) {
	for _, n := range s.names {
		c := s.instances[n].core.Consensus()
		if !s.instances[n].down && c.Leading() && (name == "" || c.Term() > s.instances[name].core.Consensus().Term()) {
			name = n
		}
	}
	return name
}

// restart restarts an instance from its disk.
func (s *simulation) restart(name string) {
	c := dragonflyconsensus.New(name, s.names).Restored(dragonflysnapshot.Snapshot{}, s.instances[name].records)
	n := s.instances[name]
	n.core, n.down, n.watch = dragonflycontrolcore.New(s.now, c), false, dragonflywatch.Watch{}
}

func sortedAgents(agents map[string]*dragonflyreport.Report) (names []string) {
	for i := range len(agents) {
		names = append(names, fmt.Sprint("i", i))
	}
	return names
}

// assertGroups asserts that all instances have the same state with n groups, and
// that the route table of each has a route to every group.
func assertGroups(s *simulation, n int) {
	first := encoded(s.instances[s.names[0]].core)
	for _, name := range s.names {
		core := s.instances[name].core
		So(encoded(core), ShouldEqual, first)
		So(len(core.Cluster().Groups()), ShouldEqual, n)
		So(len(core.Directory().Table(dragonflywatch.Watch{}).Routes), ShouldEqual, n)
	}
}

// assertMember asserts whether an instance is in exactly one group.
func assertMember(c dragonflycontrolcore.Core, instance string, want bool) {
	in := 0
	for _, g := range c.Cluster().Groups() {
		for _, m := range g.Members {
			if m.Instance == instance {
				in++
			}
		}
	}
	So(in == 1, ShouldEqual, want)
}

func encoded(c dragonflycontrolcore.Core) string {
	raw, err := dragonflycodec.MarshalSnapshot(dragonflysnapshot.Snapshot{Index: c.Index(), State: c.Cluster().State()})
	So(err, ShouldBeNil)
	return string(raw)
}

func setGroupSize(n int) dragonflyconsensusevent.Event {
	return dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Propose, Request: 1, Change: dragonflychange.Change{
		ID: "size", Kind: dragonflychange.SetGroupSize, Operator: "op", GroupSize: n,
	}}
}

func TestCore(t *testing.T) {
	Convey("Given three control instances and five agents, one of them spare", t, func() {
		s := newSimulation(5)
		s.run(2 * dragonflyduration.Second)
		leader := s.leader()
		s.stepConsensus(leader, setGroupSize(2))
		s.run(8 * dragonflyduration.Second)
		So(s.results[1].Outcome, ShouldEqual, dragonflyresult.Accepted)
		assertGroups(s, 2)
		So(s.now.Sub(s.instances[leader].core.Confirmed()), ShouldBeLessThan, 500*dragonflyduration.Millisecond)

		Convey("The loss of the leader changes no group, and the next leader repairs groups", func() {
			before := s.instances[leader].core.Cluster().Groups()
			s.instances[leader].down = true
			s.run(2 * dragonflyduration.Second)
			next := s.leader()
			So(next, ShouldNotBeEmpty)
			So(next, ShouldNotEqual, leader)
			s.run(6 * dragonflyduration.Second)
			So(s.instances[next].core.Cluster().Groups(), ShouldResemble, before)
			lost := before[0].Members[0].Instance
			s.agents[lost].Announcement.Instance = "" // The agent stops reporting.
			s.run(12 * dragonflyduration.Second)
			assertMember(s.instances[next].core, lost, false)
			assertMember(s.instances[next].core, "i4", true)
			s.restart(leader)
			s.run(4 * dragonflyduration.Second)
			assertGroups(s, 2)
		})
		Convey("A restart of all instances removes no route from the table of an entry", func() {
			known := s.instances[leader].core.Directory().Table(dragonflywatch.Watch{})
			watch := dragonflywatch.Watch{Term: known.Term, Revision: known.Revision}
			for _, name := range s.names {
				s.restart(name)
			}
			for range 100 {
				s.run(round)
				for _, name := range s.names {
					t := s.instances[name].core.Directory().Table(watch)
					So(t.Removed, ShouldBeEmpty)
					So(t.Complete && len(t.Routes) < len(known.Routes), ShouldBeFalse)
				}
			}
			assertGroups(s, 2)
		})
		Convey("Without a quorum no group changes, and the confirmation is not renewed", func() {
			for _, name := range s.names {
				s.instances[name].down = name != leader
			}
			groups := s.instances[leader].core.Cluster().Groups()
			s.agents[groups[0].Members[0].Instance].Announcement.Instance = ""
			s.run(8 * dragonflyduration.Second)
			So(s.instances[leader].core.Consensus().Leading(), ShouldBeFalse)
			So(s.instances[leader].core.Cluster().Groups(), ShouldResemble, groups)
			So(s.now.Sub(s.instances[leader].core.Confirmed()), ShouldBeGreaterThan, 3*dragonflyduration.Second)
		})
	})
}
