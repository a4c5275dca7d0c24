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

// world drives several cores in one goroutine on its own clock. Each node has a
// clock of its own speed; messages are late, lost and repeated.
type world struct {
	rng    *rand.Rand
	now    int64 // real time in ns
	queue  queue
	nodes  []*node
	groups map[uint64]dragonflygrouporder.Order
	fence  uint64
	loss   float64 // share of lost messages
	delay  int64   // longest delay of a message
	ends   map[uint64]int64
	fault  string // the first breach
	joins  int
	opened int
}

// node is one agent with its engine.
type node struct {
	w           *world
	id          string
	core        dragonflygroupcore.Core
	incarnation int
	offset, ppm int64
	pausedUntil int64
	cutUntil    int64
	checks      bool // the engine refuses old fencing numbers
	group       uint64
	fence       uint64
	known       uint64 // the highest fencing number that this process has seen
}

func newWorld(seed int64, nodes int) *world {
	w := &world{rng: rand.New(rand.NewSource(seed)), groups: map[uint64]dragonflygrouporder.Order{}, ends: map[uint64]int64{}, now: ms}
	for i := range nodes {
		n := &node{w: w, id: fmt.Sprintf("i%d", i), checks: w.rng.Intn(2) == 0}
		n.restart()
		w.nodes = append(w.nodes, n)
		w.every(50*ms, func() { n.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.Tick}) })
		w.every(1000*ms, n.announce)
	}
	return w
}

type timer struct {
	at, seq int64
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

func (w *world) after(d int64, do func()) {
	heap.Push(&w.queue, timer{w.now + d, int64(w.rng.Int31()), do})
}

func (w *world) every(d int64, do func()) {
	var again func()
	again = func() { do(); w.after(d, again) }
	w.after(w.rng.Int63n(d), again)
}

// run lets d pass, or stops at the first breach.
func (w *world) run(d int64) {
	end := w.now + d
	for w.fault == "" && len(w.queue) > 0 && w.queue[0].at <= end {
		t := heap.Pop(&w.queue).(timer)
		w.now = t.at
		t.do()
	}
	w.now = end
}

// send delivers a message between two nodes, perhaps.
func (w *world) send(from, to *node, do func()) {
	if w.now < from.cutUntil || w.now < to.cutUntil || w.rng.Float64() < w.loss {
		return
	}
	w.after(w.rng.Int63n(w.delay+1), func() { to.whenAwake(do) })
}

func (n *node) whenAwake(do func()) {
	if n.w.now < n.pausedUntil {
		n.w.after(n.pausedUntil-n.w.now, func() { n.whenAwake(do) })
		return
	}
	do()
}

// local returns the node's clock at the real time t.
func (n *node) local(t int64) dragonflyinstant.Instant {
	return dragonflyinstant.Instant(n.offset + t + t/1000*n.ppm/1000)
}

// real returns the real time of an instant of the node's clock.
func (n *node) real(i dragonflyinstant.Instant) int64 {
	t := int64(i) - n.offset
	return t - t/1000*n.ppm/1000
}

// restart starts the agent anew, without memory and with another clock. Clocks
// differ by up to 0.1% either way.
func (n *node) restart() {
	n.incarnation++
	n.known = 0
	n.core = dragonflygroupcore.Core{}.WithSelf(n.id).WithEpoch(uint64(n.incarnation))
	n.ppm = n.w.rng.Int63n(2001) - 1000
	n.offset = n.w.rng.Int63n(1000_000 * ms)
	n.pausedUntil = 0
}

func (n *node) announce() {
	a := dragonflyannouncement.Announcement{Kind: dragonflyannouncement.Engine, State: dragonflyannouncement.Ready, Group: n.group, Fence: n.fence}
	inc := n.incarnation
	n.whenAwake(func() {
		if inc == n.incarnation {
			n.known = max(n.known, a.Fence)
			n.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.Announced, Announcement: a})
		}
	})
}

// step feeds one event to the core unless the node is paused, checks the world
// and returns the answer to a heartbeat.
func (n *node) step(ev dragonflygroupevent.Event) (ack dragonflyheartbeatack.Ack) {
	if n.w.now < n.pausedUntil {
		return ack
	}
	var acts []dragonflygroupaction.Action
	n.core, acts = n.core.Step(n.local(n.w.now), ev)
	if l := n.core.Lease(); l.Held() {
		g := n.core.Membership().Group().Group
		n.w.ends[g] = max(n.w.ends[g], n.real(l.ValidUntil()))
	}
	for _, a := range acts {
		switch a.Kind {
		case dragonflygroupaction.Answer:
			ack = a.Ack
		case dragonflygroupaction.Join:
			n.w.joins++
		case dragonflygroupaction.Send:
			n.beat(a)
		case dragonflygroupaction.Load:
			n.order(true, a.Order)
		case dragonflygroupaction.Unload:
			n.order(false, a.Order)
		}
	}
	n.w.check()
	return ack
}

// beat carries a heartbeat to its member and the answer back to this process of
// the head.
func (n *node) beat(a dragonflygroupaction.Action) {
	to, inc := n.w.node(a.Member.Instance), n.incarnation
	n.w.send(n, to, func() {
		ack := to.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.HeartbeatReceived, Heartbeat: a.Heartbeat})
		n.w.send(to, n, func() {
			if n.incarnation == inc {
				n.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.Acked, Ack: ack})
			}
		})
	})
}

// order has the engine carry out an order, now, late or never, and tells the
// agent the outcome if it is known.
func (n *node) order(load bool, o dragonflygrouporder.Order) {
	if load && o.Fence < n.known {
		n.w.breach("%s orders its engine to load fence %d after %d", n.id, o.Fence, n.known)
	}
	n.known = max(n.known, o.Fence)
	outcome := dragonflygroupevent.Done
	execute := func() {
		switch {
		case n.checks && o.Fence < n.fence:
			outcome = dragonflygroupevent.Refused
		case load:
			n.group, n.fence = o.Group, o.Fence
		default:
			n.group = 0
		}
	}
	took := n.w.rng.Int63n(300 * ms)
	if n.w.rng.Float64() < 0.1 {
		outcome = dragonflygroupevent.Unknown
		if n.w.rng.Intn(2) == 0 {
			n.w.after(n.w.rng.Int63n(3000*ms), execute)
		}
		execute, took = func() {}, 500*ms
	}
	inc := n.incarnation
	n.w.after(took, func() {
		execute()
		n.whenAwake(func() {
			if n.incarnation == inc {
				n.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.OrderResolved, Group: o.Group, Fence: o.Fence, Outcome: outcome})
				n.announce()
			}
		})
	})
}

func (w *world) node(id string) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// form makes a group of the given nodes and sends its orders, late and
// repeatedly.
func (w *world) form(nodes ...*node) dragonflygrouporder.Order {
	w.fence++
	o := dragonflygrouporder.Order{Kind: dragonflygrouporder.Form, Group: 100 + w.fence, Fence: w.fence}
	for _, n := range nodes {
		o.Members = append(o.Members, dragonflymember.Member{Instance: n.id})
	}
	w.groups[o.Group] = o
	w.tell(o)
	return o
}

func (w *world) dissolve(o dragonflygrouporder.Order) {
	o.Kind = dragonflygrouporder.Dissolve
	w.tell(o)
}

func (w *world) tell(o dragonflygrouporder.Order) {
	for _, m := range o.Members {
		n := w.node(m.Instance)
		for range 1 + w.rng.Intn(3) {
			w.after(w.rng.Int63n(4*w.delay+1), func() {
				n.whenAwake(func() { n.step(dragonflygroupevent.Event{Kind: dragonflygroupevent.Ordered, Order: o}) })
			})
		}
	}
}

func (w *world) breach(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf("at %d ms: ", w.now/ms) + fmt.Sprintf(format, args...)
	}
}

// open returns the group that n's gate permits to relay now, 0 if none. A paused
// head counts too: it may wake and look at its clock.
func (n *node) open() uint64 {
	g := n.core.Gate()
	if g.Group != 0 && g.Allows(n.local(n.w.now), g.Group, g.Fence) {
		return g.Group
	}
	return 0
}

// check guards against an instance in two groups: while a head may relay, no
// member of its group belongs to another one. It also guards against a member
// that treats its group as alive for longer than the head does.
func (w *world) check() {
	for _, h := range w.nodes {
		g := h.open()
		if g == 0 {
			continue
		}
		w.opened++
		for _, m := range w.groups[g].Members {
			if in := w.node(m.Instance).core.Membership().Group(); in.Kind != 0 && in.Group != g {
				w.breach("%s relays for group %d while %s belongs to %d", h.id, g, m.Instance, in.Group)
			}
		}
	}
	for _, n := range w.nodes {
		m := n.core.Membership()
		if g := m.Group().Group; g != 0 && m.AliveUntil() != 0 && n.real(m.AliveUntil()) > w.ends[g] {
			w.breach("%s treats group %d as alive %d us longer than its head", n.id, g, (n.real(m.AliveUntil())-w.ends[g])/1000)
		}
	}
}
