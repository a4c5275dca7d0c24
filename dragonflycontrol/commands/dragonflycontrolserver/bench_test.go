package dragonflycontrolserver_test

import (
	"fmt"
	"sort"
	"sync/atomic"
	"testing"
	"time"

	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyresult"
)

// leaderOf waits up to 5 s for an instance to lead and returns it.
func leaderOf(b *testing.B, controls []*control) *control {
	b.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for _, c := range controls {
			if leaderReady(c)() {
				return c
			}
		}
	}
	b.Fatal("no leader")
	return nil
}

// reportPercentiles reports the median, the 95th percentile and the maximum in ms.
func reportPercentiles(b *testing.B, took []time.Duration) {
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	for name, i := range map[string]int{"p50-ms": len(took) / 2, "p95-ms": len(took) * 95 / 100, "max-ms": len(took) - 1} {
		b.ReportMetric(float64(took[i].Microseconds())/1000, name)
	}
}

// BenchmarkFailover measures the time from the loss of the leader's connections
// until another instance leads with a quorum.
func BenchmarkFailover(b *testing.B) {
	controls := newControls(b, 3)
	l := connectThroughProxies(b, controls)
	for _, c := range controls {
		c.start(b)
	}
	var took []time.Duration
	for b.Loop() {
		leader := leaderOf(b, controls)
		name := leader.server.Settings.Instance
		if err := l.isolate(name, true); err != nil {
			b.Fatal(err)
		}
		lost := time.Now()
		leaderOf(b, others(controls, leader))
		took = append(took, time.Since(lost))
		if err := l.isolate(name, false); err != nil {
			b.Fatal(err)
		}
		time.Sleep(2 * time.Second) // By then the old leader follows the new one.
	}
	reportPercentiles(b, took)
}

// BenchmarkHandover measures the time from the start of the leader's shutdown
// until another instance leads with a quorum.
func BenchmarkHandover(b *testing.B) {
	controls := newControls(b, 3)
	for _, c := range controls {
		c.start(b)
	}
	var took []time.Duration
	for b.Loop() {
		leader := leaderOf(b, controls)
		leader.stop()
		stopped := time.Now()
		leaderOf(b, others(controls, leader))
		took = append(took, time.Since(stopped))
		<-leader.ended
		leader.start(b)
	}
	reportPercentiles(b, took)
}

// BenchmarkPropose measures claims until they are durable on a quorum of three
// instances, with 1 and 32 callers per CPU.
func BenchmarkPropose(b *testing.B) {
	for _, callers := range []int{1, 32} {
		b.Run(fmt.Sprint("callers-", callers), func(b *testing.B) {
			controls := newControls(b, 3)
			for _, c := range controls {
				c.start(b)
			}
			leader := leaderOf(b, controls)
			var n atomic.Int64
			b.SetParallelism(callers)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					id := fmt.Sprint("k", n.Add(1))
					r, err := leader.propose(dragonflychange.Change{ID: id, Kind: dragonflychange.Claim, ClaimKey: id, Owner: id, Fingerprint: "fp"})
					if err != nil || r.Outcome != dragonflyresult.ClaimGranted {
						b.Errorf("%+v %v", r, err)
						return
					}
				}
			})
		})
	}
}

// BenchmarkReport measures a round trip of an agent's report, with 1,200 agents.
func BenchmarkReport(b *testing.B) {
	controls := newControls(b, 1)
	controls[0].start(b)
	leaderOf(b, controls)
	var n atomic.Int64
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := controls[0].report(fmt.Sprint("i", n.Add(1)%1200), 0, 0, false); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
