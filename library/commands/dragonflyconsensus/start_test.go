package dragonflyconsensus_test

import (
	"fmt"
	"slices"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	// maxColdElection is the time from the start of the last instance after a full stop to
	// the next leader, in nine of ten plays; MaxStartTimeout, two ticks and the messages and
	// syncs of one round fit into it.
	maxColdElection = 500 * dragonflyduration.Millisecond
	// startSpread is the time within which the instances start, in milliseconds.
	startSpread = 150
)

// newElected plays an election and two seconds after it.
func newElected(seed uint64, instances int, d delays) *election {
	e := newElection(seed, instances, d)
	So(e.runUntil(e.now.Add(30*dragonflyduration.Second), func() bool { return e.leader() != "" }), ShouldBeTrue)
	e.runFor(2*dragonflyduration.Second + e.upTo(150))
	return e
}

func (e *election) runFor(d dragonflyduration.Duration) {
	e.runUntil(e.now.Add(d), func() bool { return false })
}

// others returns the sorted names of the instances that do not lead.
func (e *election) others() (names []string) {
	for name := range e.nodes {
		if name != e.leader() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// coldElection returns the time from the start of the last instance after a stop of all of
// them to the next leader.
func coldElection(seed uint64, instances int, d delays) dragonflyduration.Duration {
	e := newElected(seed, instances, d)
	stopped := e.now
	last := stopped
	for _, name := range append(e.others(), e.leader()) {
		after := e.upTo(startSpread)
		e.restart(name, after)
		last = max(last, stopped.Add(after))
	}
	So(e.runUntil(stopped.Add(10*dragonflyduration.Second), func() bool { return e.leader() != "" }), ShouldBeTrue)
	return max(e.now.Sub(last), 0)
}

// TestColdElection guards against callers who are refused after a power loss because no
// instance asks for votes: none of them has a leader to wait for.
func TestColdElection(t *testing.T) {
	for _, n := range []int{3, 5} {
		for _, d := range []delays{{message: 5, sync: 30, tick: 20}, {message: 80, sync: 50, tick: 50}} {
			Convey(fmt.Sprintf("%d instances that start together elect a leader soon with delays of up to %+v ms", n, d), t, func() {
				var took []dragonflyduration.Duration
				for seed := range 200 {
					took = append(took, coldElection(uint64(seed), n, d))
				}
				slices.Sort(took)
				ms := dragonflyduration.Millisecond
				_, _ = Printf("%d instances, %+v: median %d ms, nine tenths %d ms, worst %d ms\n", n, d, took[100]/ms, took[180]/ms, took[199]/ms)
				So(took[180], ShouldBeLessThanOrEqualTo, maxColdElection)
				So(took[199], ShouldBeLessThanOrEqualTo, maxFailover)
			})
		}
	}
}

// assertKeepsLeading asserts that the leader and its term stay the same for two seconds.
func assertKeepsLeading(e *election, leader string, term uint64) {
	e.runFor(2 * dragonflyduration.Second)
	So(e.leader(), ShouldEqual, leader)
	So(e.nodes[leader].Term(), ShouldEqual, term)
}

// TestRestartsBesideLeader guards against a change of leader, which costs callers more than
// the restart itself, because instances that have just started do not wait for the leader.
func TestRestartsBesideLeader(t *testing.T) {
	const plays = 100
	d := delays{message: 5, sync: 30, tick: 20}
	Convey("Instances that restart one after the other, as soon as possible, follow the leader", t, func() {
		for seed := range plays {
			e := newElected(uint64(seed), 5, d)
			leader, term := e.leader(), e.nodes[e.leader()].Term()
			for _, name := range e.others() {
				e.restart(name, e.upTo(100))
				e.runFor(e.upTo(300))
			}
			assertKeepsLeading(e, leader, term)
		}
	})
	Convey("Three of five instances that restart together follow the leader", t, func() {
		for seed := range plays {
			e := newElected(uint64(seed), 5, d)
			leader, term := e.leader(), e.nodes[e.leader()].Term()
			for _, name := range e.others()[:3] {
				e.restart(name, e.upTo(startSpread))
			}
			assertKeepsLeading(e, leader, term)
		}
	})
	Convey("All others that restart together follow the leader", t, func() {
		for seed := range plays {
			e := newElected(uint64(seed), 3, d)
			leader, term := e.leader(), e.nodes[e.leader()].Term()
			for _, name := range e.others() {
				e.restart(name, e.upTo(startSpread))
			}
			assertKeepsLeading(e, leader, term)
		}
	})
}

// TestLostDisksAtStart guards against the loss of acknowledged changes because an instance
// with an empty disk asks for votes before the leader has sent it the log.
func TestLostDisksAtStart(t *testing.T) {
	lose := func(s *simulation, name string) {
		n := s.nodes[name]
		n.records, n.durable = nil, map[uint64]uint64{}
		s.restart(name)
	}
	for rounds := range 8 {
		Convey(fmt.Sprintf("An instance whose disk is lost %d rounds after a change follows the leader", rounds), t, func() {
			s := newSimulation(3)
			s.settle(60 + rounds)
			leader := s.leader()
			term := s.nodes[leader].consensus.Term()
			s.propose(leader)
			s.settle(rounds)
			lose(s, otherThan(s, leader))
			s.settle(40)
			So(s.leader(), ShouldEqual, leader)
			So(s.nodes[leader].consensus.Term(), ShouldEqual, term)
			assertSound(s)
		})
		Convey(fmt.Sprintf("After a stop of all instances %d rounds after a change, one of them without a disk, another one leads", rounds), t, func() {
			s := newSimulation(5)
			s.settle(60)
			s.propose(s.leader())
			s.settle(heartbeatRounds + rounds)
			lost := otherThan(s, s.leader())
			for _, name := range s.names {
				if name != lost {
					s.restart(name)
				}
			}
			lose(s, lost)
			s.settle(int(maxColdElection / tickPeriod))
			So(s.leader(), ShouldNotBeIn, "", lost)
			s.propose(s.leader())
			s.settle(heartbeatRounds + 2)
			So(s.acked["c2"], ShouldBeTrue)
			assertSound(s)
		})
	}
}
