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
	w := &simulation{
		now: 1, names: []string{"n0", "n1", "n2"}, instances: map[string]*instance{},
		results: map[uint64]dragonflyresult.Result{}, agents: map[string]*dragonflyreport.Report{},
	}
	for _, name := range w.names {
		w.instances[name] = &instance{core: dragonflycontrolcore.New(w.now, dragonflyconsensus.New(name, w.names))}
	}
	for i := range agents {
		name := fmt.Sprint("i", i)
		w.agents[name] = &dragonflyreport.Report{
			Incarnation: 1, AgentAddress: fmt.Sprint("127.0.0.1:", i+1), Alive: true, Membership: dragonflyreport.Free,
			Announcement: dragonflyannouncement.Announcement{
				Instance: name, Kind: dragonflyannouncement.Engine, Address: "127.0.0.1:9", Region: "sicilia", Zone: "palermo",
				Domain: "d1", Accelerators: 1, Model: "lots", State: dragonflyannouncement.Ready,
			},
		}
	}
	return w
}

func (w *simulation) step(name string, ev dragonflycontrolevent.Event) {
	n := w.instances[name]
	if n.down {
		return
	}
	next, acts := n.core.Step(w.now, ev)
	n.core = next
	for _, a := range acts {
		switch {
		case a.Kind == dragonflycontrolaction.Answer:
			w.results[a.Request] = a.Result
		case a.Consensus.Kind == dragonflyconsensusaction.Send:
			w.network = append(w.network, a.Consensus.Message)
		default:
			n.records = append(n.records, a.Consensus.Record)
			w.stepConsensus(name, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Persisted, Sequence: a.Consensus.Sequence})
		}
	}
}

func (w *simulation) stepConsensus(name string, ev dragonflyconsensusevent.Event) {
	w.step(name, dragonflycontrolevent.Event{Kind: dragonflycontrolevent.Consensus, Consensus: ev, Wall: int64(w.now)})
}

func (w *simulation) stepDirectory(name string, ev dragonflydirectoryevent.Event) {
	w.step(name, dragonflycontrolevent.Event{Kind: dragonflycontrolevent.Directory, Directory: ev, Wall: int64(w.now)})
}

// run runs rounds for the duration d. Messages arrive in the round after the one
// in which they were sent.
func (w *simulation) run(d dragonflyduration.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(round)
		sent := w.network
		w.network = nil
		for _, m := range sent {
			w.stepConsensus(m.To, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Received, Message: m})
		}
		for i, name := range w.names {
			w.stepConsensus(name, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Tick, Seed: uint64(w.now) * uint64(i+1) * 40503})
			w.stepDirectory(name, dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Tick})
		}
		if int64(w.now)%int64(dragonflyduration.Second) < int64(round) {
			w.report()
		}
		if int64(w.now)%int64(500*dragonflyduration.Millisecond) < int64(round) {
			w.pull()
		}
	}
}

// report sends the report of every agent to one control instance, which relays it
// to the leader, and applies the order that the instance returns.
func (w *simulation) report() {
	i := 0
	for _, name := range sortedAgents(w.agents) {
		at := w.names[i%len(w.names)]
		if w.instances[at].down {
			at = w.names[(i+1)%len(w.names)]
		}
		i++
		r := w.agents[name]
		ev := dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Reported, Report: *r}
		w.stepDirectory(at, ev)
		if leader := w.leader(); leader != "" && leader != at {
			w.stepDirectory(leader, ev)
		}
		applyOrder(r, w.instances[at].core.Directory().Order(name))
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

// pull sends the followers the changes of the leader's route table.
func (w *simulation) pull() {
	leader := w.leader()
	for _, name := range w.names {
		n := w.instances[name]
		if leader == "" || name == leader || n.down {
			continue
		}
		t := w.instances[leader].core.Directory().Table(n.watch)
		n.watch.Term, n.watch.Revision = t.Term, t.Revision
		w.stepDirectory(name, dragonflydirectoryevent.Event{Kind: dragonflydirectoryevent.Pulled, Table: t})
	}
}

func (w *simulation) leader() (name string) {
	for _, n := range w.names {
		c := w.instances[n].core.Consensus()
		if !w.instances[n].down && c.Leading() && (name == "" || c.Term() > w.instances[name].core.Consensus().Term()) {
			name = n
		}
	}
	return name
}

// restart restarts an instance from its disk.
func (w *simulation) restart(name string) {
	c := dragonflyconsensus.New(name, w.names).Restored(dragonflysnapshot.Snapshot{}, w.instances[name].records)
	n := w.instances[name]
	n.core, n.down, n.watch = dragonflycontrolcore.New(w.now, c), false, dragonflywatch.Watch{}
}

func sortedAgents(agents map[string]*dragonflyreport.Report) (names []string) {
	for i := range len(agents) {
		names = append(names, fmt.Sprint("i", i))
	}
	return names
}

// assertGroups asserts that all instances have the same state with n groups, and
// that the route table of each has a route to every group.
func assertGroups(w *simulation, n int) {
	first := encoded(w.instances[w.names[0]].core)
	for _, name := range w.names {
		core := w.instances[name].core
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
		w := newSimulation(5)
		w.run(2 * dragonflyduration.Second)
		leader := w.leader()
		w.stepConsensus(leader, setGroupSize(2))
		w.run(8 * dragonflyduration.Second)
		So(w.results[1].Outcome, ShouldEqual, dragonflyresult.Accepted)
		assertGroups(w, 2)
		So(w.now.Sub(w.instances[leader].core.Confirmed()), ShouldBeLessThan, 500*dragonflyduration.Millisecond)

		Convey("The loss of the leader changes no group, and the next leader repairs groups", func() {
			before := w.instances[leader].core.Cluster().Groups()
			w.instances[leader].down = true
			w.run(2 * dragonflyduration.Second)
			next := w.leader()
			So(next, ShouldNotBeEmpty)
			So(next, ShouldNotEqual, leader)
			w.run(6 * dragonflyduration.Second)
			So(w.instances[next].core.Cluster().Groups(), ShouldResemble, before)
			lost := before[0].Members[0].Instance
			w.agents[lost].Announcement.Instance = "" // The agent stops reporting.
			w.run(12 * dragonflyduration.Second)
			assertMember(w.instances[next].core, lost, false)
			assertMember(w.instances[next].core, "i4", true)
			w.restart(leader)
			w.run(4 * dragonflyduration.Second)
			assertGroups(w, 2)
		})
		Convey("A restart of all instances removes no route from the table of an entry", func() {
			known := w.instances[leader].core.Directory().Table(dragonflywatch.Watch{})
			watch := dragonflywatch.Watch{Term: known.Term, Revision: known.Revision}
			for _, name := range w.names {
				w.restart(name)
			}
			for range 100 {
				w.run(round)
				for _, name := range w.names {
					t := w.instances[name].core.Directory().Table(watch)
					So(t.Removed, ShouldBeEmpty)
					So(t.Complete && len(t.Routes) < len(known.Routes), ShouldBeFalse)
				}
			}
			assertGroups(w, 2)
		})
		Convey("Without a quorum no group changes, and the confirmation is not renewed", func() {
			for _, name := range w.names {
				w.instances[name].down = name != leader
			}
			groups := w.instances[leader].core.Cluster().Groups()
			w.agents[groups[0].Members[0].Instance].Announcement.Instance = ""
			w.run(8 * dragonflyduration.Second)
			So(w.instances[leader].core.Consensus().Leading(), ShouldBeFalse)
			So(w.instances[leader].core.Cluster().Groups(), ShouldResemble, groups)
			So(w.now.Sub(w.instances[leader].core.Confirmed()), ShouldBeGreaterThan, 3*dragonflyduration.Second)
		})
	})
}
