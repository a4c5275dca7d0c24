package dragonflylimit_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflylimit"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const ms = dragonflyduration.Millisecond

// runIntervals adds n intervals in which inFlight requests have gaps of the given
// length, and returns the limit and the last reason.
func runIntervals(l dragonflylimit.Limit, now *dragonflyinstant.Instant, n, inFlight int, gap dragonflyduration.Duration) (dragonflylimit.Limit, string) {
	last := ""
	for range n {
		l = l.WithInFlight(inFlight).WithGaps(10*inFlight, gap, 25*ms)
		*now = now.Add(dragonflylimit.Interval)
		next, reason := l.WithTime(*now, inFlight)
		l = next
		if reason != "" {
			last = reason
		}
	}
	return l, last
}

// assertValue checks the number of requests that may run.
func assertValue(l dragonflylimit.Limit, value int) { So(l.Value(), ShouldEqual, value) }

func TestLimit(t *testing.T) {
	start := func() (dragonflylimit.Limit, *dragonflyinstant.Instant) {
		l, _ := dragonflylimit.Limit{Ceiling: 20}.WithAnnounced(false, 4)
		now := dragonflyinstant.Instant(1000 * ms)
		l, _ = l.WithTime(now, 0)
		return l, &now
	}
	Convey("The ramp rises once per window, and only if the limit is used up", t, func() {
		l, now := start()
		l, _ = runIntervals(l, now, 8, 3, 10*ms)
		assertValue(l, 4)
		l, _ = runIntervals(l, now, 1, 4, 10*ms)
		assertValue(l, 6)
		l, _ = runIntervals(l, now, 1, 6, 10*ms)
		assertValue(l, 6)
		l, _ = runIntervals(l, now, 1, 6, 10*ms)
		assertValue(l, 9)
	})
	Convey("A window beyond target ends the ramp and lowers the limit", t, func() {
		l, now := start()
		l, _ = runIntervals(l, now, 1, 4, 10*ms)
		l, reason := runIntervals(l, now, 2, 6, 26*ms)
		So(reason, ShouldEqual, dragonflylimit.ReasonWarm)
		assertValue(l, 4)
		l, _ = runIntervals(l, now, 2, 4, 10*ms)
		assertValue(l, 5)
	})
	Convey("The limit does not rise while latencies are near the target", t, func() {
		l, now := start()
		l, _ = runIntervals(l, now, 10, 4, 24*ms)
		assertValue(l, 4)
	})
	Convey("A threefold latency counts as cold only beyond target", t, func() {
		l, now := start()
		l, _ = runIntervals(l, now, 40, 20, 6*ms)
		assertValue(l, 20)
		l, reason := runIntervals(l, now, 3, 20, 20*ms)
		So(reason, ShouldBeEmpty)
		l, reason = runIntervals(l, now, 3, 20, 60*ms)
		So(reason, ShouldEqual, dragonflylimit.ReasonTurnedCold)
		assertValue(l, 4)
	})
	Convey("Function fields replace the policies", t, func() {
		l, now := start()
		l.RampUp = func(float64) float64 { return 7 }
		l.Decrease = func(float64) float64 { return 2 }
		l, _ = runIntervals(l, now, 1, 4, 10*ms)
		assertValue(l, 7)
		l, _ = runIntervals(l, now, 2, 7, 26*ms)
		assertValue(l, 2)
		l.Increase = func(float64) float64 { return 13 }
		l, _ = runIntervals(l, now, 2, 2, 10*ms)
		assertValue(l, 13)
	})
	Convey("The limit agrees with a reference that keeps all samples, for random samples", t, func() {
		rapid.Check(t, checkAgainstReference)
	})
}

// sample is one measurement in the reference.
type sample struct {
	first        bool
	n            int
	mean, target dragonflyduration.Duration
}

// referenceLimit is a simple version of the limit that keeps every sample of the
// last two intervals and counts them again for each decision.
type referenceLimit struct {
	value      float64
	coldLimit  int
	warm, skip bool
	intervals  [2][]sample
	peaks      [2]int
	gap, first dragonflyduration.Duration
}

func mean(ss []sample, first bool) (dragonflyduration.Duration, bool) {
	var sum dragonflyduration.Duration
	n := 0
	for _, s := range ss {
		if s.first == first {
			sum += dragonflyduration.Duration(s.n) * s.mean
			n += s.n
		}
	}
	return sum / dragonflyduration.Duration(max(n, 1)), n > 0
}

func count(ss []sample, which func(sample) bool) (n int) {
	for _, s := range ss {
		if which(s) {
			n += s.n
		}
	}
	return n
}

func mix(normal, mean dragonflyduration.Duration) dragonflyduration.Duration {
	if normal == 0 {
		return mean
	}
	if mean > normal {
		return normal + (mean-normal)/32
	}
	return normal + (mean-normal)/4
}

// endInterval makes the decision at the end of an interval.
func (n *referenceLimit) endInterval(inFlight, ceiling int) {
	ss := append(append([]sample(nil), n.intervals[0]...), n.intervals[1]...)
	peak := max(n.peaks[0], n.peaks[1])
	n.intervals, n.peaks = [2][]sample{n.intervals[1], nil}, [2]int{n.peaks[1], inFlight}
	all := count(ss, func(sample) bool { return true })
	if all == 0 {
		return
	}
	misses := count(ss, func(s sample) bool { return s.target > 0 && s.mean > s.target })
	near := count(ss, func(s sample) bool { return s.target > 0 && 10*s.mean > 9*s.target })
	withoutTarget := count(ss, func(s sample) bool { return s.target == 0 })
	gap, gaps := mean(ss, false)
	first, firsts := mean(ss, true)
	saturated := peak >= int(n.value) && n.value >= 1
	slow := gaps && n.gap > 0 && gap >= 3*n.gap || firsts && n.first > 0 && first >= 3*n.first
	if saturated && slow && (withoutTarget > 0 || misses*100 > all*5) {
		if n.warm || n.value > max(float64(n.coldLimit), 1) {
			n.warm, n.skip, n.value = false, true, max(float64(n.coldLimit), 1)
			n.intervals, n.peaks = [2][]sample{}, [2]int{}
		}
		return
	}
	if gaps {
		n.gap = mix(n.gap, gap)
	}
	if firsts {
		n.first = mix(n.first, first)
	}
	if n.skip {
		n.skip = false
		return
	}
	before := n.value
	switch {
	case misses*100 > all*5 && !n.warm && n.value <= max(float64(n.coldLimit), 1):
	case misses*100 > all*5:
		n.warm, n.value = true, max(n.value*0.7, 1)
	case !saturated || near*100 > all*5:
	case n.warm:
		n.value++
	case all >= int(n.value):
		n.value += max(n.value/2, 1)
	}
	if n.value >= float64(ceiling) {
		n.value, n.warm = float64(ceiling), true
	}
	if n.value != before {
		n.skip, n.intervals[0], n.peaks[0] = true, nil, 0
	}
}

func checkAgainstReference(t *rapid.T) {
	coldLimit := rapid.IntRange(0, 5).Draw(t, "bearable")
	l, _ := dragonflylimit.Limit{Ceiling: 12}.WithAnnounced(false, coldLimit)
	n := &referenceLimit{value: max(float64(coldLimit), 1), coldLimit: coldLimit}
	now := dragonflyinstant.Instant(1000 * ms)
	l, _ = l.WithTime(now, 0)
	for range rapid.IntRange(1, 60).Draw(t, "slots") {
		inFlight := rapid.IntRange(0, 14).Draw(t, "in-flight")
		l = l.WithInFlight(inFlight)
		n.peaks[1] = max(n.peaks[1], inFlight)
		for range rapid.IntRange(0, 4).Draw(t, "samples") {
			s := sample{first: rapid.Bool().Draw(t, "first"), n: 1,
				mean:   dragonflyduration.Duration(rapid.IntRange(1, 100).Draw(t, "mean")) * ms,
				target: dragonflyduration.Duration(rapid.SampledFrom([]int{0, 25, 25, 25, 90}).Draw(t, "target")) * ms}
			if s.first {
				l = l.WithFirst(s.mean, s.target)
			} else {
				s.n = rapid.IntRange(1, 20).Draw(t, "n")
				l = l.WithGaps(s.n, s.mean, s.target)
			}
			n.intervals[1] = append(n.intervals[1], s)
		}
		now = now.Add(dragonflylimit.Interval)
		l, _ = l.WithTime(now, inFlight)
		n.endInterval(inFlight, 12)
		if l.Value() != int(n.value) || l.Warm() != n.warm {
			t.Fatalf("limit %d (warm %v), want %f (%v)", l.Value(), l.Warm(), n.value, n.warm)
		}
	}
}

func ExampleLimit() {
	l, _ := dragonflylimit.Limit{}.WithAnnounced(false, 2)
	now := dragonflyinstant.Instant(1000 * ms)
	for range 6 {
		l, _ = runIntervals(l, &now, 1, l.Value(), 10*ms)
		fmt.Println(l.Value())
	}
	// Output:
	// 3
	// 3
	// 4
	// 4
	// 6
	// 6
}
