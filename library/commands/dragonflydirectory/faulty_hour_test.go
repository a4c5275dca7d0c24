package dragonflydirectory_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
)

// BenchmarkFaultyHour simulates an hour with the faults of a day at a tenth of
// the target size: of 360 instances, 3 fail and return after 10 minutes, 150
// restart their agent and 10 pause for 4 s. A load takes 60 s. It reports the
// seconds that groups are down, the share of idle accelerators, and the number
// of loads.
func BenchmarkFaultyHour(b *testing.B) {
	for b.Loop() {
		f := newFleet(8)
		for i := range 10 {
			f.addDomain(36, fmt.Sprint("z", i%8), fmt.Sprint("d", i))
		}
		f.advance(80)
		f.stepTime, f.loadSteps = dragonflyduration.Second, 60
		loads, down, idle := 0, 0, 0
		before := map[uint64]bool{}
		random := rand.New(rand.NewPCG(1, 2))
		ends := map[int][]func(){}
		for s := range 3600 {
			for _, end := range ends[s] {
				end()
			}
			if random.IntN(3600) < 3 {
				a := f.agents[f.ids[random.IntN(len(f.ids))]]
				a.dead = true
				ends[s+600] = append(ends[s+600], func() { a.loadedFence = 0; a.restart() })
			}
			if a := f.agents[f.ids[random.IntN(len(f.ids))]]; random.IntN(3600) < 150 && !a.dead {
				a.restart()
			}
			if a := f.agents[f.ids[random.IntN(len(f.ids))]]; random.IntN(3600) < 10 && !a.dead {
				a.dead = true
				ends[s+4] = append(ends[s+4], func() { a.dead = false })
			}
			f.advance(1)
			ready := len(f.ready())
			down += 40 - ready
			idle += 360 - 8*ready
			for _, g := range f.groups {
				if !before[g.ID] && s > 0 {
					loads++
				}
				before[g.ID] = true
			}
		}
		if len(f.violations) > 0 {
			b.Fatal(f.violations)
		}
		b.ReportMetric(float64(down), "group-s-down")
		b.ReportMetric(100*float64(idle)/(3600*360), "%idle")
		b.ReportMetric(float64(loads), "new-groups")
	}
}
