package dragonflyconsensus_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflyconsensus"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	. "github.com/smartystreets/goconvey/convey"
)

// lossTrials is the number of random orders of events in which each case is played.
const lossTrials = 30

// shuffle executes the given number of small steps in random order: one message arrives, one
// write is synced, or the clocks go on.
func (s *simulation) shuffle(r *rand.Rand, steps int) {
	for range steps {
		switch kind := r.Intn(20); {
		case kind < 1:
			s.joinAll()
		case kind < 3:
			d := dragonflyduration.Duration(r.Intn(50)) * dragonflyduration.Millisecond
			for _, name := range s.names {
				s.tick(name, d, r.Uint64())
			}
		case kind < 8:
			s.sync(s.names[r.Intn(len(s.names))], 1+r.Intn(3))
		case len(s.network) > 0:
			s.deliver(r.Intn(len(s.network)))
		}
		if r.Intn(200) == 0 && s.leader() != "" {
			s.propose(s.leader())
		}
	}
}

// disturb executes the given number of random disturbances that keep all disks, with a random
// number of small steps after each.
func (s *simulation) disturb(r *rand.Rand, count int) {
	for range count {
		name := s.names[r.Intn(len(s.names))]
		switch leader := s.leader(); r.Intn(8) {
		case 0, 1:
			s.isolated[name] = !s.isolated[name]
		case 2:
			s.restart(name)
		case 3:
			if leader != "" {
				s.step(leader, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Resign})
			}
		case 4, 5:
			if leader != "" {
				s.leave(name)
			}
		case 6:
			s.compact(name)
		case 7:
			s.settleJoining(r.Intn(60))
		}
		s.shuffle(r, r.Intn(200))
	}
}

// membersWithSpare returns an instance of each of the given number of members, and a spare
// that holds the whole log.
func membersWithSpare(members int) *simulation {
	s := newSimulationWithMemberChanges()
	for i := 3; i < members; i++ {
		s.add(fmt.Sprint("m", i))
	}
	s.settleJoining(40)
	s.add("spare")
	s.settleJoining(20)
	return s
}

// loseDisks lets the given number of instances start again with empty disks at the same
// moment. All others may be killed and start again as well.
func (s *simulation) loseDisks(r *rand.Rand, count int, candidates []string) {
	if r.Intn(2) == 0 {
		s.killAll()
	}
	for _, i := range r.Perm(len(candidates))[:count] {
		s.wipe(candidates[i])
	}
}

// assertRecovers asserts that a leader is elected once all instances are back, and that
// nothing acknowledged is lost.
func assertRecovers(s *simulation, what string) {
	clear(s.isolated)
	for name := range s.nodes {
		s.isolated[name] = !slices.Contains(s.names, name)
	}
	for i := 0; i < 30 && s.leader() == "" || i < 4; i++ {
		s.settleJoining(10)
	}
	if s.leader() == "" {
		So(what+s.describe(), ShouldEqual, "a leader is elected")
	}
	s.propose(s.leader())
	s.settleJoining(30)
	So(s.violations, ShouldBeEmpty)
	So(what+fmt.Sprint(s.acked[fmt.Sprint("c", s.request)]), ShouldEqual, what+"true")
	applied := s.nodes[s.leader()].applied
	for id := range s.acked {
		So(applied, ShouldContain, id)
	}
}

// except returns the names without those given.
func except(names []string, without ...string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return slices.Contains(without, n) })
}

// replaceAfterRounds is the number of rounds after which a silent member is about to be replaced.
const replaceAfterRounds = int(dragonflyconsensus.ReplaceAfter/(50*dragonflyduration.Millisecond)) - 3

// lossCase is what happens before the given number of disks is lost. It returns the instances
// of which they are lost.
type lossCase struct {
	what string
	play func(s *simulation, r *rand.Rand) (candidates []string)
}

// lossCases are played with three members and one disk, and with five members and two disks.
var lossCases = []lossCase{
	{"after a member that stopped was replaced", func(s *simulation, r *rand.Rand) []string {
		members := s.nodes[s.leader()].consensus.Members()
		stopped := members[r.Intn(len(members))]
		s.leave(stopped)
		for i := 0; i < 20_000 && s.retains(stopped); i++ {
			s.shuffle(r, 1)
		}
		if s.retains(stopped) {
			return s.names // Another leader was elected, which does not know that it stops.
		}
		s.end(stopped)
		s.shuffle(r, r.Intn(60))
		return except(s.names, "spare")
	}},
	{"while a member that stops is replaced, and starts again", func(s *simulation, r *rand.Rand) []string {
		members := s.nodes[s.leader()].consensus.Members()
		s.leave(members[r.Intn(len(members))])
		s.shuffle(r, r.Intn(150))
		return s.names
	}},
	{"while a member that is cut off is replaced", func(s *simulation, r *rand.Rand) []string {
		cut := otherThan(s, s.leader())
		s.isolated[cut] = true
		s.settleJoining(replaceAfterRounds)
		s.shuffle(r, 100+r.Intn(300))
		return except(s.names, cut)
	}},
	{"while the leader hands over during a change", func(s *simulation, r *rand.Rand) []string {
		s.leave(otherThan(s, s.leader()))
		s.shuffle(r, r.Intn(100))
		if s.leader() != "" {
			s.step(s.leader(), dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Resign})
		}
		s.shuffle(r, r.Intn(100))
		return s.names
	}},
	{"after any disturbances that keep the disks", func(s *simulation, r *rand.Rand) []string {
		s.disturb(r, r.Intn(20))
		return s.names
	}},
}

// retains reports whether the leader, if there is one, still needs the named instance.
func (s *simulation) retains(name string) bool {
	leader := s.leader()
	return leader == "" || s.nodes[leader].consensus.Retains(name)
}

// TestDisksLostDuringChange guards against a state of the members, at any step of a change of
// them, in which the loss of as many disks as the deployment bears ends it for good.
func TestDisksLostDuringChange(t *testing.T) {
	for _, c := range lossCases {
		for members, disks := range map[int]int{3: 1, 5: 2} {
			Convey(fmt.Sprintf("%d of %d disks are lost %s", disks, members, c.what), t, func() {
				for trial := range lossTrials {
					r := rand.New(rand.NewSource(int64(trial)))
					s := membersWithSpare(members)
					s.propose(s.leader())
					s.loseDisks(r, disks, c.play(s, r))
					assertRecovers(s, fmt.Sprint("trial ", trial, ": "))
				}
			})
		}
	}
}

// TestDisksLostDuringGrowth guards against the same while three members become five.
func TestDisksLostDuringGrowth(t *testing.T) {
	play := func(lose func(s *simulation, r *rand.Rand)) {
		for trial := range 2 * lossTrials {
			r := rand.New(rand.NewSource(int64(trial)))
			s := newSimulationWithMemberChanges()
			s.add("m0")
			s.add("m1")
			s.joinAll()
			s.shuffle(r, r.Intn(600))
			lose(s, r)
			assertRecovers(s, fmt.Sprint("trial ", trial, ": "))
		}
	}
	Convey("One of the five loses its disk", t, func() {
		play(func(s *simulation, r *rand.Rand) { s.loseDisks(r, 1, s.names) })
	})
	Convey("One of the three and a new one lose their disks", t, func() {
		play(func(s *simulation, r *rand.Rand) {
			s.loseDisks(r, 1, []string{"n0", "n1", "n2"})
			s.wipe("m0")
		})
	})
}
