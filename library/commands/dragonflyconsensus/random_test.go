package dragonflyconsensus_test

import (
	"fmt"
	"slices"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	"pgregory.net/rapid"
)

func TestConsensusRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "instances"))
		for range rapid.IntRange(50, 600).Draw(t, "steps") {
			s.executeRandom(t)
			if len(s.violations) > 0 {
				t.Fatal(s.violations)
			}
		}
		clear(s.isolated)
		s.settle(120)
		s.propose(s.leader())
		s.settle(20)
		if violations := s.check(); len(violations) > 0 {
			t.Fatal(violations)
		}
		if !s.acked[fmt.Sprint("c", s.request)] {
			t.Fatal("the change proposed after the end of the failures is not acknowledged")
		}
	})
}

// executeRandom executes one random operation. Messages may be lost, duplicated
// and reordered.
func (s *simulation) executeRandom(t *rapid.T) {
	name := rapid.SampledFrom(s.names).Draw(t, "instance")
	n := s.nodes[name]
	kind := rapid.IntRange(0, 99).Draw(t, "kind")
	switch {
	case kind < 55 && len(s.network) > 0:
		i := rapid.IntRange(0, min(len(s.network)-1, 12)).Draw(t, "message")
		if kind < 6 {
			s.network = slices.Delete(s.network, i, i+1)
			return
		}
		if kind < 9 {
			s.network = append(s.network, s.network[i])
		}
		s.deliver(i)
	case kind < 68:
		s.sync(name, rapid.IntRange(1, 3).Draw(t, "writes"))
	case kind < 84:
		d := dragonflyduration.Duration(rapid.SampledFrom([]int{50, 300, 1300}).Draw(t, "ms")) * dragonflyduration.Millisecond
		s.tick(name, d, rapid.Uint64().Draw(t, "seed"))
	case kind < 93:
		if leader := s.leader(); leader != "" && kind < 91 {
			name = leader
		}
		s.propose(name)
	case kind < 94:
		s.step(name, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Resign})
	case kind < 97:
		s.restart(name)
	case kind < 99:
		s.isolated[name] = !s.isolated[name]
	case n.index > 0:
		s.compact(name)
	}
}
