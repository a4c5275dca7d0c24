package dragonflyconsensus_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyconsensus"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyconsensusaction"
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	"dragonflyrelay.example/library/values/dragonflylogrecord"
	"dragonflyrelay.example/library/values/dragonflysnapshot"
	. "github.com/smartystreets/goconvey/convey"
)

// maxFailover is the promised time from the loss of a leader to the next one.
const maxFailover = 2 * dragonflyduration.Second

// delays bounds the random delays of a busy machine, in milliseconds.
type delays struct {
	message int // from the sending core to the receiving one
	sync    int // of one write
	tick    int // by which a tick is late
}

// timedEvent is an event that occurs at an instant at one instance.
type timedEvent struct {
	at dragonflyinstant.Instant
	to string
	ev dragonflyconsensusevent.Event
}

type timedEvents []timedEvent

func (q timedEvents) Len() int           { return len(q) }
func (q timedEvents) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q timedEvents) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *timedEvents) Push(x any)        { *q = append(*q, x.(timedEvent)) }
func (q *timedEvents) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// election plays instances on one simulated clock with random delays.
type election struct {
	random *rand.Rand
	delays delays
	now    dragonflyinstant.Instant
	queue  timedEvents
	nodes  map[string]dragonflyconsensus.Consensus
	dead   string
	cut    map[[2]string]bool // pairs of sender and receiver whose messages are lost

	starts  map[string]dragonflyinstant.Instant          // before which an instance is down, if any
	records map[string][]dragonflylogrecord.Record       // synced ones, by instance
	queued  map[string][]dragonflyconsensusaction.Action // Persist actions that are not synced yet, by instance

	disks     map[string]*disk  // one for each instance if its writes wait for each other, else empty
	confirmed map[string]uint64 // latest term in which an instance was confirmed as the leader
}

// disk syncs one write at a time, and what has come meanwhile with the next sync.
type disk struct {
	last, syncing uint64 // numbers of the latest write and of the latest one in the sync in progress, if any
}

const tickPeriod = 50 * dragonflyduration.Millisecond

func newElection(seed uint64, instances int, d delays) *election {
	e := &election{random: rand.New(rand.NewPCG(seed, 1)), delays: d, now: 1, nodes: map[string]dragonflyconsensus.Consensus{}, confirmed: map[string]uint64{},
		starts: map[string]dragonflyinstant.Instant{}, records: map[string][]dragonflylogrecord.Record{}, queued: map[string][]dragonflyconsensusaction.Action{}}
	var names []string
	for i := range instances {
		names = append(names, fmt.Sprint("n", i))
	}
	for _, name := range names {
		e.nodes[name] = dragonflyconsensus.New(name, names)
		e.schedule(name, e.upTo(50), dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Tick, Seed: e.random.Uint64()})
	}
	return e
}

// upTo returns a random duration of at most ms milliseconds.
func (e *election) upTo(ms int) dragonflyduration.Duration {
	return dragonflyduration.Duration(e.random.Int64N(int64(ms)*int64(dragonflyduration.Millisecond) + 1))
}

func (e *election) schedule(to string, after dragonflyduration.Duration, ev dragonflyconsensusevent.Event) {
	heap.Push(&e.queue, timedEvent{e.now.Add(after), to, ev})
}

// runUntil plays until done is true or the time end, and reports whether done
// became true.
func (e *election) runUntil(end dragonflyinstant.Instant, done func() bool) bool {
	for e.now.Before(end) {
		if done() {
			return true
		}
		next := heap.Pop(&e.queue).(timedEvent)
		e.now = next.at
		if next.to != e.dead && !e.now.Before(e.starts[next.to]) {
			e.step(next.to, next.ev)
		}
	}
	return done()
}

func (e *election) step(name string, ev dragonflyconsensusevent.Event) {
	if ev.Kind == dragonflyconsensusevent.Tick {
		e.schedule(name, tickPeriod+e.upTo(e.delays.tick), dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Tick, Seed: e.random.Uint64()})
	}
	if ev.Kind == dragonflyconsensusevent.Persisted {
		e.recordSynced(name, ev.Sequence)
	}
	next, acts := e.nodes[name].Step(e.now, ev)
	e.nodes[name] = next
	if d := e.disks[name]; d != nil && ev.Kind == dragonflyconsensusevent.Persisted {
		d.syncing = 0
		if d.last > ev.Sequence {
			e.sync(name)
		}
	}
	for _, a := range acts {
		switch a.Kind {
		case dragonflyconsensusaction.Persist:
			e.queued[name] = append(e.queued[name], a)
			d := e.disks[name]
			if d == nil {
				e.schedule(name, e.upTo(e.delays.sync), dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Persisted, Sequence: a.Sequence})
				continue
			}
			if d.last = a.Sequence; d.syncing == 0 {
				e.sync(name)
			}
		case dragonflyconsensusaction.Confirm:
			e.confirmed[name] = next.Term()
		case dragonflyconsensusaction.Send:
			if e.cut[[2]string{name, a.Message.To}] {
				continue
			}
			e.schedule(a.Message.To, e.upTo(e.delays.message), dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Received, Message: a.Message})
		}
	}
}

// recordSynced moves the writes of the named instance up to sequence to its disk.
func (e *election) recordSynced(name string, sequence uint64) {
	for len(e.queued[name]) > 0 && e.queued[name][0].Sequence <= sequence {
		e.records[name] = append(e.records[name], e.queued[name][0].Record)
		e.queued[name] = e.queued[name][1:]
	}
}

// restart ends the named instance and starts it again after the given time with what its disk
// holds. Messages that arrive meanwhile are lost.
func (e *election) restart(name string, after dragonflyduration.Duration) {
	e.queue = slices.DeleteFunc(e.queue, func(t timedEvent) bool { return t.to == name })
	heap.Init(&e.queue)
	e.queued[name], e.starts[name] = nil, e.now.Add(after)
	e.nodes[name] = dragonflyconsensus.New(name, e.nodes[name].Members()).Restored(dragonflysnapshot.Snapshot{}, e.records[name])
	e.schedule(name, after, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Tick, Seed: e.random.Uint64()})
}

// sync syncs all writes of the named instance that have come so far.
func (e *election) sync(name string) {
	e.disks[name].syncing = e.disks[name].last
	e.schedule(name, e.upTo(e.delays.sync), dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Persisted, Sequence: e.disks[name].syncing})
}

// leader returns the name of a living leader, "" if there is none.
func (e *election) leader() string {
	for name, c := range e.nodes {
		if name != e.dead && c.Leading() {
			return name
		}
	}
	return ""
}

// failover returns the time from the loss of the leader to the next leader.
func failover(seed uint64, instances int, d delays) (took dragonflyduration.Duration) {
	e := newElection(seed, instances, d)
	led := func() bool { return e.leader() != "" }
	if !e.runUntil(e.now.Add(30*dragonflyduration.Second), led) {
		return 30 * dragonflyduration.Second
	}
	e.runUntil(e.now.Add(dragonflyduration.Second+e.upTo(150)), func() bool { return false })
	e.dead = e.leader()
	lost := e.now
	e.runUntil(lost.Add(10*dragonflyduration.Second), led)
	return e.now.Sub(lost)
}

// assertFailovers checks that each of the played losses of a leader is repaired
// within maxFailover.
func assertFailovers(plays, instances int, d delays) {
	var worst dragonflyduration.Duration
	late := 0
	for seed := range plays {
		took := failover(uint64(seed), instances, d)
		worst = max(worst, took)
		if took > maxFailover {
			late++
		}
	}
	_, _ = Printf("%d instances, %+v: %d of %d late, worst %d ms\n", instances, d, late, plays, worst/dragonflyduration.Millisecond)
	So(late, ShouldEqual, 0)
}

// TestFailover guards against elections that collide over and over when messages,
// syncs and ticks are delayed by a busy machine.
func TestFailover(t *testing.T) {
	for _, d := range []delays{{message: 5, sync: 30, tick: 20}, {message: 80, sync: 50, tick: 50}} {
		for _, n := range []int{3, 5} {
			Convey(fmt.Sprintf("The next leader of %d instances leads within 2 s with delays of up to %+v ms", n, d), t, func() {
				assertFailovers(1000, n, d)
			})
		}
	}
}

// TestSlowSync guards against a leader that steps down because the syncs of its
// followers take longer than an election timeout, although all of them follow it.
func TestSlowSync(t *testing.T) {
	Convey("A leader whose followers sync slowly keeps leading", t, func() {
		for seed := range 30 {
			e := newElection(uint64(seed), 3, delays{message: 2, sync: 2, tick: 2})
			led := func() bool { return e.leader() != "" }
			So(e.runUntil(e.now.Add(30*dragonflyduration.Second), led), ShouldBeTrue)
			leader, term := e.leader(), e.nodes[e.leader()].Term()
			e.delays.sync = 4000
			for range 20 {
				e.step(leader, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Propose, Request: 1})
				e.runUntil(e.now.Add(250*dragonflyduration.Millisecond), func() bool { return false })
				So(e.nodes[leader].Leading(), ShouldBeTrue)
				So(e.nodes[leader].Term(), ShouldEqual, term)
			}
		}
	})
}

// TestPartialPartition guards against candidates that hold each other up for ever because
// each lacks a connection that another has.
func TestPartialPartition(t *testing.T) {
	Convey("Three of five instances elect a leader although two of them are not connected", t, func() {
		for seed := range 200 {
			e := newElection(uint64(seed), 5, delays{message: 2, sync: 2, tick: 2})
			led := func() bool { return e.leader() != "" }
			So(e.runUntil(e.now.Add(30*dragonflyduration.Second), led), ShouldBeTrue)
			var alive []string
			for name := range e.nodes {
				if name != e.leader() {
					alive = append(alive, name)
				}
			}
			slices.Sort(alive)
			e.dead = e.leader()
			e.cut = map[[2]string]bool{}
			silent := alive[3]
			for _, name := range alive[:3] {
				e.cut[[2]string{name, silent}], e.cut[[2]string{silent, name}] = true, true
			}
			// The first and the last of the three reach each other through nobody.
			e.cut[[2]string{alive[0], alive[2]}], e.cut[[2]string{alive[2], alive[0]}] = true, true
			So(e.runUntil(e.now.Add(10*dragonflyduration.Second), led), ShouldBeTrue)
		}
	})
}
