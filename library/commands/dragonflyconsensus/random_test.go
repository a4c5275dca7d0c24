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
		w := newSimulation(rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "instances"))
		for range rapid.IntRange(50, 600).Draw(t, "steps") {
			w.executeRandom(t)
			if len(w.violations) > 0 {
				t.Fatal(w.violations)
			}
		}
		clear(w.isolated)
		w.settle(120)
		w.propose(w.leader())
		w.settle(20)
		if faults := w.check(); len(faults) > 0 {
			t.Fatal(faults)
		}
		if !w.acked[fmt.Sprint("c", w.request)] {
			t.Fatal("the change proposed after the end of the failures is not acknowledged")
		}
	})
}

// executeRandom executes one random operation. Messages may be lost, duplicated and
// reordered.
func (w *simulation) executeRandom(t *rapid.T) {
	name := rapid.SampledFrom(w.names).Draw(t, "instance")
	n := w.nodes[name]
	kind := rapid.IntRange(0, 99).Draw(t, "kind")
	switch {
	case kind < 55 && len(w.network) > 0:
		i := rapid.IntRange(0, min(len(w.network)-1, 12)).Draw(t, "message")
		if kind < 6 {
			w.network = slices.Delete(w.network, i, i+1)
			return
		}
		if kind < 9 {
			w.network = append(w.network, w.network[i])
		}
		w.deliver(i)
	case kind < 68:
		w.sync(name, rapid.IntRange(1, 3).Draw(t, "writes"))
	case kind < 84:
		d := dragonflyduration.Duration(rapid.SampledFrom([]int{50, 300, 1300}).Draw(t, "ms")) * dragonflyduration.Millisecond
		w.tick(name, d, rapid.Uint64().Draw(t, "seed"))
	case kind < 93:
		if leader := w.leader(); leader != "" && kind < 91 {
			name = leader
		}
		w.propose(name)
	case kind < 94:
		w.step(name, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Resign})
	case kind < 97:
		w.restart(name)
	case kind < 99:
		w.isolated[name] = !w.isolated[name]
	case n.index > 0:
		w.compact(name)
	}
}
