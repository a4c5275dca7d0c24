package dragonflygroupcore_test

import (
	"container/heap"
	"fmt"
	"math/rand"

	"dragonflyrelay.example/library/commands/dragonflygroupcore"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflygroupaction"
	"dragonflyrelay.example/library/values/dragonflygroupevent"
	"dragonflyrelay.example/library/values/dragonflygrouporder"
	"dragonflyrelay.example/library/values/dragonflyheartbeatack"
	"dragonflyrelay.example/library/values/dragonflymember"
)

const ms = int64(dragonflyduration.Millisecond)

// simulation drives several cores in one goroutine on a simulated clock. The clocks of
// the nodes drift, and messages are delayed, lost and repeated.
type simulation struct {
	rng        *rand.Rand
	now        int64 // simulated real time in ns
	queue      queue
	nodes      []*node
	groups     map[uint64]dragonflygrouporder.Order
	fence      uint64
	loss       float64          // share of lost messages
	maxDelay   int64            // of a message, in ns
	leaseEnds  map[uint64]int64 // latest end of the lease by group, in real time
	violation  string           // the first violated invariant, "" if none
	joins      int              // Join actions
	openChecks int              // open gates that checkInvariants has seen
}

// node is one agent with its engine.
type node struct {
	sim              *simulation
	id               string
	core             dragonflygroupcore.Core
	incarnation      int
	offset, ppm      int64  // of its clock: offset from the real time in ns, drift in parts per million
	pausedUntil      int64  // in real time, ns
	partitionedUntil int64  // in real time, ns
	checksFence      bool   // the engine refuses orders with an old fencing number
	group            uint64 // that the engine holds
	fence            uint64 // of that group
	highestFence     uint64 // seen by this process
}

func newSimulation(seed int64, nodes int) *simulation {
	s := &simulation{rng: rand.New(rand.NewSource(seed)), groups: map[uint64]dragonflygrouporder.Order{}, leaseEnds: map[uint64]int64{}, now: ms}
	for i := range nodes {
		n := &node{sim: s, id: fmt.Sprintf("i%d", i), checksFence: s.rng.Intn(2) == 0}
		n.restart()
		s.nodes = append(s.nodes, n)
		s.every(50*ms, func() { n.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.Tick}) })
		s.every(1000*ms, n.announce)
	}
	return s
}

type timer struct {
	at, seq int64 // real time in ns; random number that orders timers due at the same time
	do      func()
}

type queue []timer

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func (s *simulation) after(d int64, do func()) {
	heap.Push(&s.queue, timer{s.now + d, int64(s.rng.Int31()), do})
}

func (s *simulation) every(d int64, do func()) {
	var repeat func()
	repeat = func() { do(); s.after(d, repeat) }
	s.after(s.rng.Int63n(d), repeat)
}

// run advances the time by d and runs the timers that are due, until the first
// violation.
func (s *simulation) run(d int64) {
	end := s.now + d
	for s.violation == "" && len(s.queue) > 0 && s.queue[0].at <= end {
		t := heap.Pop(&s.queue).(timer)
		s.now = t.at
		t.do()
	}
	s.now = end
}

// send delivers a message between two nodes after a random delay, unless it is lost or
// a node is partitioned.
func (s *simulation) send(from, to *node, do func()) {
	if s.now < from.partitionedUntil || s.now < to.partitionedUntil || s.rng.Float64() < s.loss {
		return
	}
	s.after(s.rng.Int63n(s.maxDelay+1), func() { to.whenRunning(do) })
}

// whenRunning calls do once the node is not paused.
func (n *node) whenRunning(do func()) {
	if n.sim.now < n.pausedUntil {
		n.sim.after(n.pausedUntil-n.sim.now, func() { n.whenRunning(do) })
		return
	}
	do()
}

// localTime returns the reading of the node's clock at the real time t.
func (n *node) localTime(t int64) dragonflyinstant.Instant {
	return dragonflyinstant.Instant(n.offset + t + t/1000*n.ppm/1000)
}

// realTime returns the real time at which the node's clock reads i.
func (n *node) realTime(i dragonflyinstant.Instant) int64 {
	t := int64(i) - n.offset
	return t - t/1000*n.ppm/1000
}

// restart restarts the agent without its state and with another clock, which drifts by
// up to 0.1% either way.
func (n *node) restart() {
	n.incarnation++
	n.highestFence = 0
	n.core = dragonflygroupcore.Core{}.WithSelf(n.id).WithEpoch(uint64(n.incarnation))
	n.ppm = n.sim.rng.Int63n(2001) - 1000
	n.offset = n.sim.rng.Int63n(1000_000 * ms)
	n.pausedUntil = 0
}

func (n *node) announce() {
	a := dragonflyannouncement.Announcement{Kind: dragonflyannouncement.Engine, State: dragonflyannouncement.Ready, Group: n.group, Fence: n.fence}
	inc := n.incarnation
	n.whenRunning(func() {
		if inc == n.incarnation {
			n.highestFence = max(n.highestFence, a.Fence)
			n.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.Announced, Announcement: a})
		}
	})
}

// step handles one event unless the node is paused, checks the invariants, and returns
// the answer to a heartbeat.
func (n *node) step(ev dragonflygroupevent.Event) (ack dragonflyheartbeatack.Ack) {
	if n.sim.now < n.pausedUntil {
		return ack
	}
	var acts []dragonflygroupaction.Action
	n.core, acts = n.core.Step(n.localTime(n.sim.now), ev)
	if l := n.core.Lease(); l.HasGroup() {
		g := n.core.Membership().Group().Group
		n.sim.leaseEnds[g] = max(n.sim.leaseEnds[g], n.realTime(l.ValidUntil()))
	}
	for _, a := range acts {
		switch a.Kind {
		case dragonflygroupaction.Answer:
			ack = a.Ack
		case dragonflygroupaction.Join:
			n.sim.joins++
		case dragonflygroupaction.Send:
			n.sendHeartbeat(a)
		case dragonflygroupaction.Load:
			n.executeOrder(true, a.Order)
		case dragonflygroupaction.Unload:
			n.executeOrder(false, a.Order)
		}
	}
	n.sim.checkInvariants()
	return ack
}

// sendHeartbeat sends a heartbeat to its member, and the answer back unless the head
// has restarted since.
func (n *node) sendHeartbeat(a dragonflygroupaction.Action) {
	to, inc := n.sim.node(a.Member.Instance), n.incarnation
	n.sim.send(n, to, func() {
		ack := to.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.HeartbeatReceived, Heartbeat: a.Heartbeat})
		n.sim.send(to, n, func() {
			if n.incarnation == inc {
				n.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.Acked, Ack: ack})
			}
		})
	})
}

// executeOrder makes the engine execute an order within 300 ms and reports the outcome
// to the agent. In 10% of the cases the outcome is unknown: the engine then executes
// the order up to 3 s later or never.
func (n *node) executeOrder(load bool, o dragonflygrouporder.Order) {
	if load && o.Fence < n.highestFence {
		n.sim.recordViolation("%s orders its engine to load fence %d after %d", n.id, o.Fence, n.highestFence)
	}
	n.highestFence = max(n.highestFence, o.Fence)
	outcome := dragonflygroupevent.Done
	execute := func() {
		switch {
		case n.checksFence && o.Fence < n.fence:
			outcome = dragonflygroupevent.Refused
		case load:
			n.group, n.fence = o.Group, o.Fence
		default:
			n.group = 0
		}
	}
	latency := n.sim.rng.Int63n(300 * ms)
	if n.sim.rng.Float64() < 0.1 {
		outcome = dragonflygroupevent.Unknown
		if n.sim.rng.Intn(2) == 0 {
			n.sim.after(n.sim.rng.Int63n(3000*ms), execute)
		}
		execute, latency = func() {}, 500*ms
	}
	inc := n.incarnation
	n.sim.after(latency, func() {
		execute()
		n.whenRunning(func() {
			if n.incarnation == inc {
				n.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.OrderResolved, Group: o.Group, Fence: o.Fence, Outcome: outcome})
				n.announce()
			}
		})
	})
}

func (s *simulation) node(id string) *node {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// form creates a group of the given nodes and sends them its order.
func (s *simulation) form(nodes ...*node) dragonflygrouporder.Order {
	s.fence++
	o := dragonflygrouporder.Order{Kind: dragonflygrouporder.Form, Group: 100 + s.fence, Fence: s.fence}
	for _, n := range nodes {
		o.Members = append(o.Members, dragonflymember.Member{Instance: n.id})
	}
	s.groups[o.Group] = o
	s.sendOrder(o)
	return o
}

func (s *simulation) dissolve(o dragonflygrouporder.Order) {
	o.Kind = dragonflygrouporder.Dissolve
	s.sendOrder(o)
}

// sendOrder delivers o to each of its members one to three times, with random delays.
func (s *simulation) sendOrder(o dragonflygrouporder.Order) {
	for _, m := range o.Members {
		n := s.node(m.Instance)
		for range 1 + s.rng.Intn(3) {
			s.after(s.rng.Int63n(4*s.maxDelay+1), func() {
				n.whenRunning(func() { n.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.Ordered, Order: o}) })
			})
		}
	}
}

// recordViolation records the first violation with its time.
func (s *simulation) recordViolation(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("at %d ms: ", s.now/ms) + fmt.Sprintf(format, args...)
	}
}

// openGroup returns the group for which n's gate is open now, 0 if none. A paused node
// counts too, since it may resume and read its clock.
func (n *node) openGroup() uint64 {
	g := n.core.Gate()
	if g.Group != 0 && g.Allows(n.localTime(n.sim.now), g.Group, g.Fence) {
		return g.Group
	}
	return 0
}

// checkInvariants checks that no instance is in two groups: while a head may relay, no
// member of its group belongs to another one. It also checks that no member treats its
// group as alive after the end of the head's lease.
func (s *simulation) checkInvariants() {
	for _, h := range s.nodes {
		g := h.openGroup()
		if g == 0 {
			continue
		}
		s.openChecks++
		for _, m := range s.groups[g].Members {
			if in := s.node(m.Instance).core.Membership().Group(); in.Kind != 0 && in.Group != g {
				s.recordViolation("%s relays for group %d while %s belongs to %d", h.id, g, m.Instance, in.Group)
			}
		}
	}
	for _, n := range s.nodes {
		m := n.core.Membership()
		if g := m.Group().Group; g != 0 && m.GroupAliveUntil() != 0 && n.realTime(m.GroupAliveUntil()) > s.leaseEnds[g] {
			s.recordViolation("%s treats group %d as alive for %d us after the end of its lease", n.id, g, (n.realTime(m.GroupAliveUntil())-s.leaseEnds[g])/1000)
		}
	}
}
